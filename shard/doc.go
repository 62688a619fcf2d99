// Package shard decides which VM of an availability zone owns which shard, so
// that at most one VM acts on a shard at any time.
//
// # Usage
//
//	keeper, err := shard.NewKeeper(shard.KeeperConfig{
//		VM: "a1", Zone: "north", Address: address, Shards: 8,
//		Platform: client, Peers: peers, Callbacks: callbacks, Clock: clock.Boot{},
//	})
//	go keeper.Run(ctx)
//	ownership, ok := keeper.LiveOwnership(3, keeper.Now()) // before every operation on shard 3
//	vm, address, epoch, ok := keeper.OwnerOf("north", 3)   // where to send requests for shard 3
//	err = keeper.Shutdown(ctx)                             // hands the shards over with their state
//
// The protocol is specified in spec/shard.pml. Its states and transitions are in
// charts/shard.json, and docs/SHARDS.md explains both. Machine is the state machine
// without any input or output. Keeper drives it with goroutines, a clock, the
// platform and the other VMs of the zone.
//
// Times are readings of a clock that continues while the VM is suspended, given as
// durations since an arbitrary start. After every wait, ownership must be checked
// again with LiveOwnership and a new reading.
package shard
