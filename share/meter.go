package share

import "time"

// Meter computes by how much spends exceed a rate in the worst window of any
// length. Spends within every window w stay within burst + rate·w if, and only
// if, Worst stays within burst. The result is exact and costs a few operations
// per spend.
type Meter struct {
	rate   float64
	at     time.Duration
	excess float64
	worst  float64
}

// NewMeter returns a meter for a rate in tokens per second.
func NewMeter(rate float64) *Meter {
	return &Meter{rate: rate}
}

// Spend counts tokens. Times must not go back.
func (m *Meter) Spend(tokens float64, now time.Duration) {
	m.drain(now)
	m.excess += tokens
	m.worst = max(m.worst, m.excess)
}

// GiveBack subtracts tokens that were counted as spent.
func (m *Meter) GiveBack(tokens float64, now time.Duration) {
	m.drain(now)
	m.excess = max(0, m.excess-tokens)
}

// SetRate changes the rate from now on.
func (m *Meter) SetRate(rate float64, now time.Duration) {
	m.drain(now)
	m.rate = rate
}

// Excess returns the spends beyond the rate in the worst window that ends now.
func (m *Meter) Excess(now time.Duration) float64 {
	m.drain(now)
	return m.excess
}

// Worst returns the spends beyond the rate in the worst window so far.
func (m *Meter) Worst() float64 {
	return m.worst
}

func (m *Meter) drain(now time.Duration) {
	if now <= m.at {
		return
	}
	m.excess = max(0, m.excess-m.rate*(now-m.at).Seconds())
	m.at = now
}
