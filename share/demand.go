package share

import "time"

// demandSlot is the time over which requests are counted before they enter the
// average, and demandWeight is the weight of a new slot in it.
const (
	demandSlot   = 50 * time.Millisecond
	demandWeight = 0.3
)

// demand estimates the rate of requests per second by an exponentially weighted
// average over slots. It does not allocate.
type demand struct {
	start   time.Duration
	count   float64
	average float64
}

func (d *demand) add(n float64, now time.Duration) {
	d.advance(now)
	d.count += n
}

// rate returns the estimated requests per second.
func (d *demand) rate(now time.Duration) float64 {
	d.advance(now)
	return d.average
}

func (d *demand) advance(now time.Duration) {
	passed := now - d.start
	if passed < demandSlot {
		return
	}
	slots := int(passed / demandSlot)
	d.average += demandWeight * (d.count/demandSlot.Seconds() - d.average)
	for i := 1; i < slots && d.average > 0; i++ {
		d.average *= 1 - demandWeight
		if d.average < 1e-6 {
			d.average = 0
		}
	}
	d.count = 0
	d.start += time.Duration(slots) * demandSlot
}
