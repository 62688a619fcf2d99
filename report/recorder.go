package report

import (
	"cmp"
	"sync"
	"time"

	"auburngap/request"
)

// The defaults of Config.
const (
	DefaultSlotLength = 10 * time.Second
	DefaultSlots      = 60
	DefaultMaxSeries  = 256
)

// otherName is the service and workspace name of the series that count the samples
// beyond Config.MaxSeries.
const otherName = "other"

// Config is the configuration of a Recorder.
type Config struct {
	VM   string
	Zone string
	// SlotLength is the time that one slot covers; zero means DefaultSlotLength.
	SlotLength time.Duration
	// Slots is how many slots are kept; zero means DefaultSlots.
	Slots int
	// MaxSeries bounds the memory; zero means DefaultMaxSeries. A series takes
	// about 1 KB for each slot in which it has samples.
	MaxSeries int
}

// Recorder counts samples. It is safe for concurrent use; samples of different
// services, workspaces and priorities do not wait for each other.
type Recorder struct {
	config Config

	mu     sync.RWMutex
	series map[seriesKey]*series
}

type seriesKey struct {
	service   string
	workspace string
	priority  request.Priority
}

// series is a ring of slots, indexed by slot number.
type series struct {
	mu    sync.Mutex
	slots []*slot
}

// slot counts the samples of one interval of Config.SlotLength.
type slot struct {
	number   int64 // slot lengths since the Unix epoch
	requests uint64
	good     uint64
	rejected uint64
	wrongful uint64
	causes   map[request.Cause]uint64
	latency  [latencyBuckets]uint32
}

// NewRecorder returns an empty recorder.
func NewRecorder(config Config) *Recorder {
	config.SlotLength = cmp.Or(config.SlotLength, DefaultSlotLength)
	config.Slots = cmp.Or(config.Slots, DefaultSlots)
	config.MaxSeries = cmp.Or(config.MaxSeries, DefaultMaxSeries)
	return &Recorder{config: config, series: make(map[seriesKey]*series)}
}

// Record counts one sample.
func (r *Recorder) Record(sample Sample, now time.Time) {
	s := r.seriesOf(seriesKey{sample.Service, sample.Workspace, sample.Priority})
	number := now.UnixNano() / int64(r.config.SlotLength)
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot := s.slot(number); slot != nil {
		slot.add(sample)
	}
}

func (r *Recorder) seriesOf(key seriesKey) *series {
	r.mu.RLock()
	found, ok := r.series[key]
	r.mu.RUnlock()
	if ok {
		return found
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.series) >= r.config.MaxSeries {
		key = seriesKey{otherName, otherName, key.priority}
	}
	if found, ok := r.series[key]; ok {
		return found
	}
	created := &series{slots: make([]*slot, r.config.Slots)}
	r.series[key] = created
	return created
}

// slot returns the slot with a number, or nil if the number is too old.
func (s *series) slot(number int64) *slot {
	entry := &s.slots[number%int64(len(s.slots))]
	switch {
	case *entry == nil:
		*entry = &slot{number: number}
	case (*entry).number > number:
		return nil
	case (*entry).number < number:
		**entry = slot{number: number}
	}
	return *entry
}

func (s *slot) add(sample Sample) {
	s.requests++
	switch sample.class() {
	case good:
		s.good++
		s.latency[bucketOf(sample.Latency)]++
		return
	case rejected:
		s.rejected++
	case failed:
		if sample.WithinRate && sample.Outcome == request.NotRun {
			s.wrongful++
		}
	}
	if s.causes == nil {
		s.causes = make(map[request.Cause]uint64)
	}
	s.causes[sample.Cause]++
}
