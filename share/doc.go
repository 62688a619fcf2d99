// Package share holds each workspace to its rate and burst over all VMs
// together, by tokens that are lent and never copied.
//
// A workspace's rate and burst are split into fixed shares, one for each
// availability zone. A zone's share accrues only at the owner of the
// workspace's shard there, its Bank. Nodes borrow whole tokens from the bank
// into their Wallet before they run dry and spend them on customer requests;
// a bank that runs dry borrows from the banks of other zones. Where the burst is a
// few tokens a zone, one zone's bank, the collector, does so for all. A loan counts
// against the lender's burst until it is reported spent, is given back, or has
// lapsed by both clocks. So the tokens that can still be spent never exceed
// the burst, and no lost, late or repeated message changes that.
//
// # Usage
//
//	client := share.NewClient(share.ClientConfig{Zone: "palermo", Peers: peers, Clock: clock})
//	client.Apply(index)
//	ticket, refusal := client.Take(ctx, "school")
//	...
//	client.GiveBack(ticket) // the request ended without having run
//
//	owner := share.NewOwner(share.OwnerConfig{Zone: "palermo", Gate: gate, Peers: peers, Clock: clock})
//	owner.Apply(index)
//	owner.Gained(shard, epoch, nil)
//	answer := owner.HandleDraw(ctx, draw)
//	state := owner.Lost(shard) // for a successor, on a graceful shutdown
//
// Bank and Wallet are pure: they are handed the reading of their VM's clock,
// which must go on while the VM is suspended. Client and Owner drive them.
package share
