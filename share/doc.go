// Package share limits each workspace to its rate and burst over all VMs
// together. Tokens are lent and never copied.
//
// A workspace's rate and burst are split into fixed shares, one for each
// availability zone. Only the owner of the workspace's shard in a zone accrues
// the tokens of that zone's share, in its Lender. Nodes borrow whole tokens from
// the lender into their TokenCache before they run out, and spend them on customer
// requests. A lender that runs out borrows from the lenders of other zones. If
// the burst is only a few tokens per zone, the lender of one zone, the collector,
// does this for all zones. A loan counts against the lender's burst until it is
// reported spent, is given back, or has expired by both clocks. So the tokens
// that can still be spent never exceed the burst, even if messages are lost,
// late or repeated.
//
// # Usage
//
//	client := share.NewClient(share.ClientConfig{Zone: "palermo", Peers: peers, Clock: clock})
//	client.Apply(index)
//	ticket, refusal := client.Take(ctx, "school")
//	...
//	client.GiveBack(ticket) // the request ended without having run
//
//	owner := share.NewOwner(share.OwnerConfig{Zone: "palermo", OwnershipSource: source, Peers: peers, Clock: clock})
//	owner.Apply(index)
//	owner.Gained(shard, epoch, nil)
//	answer := owner.HandleDraw(ctx, draw)
//	state := owner.Lost(shard) // for a successor, on a graceful shutdown
//
// Lender and TokenCache do no I/O and read no clock: callers pass the reading of the
// VM's clock, which must go on while the VM is suspended. Client and Owner run
// them over the network.
package share
