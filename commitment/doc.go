// Package commitment makes sure that a request that must not run twice runs at
// most once, and answers its retries.
//
// The caller's Idempotency-Key is a UUIDv7, which contains its creation time. The
// key alone determines its owner shard. The owner of that shard keeps a Ledger: it
// records a key before it permits the single dispatch, and keeps the record and
// the answer for a retention window. An owner that acquired the shard without its
// predecessor's ledger answers "unknown" for keys created before it took over; a
// Journal in the platform's key-value service limits this to the keys that may
// really have run.
//
// At-most-once execution rests on three fences, none of which relies on lease time
// alone: a successor refuses keys created before it took over; the backend
// server's node checks the epoch and the short lifetime of each permission
// (Fence); and each journal write is a compare-and-swap.
//
// # Usage
//
//	client := commitment.NewClient(commitment.ClientConfig{Peers: peers})
//	client.Apply(index)
//	decision := client.Begin(ctx, commitment.Request{Key: key, ID: requestID, Workspace: "school", Fingerprint: sum})
//	switch decision.Verdict {
//	case commitment.Run: // dispatch once with decision.Permission, then call
//		client.Finish(ctx, decision.Permission, request.Answered, answer)
//	case commitment.Replay: // return decision.Answer
//	}
//
//	fence := commitment.NewFence(commitment.FenceConfig{}) // at the backend server's node
//	switch fence.Admit(permission, time.Now()) { ... } // a Stale dispatch has not run
//
//	owner := commitment.NewOwner(commitment.OwnerConfig{Zone: "palermo", OwnershipSource: source, Clock: clock, Now: time.Now})
//	owner.Gained(shard, epoch, nil)
//	answer := owner.HandleBegin(ctx, begin)
//
// Ledger, Fence and Journal do no I/O and read no clock: the wall clock time is a parameter.
package commitment
