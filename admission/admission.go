// Package admission decides which work runs under overload. On the VM of a backend
// server, the Limiter bounds the server's concurrency. At the entry node, the Gate
// sheds whole requests before they cause any calls.
//
// # Usage
//
//	limiter := admission.New(admission.Config{Slots: 35})
//	decision, changes := limiter.Offer(&ticket, now)
//	changes = limiter.Finish(&ticket, now, admission.Result{Kind: admission.Succeeded})
//	level := limiter.Level(now) // sent back with the answer
//
//	gate := admission.NewGate(admission.GateConfig{})
//	orders := gate.Service("orders")
//	gate.UpdateLevel(orders, level, now)
//	admitted := gate.Admit(admission.Request{Priority: 1, Hash: hash}, []admission.ServiceID{orders}, now)
//
// Nothing here is safe for concurrent use: the caller must lock each value. The
// caller also passes in the time and random numbers. Decisions on workspaces that
// have been seen before do not allocate.
package admission

import (
	"time"

	"auburngap/request"
)

// LevelsPerPriority is the number of admission levels in each priority.
const LevelsPerPriority = 4096

// FullLevel is the admission level that admits every request.
const FullLevel = uint16(request.Priorities) * LevelsPerPriority

// Action is what happens to an offered ticket.
type Action uint8

// The actions of a decision.
const (
	// Run means that the call starts now.
	Run Action = iota
	// Queue means that the ticket waits until a later Changes starts or drops it.
	Queue
	// Refuse means that the call does not run; Decision.Cause says why.
	Refuse
)

// Decision is what the limiter decides about an offered ticket.
type Decision struct {
	Action Action
	// Cause is set only with Refuse.
	Cause request.Cause
}

// Drop is a queued ticket that will not run, and why.
type Drop struct {
	Ticket *Ticket
	Cause  request.Cause
}

// Changes lists the queued tickets that an event started or dropped. Its
// slices belong to the limiter and are valid until the next call of its methods.
type Changes struct {
	Started []*Ticket
	Dropped []Drop
}

// Kind is how the backend server ended a call.
type Kind uint8

// The kinds of result.
const (
	// Succeeded is any answer that took the server some work.
	Succeeded Kind = iota
	// Refused is the server's own refusal for lack of capacity.
	Refused
	// Failed is an error or a timeout, whose latency says nothing about load.
	Failed
)

// Result is the observed result of a running call at the backend server.
type Result struct {
	Kind Kind
	// Own is the latency without the time spent in calls to other services;
	// zero means the time since the ticket started.
	Own time.Duration
}
