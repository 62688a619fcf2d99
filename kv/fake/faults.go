package fake

import (
	"context"
	"strings"
	"time"

	"auburngap/kv"
)

// Kind is a kind of call.
type Kind string

// The kinds of calls.
const (
	KindGet    Kind = "get"
	KindList   Kind = "list"
	KindPut    Kind = "put"
	KindWatch  Kind = "watch"
	KindGrant  Kind = "grant"
	KindRenew  Kind = "renew"
	KindRevoke Kind = "revoke"
)

// Faults are the faults that a test injects into the service.
type Faults struct {
	// Down makes every call and every waiting watch fail with ErrUnavailable.
	Down bool `json:"down,omitempty"`
	// DelayMicros is the delay of every call, in microseconds. The wait of a watch
	// is not delayed.
	DelayMicros int64 `json:"delayMicros,omitempty"`
	// LoseAnswers is the number of writes that take effect but whose callers get
	// ErrUnavailable.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// LoseRequests is the number of writes that don't take effect and whose callers
	// get ErrUnavailable. These precede those of LoseAnswers.
	LoseRequests int `json:"loseRequests,omitempty"`
	// LosePrefix restricts the losses to puts of keys with this prefix.
	LosePrefix string `json:"losePrefix,omitempty"`
}

// Delay returns the delay of each call.
func (f Faults) Delay() time.Duration {
	return time.Duration(f.DelayMicros) * time.Microsecond
}

func (f Faults) affects(kind Kind, key string) bool {
	switch kind {
	case KindPut:
		return strings.HasPrefix(key, f.LosePrefix)
	case KindGrant, KindRenew, KindRevoke:
		return f.LosePrefix == ""
	default:
		return false
	}
}

// Counts are the numbers of received calls, including failed ones.
type Counts struct {
	Get    int `json:"get"`
	List   int `json:"list"`
	Put    int `json:"put"`
	Watch  int `json:"watch"`
	Grant  int `json:"grant"`
	Renew  int `json:"renew"`
	Revoke int `json:"revoke"`
}

// Reads returns the number of calls that change nothing.
func (c Counts) Reads() int {
	return c.Get + c.List + c.Watch
}

// Writes returns the number of calls that change something.
func (c Counts) Writes() int {
	return c.Put + c.Grant + c.Renew + c.Revoke
}

func (c *Counts) of(kind Kind) *int {
	switch kind {
	case KindGet:
		return &c.Get
	case KindList:
		return &c.List
	case KindPut:
		return &c.Put
	case KindWatch:
		return &c.Watch
	case KindGrant:
		return &c.Grant
	case KindRenew:
		return &c.Renew
	default:
		return &c.Revoke
	}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wakeWatches()
}

// Counts returns the numbers of calls since the service was created.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Peak is the highest number of calls received within one second of the clock.
type Peak struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// Peak returns the highest numbers of calls per second since the service was
// created. The reads and the writes may be of different seconds.
func (s *Service) Peak() Peak {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// count counts a call; s.mu must be held.
func (s *Service) count(kind Kind) {
	if second := s.config.Now().Unix(); second != s.currentSecond {
		s.currentSecond = second
		s.countsBeforeSecond = s.counts
	}
	*s.counts.of(kind)++
	s.peak.Reads = max(s.peak.Reads, s.counts.Reads()-s.countsBeforeSecond.Reads())
	s.peak.Writes = max(s.peak.Writes, s.counts.Writes()-s.countsBeforeSecond.Writes())
}

// enter counts a call, delays it, and fails it if the service is down.
func (s *Service) enter(ctx context.Context, kind Kind) error {
	s.mu.Lock()
	s.count(kind)
	faults := s.faults
	s.mu.Unlock()
	if faults.Down {
		return kv.ErrUnavailable.New("service is down")
	}
	if delay := faults.Delay(); delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	if err := ctx.Err(); err != nil {
		return kv.ErrUnavailable.Wrap(err, "%s ended", kind)
	}
	return nil
}

// call runs one call other than a watch, with the lock held and the injected
// faults.
func (s *Service) call(ctx context.Context, kind Kind, key string, run func() error) error {
	if err := s.enter(ctx, kind); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return kv.ErrUnavailable.New("service is down")
	}
	s.expire()
	affected := s.faults.affects(kind, key)
	if affected && s.faults.LoseRequests > 0 {
		s.faults.LoseRequests--
		return kv.ErrUnavailable.New("request of %s is lost", kind)
	}
	err := run()
	if affected && err == nil && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return kv.ErrUnavailable.New("answer of %s is lost", kind)
	}
	return err
}
