// Package commitment sees that a request which may not be repeated runs at
// most once, and answers its repeats.
//
// The caller's Idempotency-Key is a UUIDv7, which carries the time of its
// minting. The key alone decides its home shard. The shard's owner keeps a
// Ledger: it records a key before it permits the one dispatch, and keeps
// record and answer for a window. An owner that took the shard without its
// predecessor's ledger answers "unknown" for keys minted before it was there;
// a Journal in the platform's key-value service narrows that down to the keys
// which may really have run.
//
// At most once rests on three fences, none of them on lease time alone: a
// successor's refusal of keys from before its time, the epoch and short life of
// a permission that the node beside the backend server checks (Fence), and the
// compare-and-swap of each journal write.
//
// # Usage
//
//	client := commitment.NewClient(commitment.ClientConfig{Peers: peers})
//	client.Apply(index)
//	ruling := client.Begin(ctx, commitment.Request{Key: key, ID: requestID, Workspace: "school", Fingerprint: sum})
//	switch ruling.Verdict {
//	case commitment.Run: // dispatch once with ruling.Permission, then
//		client.Finish(ctx, ruling.Permission, request.Answered, answer)
//	case commitment.Replay: // pass on ruling.Answer
//	}
//
//	fence := commitment.NewFence(commitment.FenceConfig{}) // beside the backend server
//	switch fence.Admit(permission, time.Now()) { ... } // Stale has not run
//
//	owner := commitment.NewOwner(commitment.OwnerConfig{Zone: "palermo", Gate: gate, Clock: clock, Now: time.Now})
//	owner.Gained(shard, epoch, nil)
//	answer := owner.HandleBegin(ctx, begin)
//
// Ledger, Fence and Journal are pure: the wall clock's reading is handed in.
package commitment
