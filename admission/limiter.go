package admission

import (
	"slices"
	"time"

	"auburngap/request"
)

// DefaultMargin is the default of Config.Margin.
const DefaultMargin = 1.1

// Config holds the settings of a Limiter. Zero fields take the defaults given below.
type Config struct {
	// Slots is the number of slots that the backend server announces. It is the
	// ceiling of the limit; default 1.
	Slots int
	// SlotFraction is the largest fraction of the slots that is used; default 1. For servers
	// that slow down when they are nearly full, a lower fraction gives more throughput.
	SlotFraction float64
	// StartFraction is the fraction of the slots that a new limiter starts with; default 0.5.
	StartFraction float64
	// MaxSojourn is the longest wait in the queue; default 50 ms.
	MaxSojourn time.Duration
	// SojournFraction raises the longest wait to this fraction of the time for which calls
	// hold their slots, if that is longer; default 0.5. A negative value disables it.
	SojournFraction float64
	// ReprobeAfter is how long calls must be slow before a limit that has passed a probe
	// is probed again; default one minute.
	ReprobeAfter time.Duration
	// QueueRatio is the maximum length of the queue as a multiple of the limit; default 1.
	QueueRatio float64
	// Margin is the rate that the admission level admits as a multiple of what the
	// server can serve; default 1.1. The queue sheds the excess by its order. A higher
	// value keeps the slots fuller; a lower one wastes less work of upstream services.
	Margin float64
	// Fixed keeps the limit at its ceiling.
	Fixed bool
}

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = 1
	}
	if c.SlotFraction <= 0 {
		c.SlotFraction = 1
	}
	if c.StartFraction <= 0 {
		c.StartFraction = 0.5
	}
	if c.MaxSojourn <= 0 {
		c.MaxSojourn = 50 * time.Millisecond
	}
	if c.Margin <= 0 {
		c.Margin = DefaultMargin
	}
	if c.SojournFraction == 0 {
		c.SojournFraction = 0.5
	}
	if c.ReprobeAfter <= 0 {
		c.ReprobeAfter = time.Minute
	}
	if c.QueueRatio <= 0 {
		c.QueueRatio = 1
	}
	return c
}

// Limiter bounds the concurrency of one backend server and queues calls beyond it.
type Limiter struct {
	config          Config
	limit           concurrencyLimit
	queue           queue
	flows           flowTable
	levelController levelController
	inFlight        int
	// occupancy counts the running and queued calls.
	occupancy request.Occupancy
	started   []*Ticket
	dropped   []Drop
}

// New returns a limiter with an empty queue.
func New(config Config) *Limiter {
	config = config.withDefaults()
	l := &Limiter{config: config, queue: newQueue(), flows: newFlowTable(), levelController: newLevelController(config.Margin)}
	l.limit.floor, l.limit.reprobeAfter = 1, config.ReprobeAfter
	l.Announce(config.Slots)
	l.limit.current = l.limit.ceiling
	if !config.Fixed {
		l.limit.current = max(1, config.StartFraction*l.limit.ceiling)
	}
	return l
}

// Announce sets the number of slots that the backend server reports. Config.SlotFraction
// of them is the ceiling of the limit; the slots have no other effect.
func (l *Limiter) Announce(slots int) {
	l.limit.setCeiling(max(1, l.config.SlotFraction*float64(slots)))
}

// Limit returns the number of calls that may run at once.
func (l *Limiter) Limit() int { return l.limit.value() }

// InFlight returns the number of running calls.
func (l *Limiter) InFlight() int { return l.inFlight }

// Occupancy returns the number of running and queued calls by priority.
func (l *Limiter) Occupancy() request.Occupancy { return l.occupancy }

// Offer decides on a new call. It may drop queued tickets in favour of the new one.
func (l *Limiter) Offer(t *Ticket, now time.Time) (Decision, Changes) {
	l.beginEvent(now)
	l.levelController.offered(t.Priority)
	t.limiter = l
	t.offered = now
	l.expire(now)
	if t.missesDeadline(now, l.expectedWait()+l.expectedLatency()) {
		return Decision{Action: Refuse, Cause: request.CauseDeadline}, l.changes()
	}
	l.flows.charge(t)
	if l.inFlight < l.limit.value() && l.queue.len() == 0 {
		l.occupancy.Add(t.Priority, 1)
		l.run(t, now)
		return Decision{Action: Run}, l.changes()
	}
	l.limit.saturated = true
	if l.queueIsFull() && l.limit.handleOverflow(now) {
		l.fillSlots(now)
	}
	if !l.makeRoom(t) {
		l.flows.refund(t)
		return Decision{Action: Refuse, Cause: request.CauseOverload}, l.changes()
	}
	t.state = ticketQueued
	l.queue.add(t)
	l.occupancy.Add(t.Priority, 1)
	l.startQueued(now)
	if t.state == ticketRunning {
		l.started = slices.DeleteFunc(l.started, func(started *Ticket) bool { return started == t })
		return Decision{Action: Run}, l.changes()
	}
	return Decision{Action: Queue}, l.changes()
}

// Finish ends a running call and starts queued ones in the freed slots.
func (l *Limiter) Finish(t *Ticket, now time.Time, result Result) Changes {
	l.beginEvent(now)
	if t.limiter != l || t.state != ticketRunning {
		return l.changes()
	}
	if result.Own <= 0 {
		result.Own = now.Sub(t.started)
	}
	if !l.config.Fixed {
		l.limit.observe(now, t.started, result, l.levelController.usage())
	}
	l.releaseSlot(t)
	l.startQueued(now)
	return l.changes()
}

// Cancel ends a queued or running call whose result is no longer needed. Its slot is
// free at once: the caller must have cancelled the call at the backend server.
func (l *Limiter) Cancel(t *Ticket, now time.Time) Changes {
	l.beginEvent(now)
	if t.limiter != l {
		return l.changes()
	}
	switch t.state {
	case ticketQueued:
		l.dequeue(t)
	case ticketRunning:
		l.releaseSlot(t)
		l.startQueued(now)
	case ticketInactive:
	}
	return l.changes()
}

// Expire drops the queued tickets that have waited too long. It must be called at
// the time that NextExpiry returns.
func (l *Limiter) Expire(now time.Time) Changes {
	l.beginEvent(now)
	l.startQueued(now)
	return l.changes()
}

// Clear drops all queued tickets with the given cause.
func (l *Limiter) Clear(now time.Time, cause request.Cause) Changes {
	l.beginEvent(now)
	for t := l.queue.oldest; t != nil; t = l.queue.oldest {
		l.drop(t, cause)
	}
	return l.changes()
}

// NextExpiry returns when the oldest queued ticket will have waited too long; false
// if the queue is empty.
func (l *Limiter) NextExpiry() (time.Time, bool) {
	if l.queue.oldest == nil {
		return time.Time{}, false
	}
	return l.queue.oldest.offered.Add(l.maxSojourn()), true
}

// Level returns the admission level to send back with answers.
func (l *Limiter) Level(now time.Time) uint16 {
	l.levelController.advance(now, l.inFlight, l.limit.value())
	return l.levelController.level
}

func (l *Limiter) beginEvent(now time.Time) {
	l.levelController.advance(now, l.inFlight, l.limit.value())
	l.started = l.started[:0]
	l.dropped = l.dropped[:0]
}

func (l *Limiter) changes() Changes {
	return Changes{Started: l.started, Dropped: l.dropped}
}

// makeRoom reports whether t may be queued. If the queue is full, it drops the
// queue's last ticket, provided that t goes before it.
func (l *Limiter) makeRoom(t *Ticket) bool {
	if !l.queueIsFull() {
		return true
	}
	victim := l.queue.victim()
	if !t.key.before(victim.key) {
		return false
	}
	l.drop(victim, request.CauseOverload)
	return true
}

func (l *Limiter) queueIsFull() bool {
	return l.queue.len() >= max(1, int(l.config.QueueRatio*l.limit.current))
}

// startQueued drops the tickets that have waited too long and fills the free slots.
func (l *Limiter) startQueued(now time.Time) {
	l.expire(now)
	l.fillSlots(now)
}

// fillSlots starts queued tickets while there are free slots.
func (l *Limiter) fillSlots(now time.Time) {
	for l.inFlight < l.limit.value() {
		t := l.queue.next()
		if t == nil {
			return
		}
		if t.missesDeadline(now, l.expectedLatency()) {
			l.drop(t, request.CauseDeadline)
			continue
		}
		l.queue.remove(t)
		l.run(t, now)
		l.started = append(l.started, t)
	}
}

func (l *Limiter) expire(now time.Time) {
	for t := l.queue.oldest; t != nil && now.Sub(t.offered) >= l.maxSojourn(); t = l.queue.oldest {
		if l.limit.handleOverflow(now) {
			l.fillSlots(now)
			continue
		}
		l.drop(t, request.CauseOverload)
	}
}

func (l *Limiter) run(t *Ticket, now time.Time) {
	l.flows.advanceClock(t)
	t.state = ticketRunning
	t.started = now
	l.inFlight++
	l.levelController.started()
	if l.inFlight >= l.limit.value() {
		l.limit.saturated = true
	}
}

func (l *Limiter) drop(t *Ticket, cause request.Cause) {
	l.dequeue(t)
	l.dropped = append(l.dropped, Drop{Ticket: t, Cause: cause})
}

func (l *Limiter) dequeue(t *Ticket) {
	l.queue.remove(t)
	l.occupancy.Add(t.Priority, -1)
	l.flows.refund(t)
	t.state = ticketInactive
}

func (l *Limiter) releaseSlot(t *Ticket) {
	l.inFlight--
	l.occupancy.Add(t.Priority, -1)
	l.levelController.departed()
	l.flows.release(t)
	t.state = ticketInactive
}

// expectedLatency returns the shortest time that a call is expected to take. It is
// zero at an idle server, so that a stale estimate cannot refuse calls forever.
func (l *Limiter) expectedLatency() time.Duration {
	if l.inFlight == 0 {
		return 0
	}
	return l.limit.baseline
}

// expectedWait returns the time that the queue needs to drain.
func (l *Limiter) expectedWait() time.Duration {
	return time.Duration(float64(l.queue.len()) * float64(l.slotTime()) / l.limit.current)
}

// slotTime returns how long a call holds its slot, including its calls to other services.
func (l *Limiter) slotTime() time.Duration {
	return max(l.limit.mean, l.levelController.slotTime())
}

// maxSojourn returns the longest wait in the queue. If calls take longer than the
// configured bound, the wait grows with them: with a shorter one the queue could be
// empty when the next call ends.
func (l *Limiter) maxSojourn() time.Duration {
	bySlotTime := time.Duration(l.config.SojournFraction * float64(l.slotTime()))
	return max(l.config.MaxSojourn, l.limit.mean, bySlotTime)
}
