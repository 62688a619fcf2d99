package admission

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"auburngap/request"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// limiterModel tracks the state of a limiter's tickets and checks that the limiter's
// decisions are allowed in any order of events.
type limiterModel struct {
	limiter         *Limiter
	now             time.Time
	queued, running []*Ticket
}

func (m *limiterModel) apply(t *rapid.T, changes Changes) {
	for _, ticket := range changes.Started {
		m.dequeue(t, ticket)
		m.running = append(m.running, ticket)
	}
	for _, drop := range changes.Dropped {
		m.dequeue(t, drop.Ticket)
	}
}

func (m *limiterModel) dequeue(t *rapid.T, ticket *Ticket) {
	i := slices.Index(m.queued, ticket)
	assert.Assert(t, i >= 0, "started or dropped a ticket that was not queued")
	m.queued = slices.Delete(m.queued, i, i+1)
}

func (m *limiterModel) offer(t *rapid.T) {
	ticket := &Ticket{
		Priority:  request.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
		Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Weight:    rapid.SampledFrom([]float64{0, 1, 4}).Draw(t, "weight"),
		Depth:     rapid.IntRange(0, 4).Draw(t, "depth"),
		Hash:      rapid.Uint32().Draw(t, "hash"),
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		ticket.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "left")) * time.Millisecond)
	}
	decision, changes := m.limiter.Offer(ticket, m.now)
	m.apply(t, changes)
	switch decision.Action {
	case Run:
		m.running = append(m.running, ticket)
	case Queue:
		m.queued = append(m.queued, ticket)
	case Refuse:
		m.checkRefusal(t, ticket, decision)
	}
}

// checkRefusal checks that no ticket of a lower class is queued while one of a higher
// class is refused for overload.
func (m *limiterModel) checkRefusal(t *rapid.T, refused *Ticket, decision Decision) {
	if decision.Cause != request.CauseOverload {
		return
	}
	for _, ticket := range m.queued {
		assert.Assert(t, ticket.class() <= refused.class(), "a lower class is queued while a higher one is refused")
	}
}

// end removes a random ticket from a set, and finishes or cancels it.
func (m *limiterModel) end(t *rapid.T, set *[]*Ticket, finish bool) {
	if len(*set) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(*set)-1).Draw(t, "ticket")
	ticket := (*set)[i]
	*set = slices.Delete(*set, i, i+1)
	if !finish {
		m.apply(t, m.limiter.Cancel(ticket, m.now))
		return
	}
	kind := Kind(rapid.IntRange(0, 2).Draw(t, "kind"))
	m.apply(t, m.limiter.Finish(ticket, m.now, Result{Kind: kind}))
}

func (m *limiterModel) check(t *rapid.T) {
	assert.Equal(t, m.limiter.InFlight(), len(m.running))
	var occupancy request.Occupancy
	for _, ticket := range slices.Concat(m.running, m.queued) {
		occupancy.Add(ticket.Priority, 1)
	}
	assert.Equal(t, m.limiter.Occupancy(), occupancy)
	assert.Assert(t, m.limiter.Limit() >= 1 && m.limiter.Limit() <= 8)
	assert.Assert(t, len(m.running) <= 8)
	if len(m.queued) > 0 {
		assert.Assert(t, len(m.running) >= m.limiter.Limit(), "a ticket is queued while a slot is free")
	}
	for _, ticket := range m.queued {
		assert.Assert(t, m.now.Sub(ticket.offered) <= 60*time.Millisecond, "a ticket is queued for longer than the sojourn bound")
	}
}

func TestLimiterAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &limiterModel{
			limiter: New(Config{Slots: 8}), now: epoch,
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":         m.offer,
			"finish":        func(t *rapid.T) { m.end(t, &m.running, true) },
			"cancelRunning": func(t *rapid.T) { m.end(t, &m.running, false) },
			"cancelQueued":  func(t *rapid.T) { m.end(t, &m.queued, false) },
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "wait")) * time.Millisecond)
				m.apply(t, m.limiter.Expire(m.now))
			},
			"announce": func(t *rapid.T) {
				m.limiter.Announce(rapid.IntRange(-1, 8).Draw(t, "slots"))
				m.apply(t, m.limiter.Expire(m.now))
			},
			"": m.check,
		})
	})
}
