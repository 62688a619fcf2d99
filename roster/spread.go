package roster

import "context"

// AddDeparture records that a run of this VM's backend server leaves.
func (f *Follower) AddDeparture(departure Departure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departures.add(departure)
}

// SpreadDepartures tells other nodes which runs of this VM's backend server have left, and
// returns how many know it.
func (f *Follower) SpreadDepartures(ctx context.Context) int {
	f.mu.Lock()
	peers := f.rankedPeers()
	f.mu.Unlock()
	peers = peers[:min(len(peers), syncPeersPerRound)]
	errs := make(chan error, len(peers))
	for _, member := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, syncQueryTimeout)
			defer cancel()
			_, err := f.exchange(ctx, member.Address)
			errs <- err
		}()
	}
	told := 0
	for range peers {
		if err := <-errs; err == nil {
			told++
		}
	}
	return told
}

// addDepartures records departures that other nodes know of, and calls OnChange if one is
// of this VM's backend server. The caller must hold the lock.
func (f *Follower) addDepartures(departures []Departure) {
	isOwn := false
	for _, departure := range departures {
		if f.departures.add(departure) && departure.VM == f.config.VM {
			isOwn = true
		}
	}
	if isOwn {
		f.notify()
	}
}

// addMemberDepartures records the backend servers that members publish as leaving. The
// caller must hold the lock.
func (f *Follower) addMemberDepartures() {
	for _, member := range f.members {
		if member.Backend != nil && member.Backend.Draining {
			f.departures.add(Departure{VM: member.VM, Instance: member.Backend.Instance, Started: member.Backend.Started})
		}
	}
}
