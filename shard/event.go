package shard

import (
	"time"

	"auburngap/kv"
)

// Event is an input of a Machine.
type Event interface {
	apply(m *Machine)
}

// Tick is sent every 100 milliseconds.
type Tick struct {
	// VMs holds the known VMs of the zone to which requests can be sent.
	VMs []string
}

// LeaseGranted is the result of GrantLease. SentAt in the results of platform calls is
// the reading taken before the call was sent.
type LeaseGranted struct {
	Lease  kv.LeaseID
	SentAt time.Duration
	Err    error
}

// LeasePut is the result of PutLease.
type LeasePut struct {
	Lease  kv.LeaseID
	SentAt time.Duration
	Err    error
}

// LeaseRenewed is the result of RenewLease.
type LeaseRenewed struct {
	Lease  kv.LeaseID
	SentAt time.Duration
	Err    error
}

// Snapshot is the result of ReadSnapshot: the table and the leases at one revision of the
// platform.
type Snapshot struct {
	Table Table
	// Revision is the revision of the table's key, or kv.Absent if there is none.
	Revision   kv.Revision
	Candidates map[string]Candidate
	SentAt     time.Duration
	Err        error
}

// TableWritten is the result of WriteTable.
type TableWritten struct {
	Table    Table
	Revision kv.Revision
	SentAt   time.Duration
	Err      error
}

// RequestReceived is a request from another VM to this one as a witness. The machine
// answers it with SendAnswer.
type RequestReceived struct {
	From    string
	Request Request
}

// AnswerReceived is a witness's answer to this VM.
type AnswerReceived struct {
	From   string
	Answer Answer
}

// ShardExported is the result of ExportShard.
type ShardExported struct {
	Shard int
	// Incarnation is the successor's process that has received the state.
	Incarnation string
	Err         error
}

// Refresh requests a newer table, since the owner that the table names did not
// answer as the owner.
type Refresh struct{}

// Shutdown starts a graceful shutdown.
type Shutdown struct{}

// Request is a request to a witness.
type Request struct {
	// Round is the number of the round of requests, counted per process.
	Round uint64
	// Version is the highest table version that the sender knows; zero if it knows
	// none. A witness that knows a later version answers with its table.
	Version uint64
	// Table is the sender's table; nil if the witness already knows it.
	Table *Table
	// Extend requests a confirmation of Version for Term.
	Extend bool
	Term   time.Duration
	// Released means that the sender, as a witness, has released the versions before
	// Version.
	Released bool
}

// Answer is a witness's answer to a Request.
type Answer struct {
	Round uint64
	// Version is the highest table version that the witness knows.
	Version uint64
	// Confirmed is a promise not to release the request's version for its term.
	Confirmed bool
	// Released is a promise never again to confirm a version below the request's.
	Released bool
	// Table is the witness's table; nil unless its version is later than the
	// request's.
	Table *Table
}

// Action is something that the driver has to perform for a Machine.
type Action interface{ action() }

// GrantLease requests a lease from the platform.
type GrantLease struct{ TTL time.Duration }

// PutLease writes the lease's key.
type PutLease struct {
	Candidate  Candidate
	IfRevision kv.Revision
}

// RenewLease renews the lease.
type RenewLease struct{ Lease kv.LeaseID }

// RevokeLease ends the lease. It has no result event.
type RevokeLease struct{ Lease kv.LeaseID }

// ReadSnapshot reads the table and the leases.
type ReadSnapshot struct{}

// WriteTable writes the table by compare-and-swap.
type WriteTable struct {
	Table      Table
	IfRevision kv.Revision
}

// SendRequest sends a request to another VM.
type SendRequest struct {
	To      string
	Request Request
}

// SendAnswer answers the request that is being handled.
type SendAnswer struct{ Answer Answer }

// GainShard means that the VM owns a shard from now on, or owns it under a new epoch.
type GainShard struct {
	Shard int
	Epoch uint64
	// FromEpoch is the epoch of the state that Inherited refers to.
	FromEpoch uint64
	// Inherited means that the state of the shard is available: this process
	// kept it, or received it in a handover.
	Inherited bool
	// ByHandover means that the state was received in a handover.
	ByHandover bool
}

// LoseShard means that the VM no longer owns a shard.
type LoseShard struct {
	Shard int
	Epoch uint64
}

// ExportShard sends the state of a shard that was already lost to its successor.
type ExportShard struct {
	Shard int
	Epoch uint64
	To    string
}

// ShutdownComplete means that the shutdown is complete and the machine has ended.
type ShutdownComplete struct{}

func (GrantLease) action()       {}
func (PutLease) action()         {}
func (RenewLease) action()       {}
func (RevokeLease) action()      {}
func (ReadSnapshot) action()     {}
func (WriteTable) action()       {}
func (SendRequest) action()      {}
func (SendAnswer) action()       {}
func (GainShard) action()        {}
func (LoseShard) action()        {}
func (ExportShard) action()      {}
func (ShutdownComplete) action() {}
