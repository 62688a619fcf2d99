// Package directory keeps an availability zone's list of backend servers: the
// nodes announce themselves to relays, which are a few nodes that hold a lease,
// and relays pass on to each node what it has subscribed to.
//
// # Usage
//
//	state := directory.NewState(directory.StateConfig{Zone: "khomas-1"})
//	state.Hear(now, entry)                 // a node's own announcement
//	state.Merge(source, entry)             // what another relay lists
//	state.Tick(now)
//	delta := state.Since(version, filter)  // for a subscriber
package directory
