// Package admission decides which work runs under overload: beside a backend
// server the Limiter guards its slots, and at the entry node the Gate sheds
// whole requests early.
//
// # Usage
//
//	limiter := admission.New(admission.Config{Slots: 35})
//	verdict, changes := limiter.Offer(&ticket, now)
//	changes = limiter.Finish(&ticket, now, admission.Result{Kind: admission.Succeeded})
//	level := limiter.Level(now) // travels back with the answer
//
//	gate := admission.NewGate(admission.GateConfig{})
//	orders := gate.Service("orders")
//	gate.Learn(orders, level, now)
//	admitted := gate.Admit(admission.Request{Priority: 1, Hash: hash}, []admission.ServiceID{orders}, now)
//
// Nothing here is safe for concurrent use: the caller holds a lock around each
// value. Time and random numbers are handed in. No decision allocates once the
// workspaces at hand have been seen.
package admission

import (
	"time"

	"auburngap/request"
)

// LevelsPerPriority divides a priority into admission levels.
const LevelsPerPriority = 4096

// FullLevel is the admission level that admits every request.
const FullLevel = uint16(request.Priorities) * LevelsPerPriority

// Action is what becomes of an offered ticket.
type Action uint8

// The actions of a verdict.
const (
	// Run means that the call starts now.
	Run Action = iota
	// Queue means that a later Changes starts or drops the ticket.
	Queue
	// Refuse means that the call does not run; Verdict.Cause says why.
	Refuse
)

// Verdict is the decision on an offered ticket.
type Verdict struct {
	Action Action
	// Cause is set with Refuse alone.
	Cause request.Cause
}

// Drop is a queued ticket that will not run.
type Drop struct {
	Ticket *Ticket
	Cause  request.Cause
}

// Changes lists the queued tickets that an event started or dropped. Its
// slices belong to the limiter and hold until its next method call.
type Changes struct {
	Started []*Ticket
	Dropped []Drop
}

// Kind tells how the backend server ended a call.
type Kind uint8

// The kinds of result.
const (
	// Succeeded is any answer that the server worked for.
	Succeeded Kind = iota
	// Refused is the server's own refusal for lack of capacity.
	Refused
	// Failed is an error or a timeout; its latency says nothing about load.
	Failed
)

// Result is what a running call has shown of the backend server.
type Result struct {
	Kind Kind
	// Own is the latency without the time spent in calls to other services;
	// zero takes the time since the ticket started.
	Own time.Duration
}
