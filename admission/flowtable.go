package admission

import "auburngap/request"

// flowCredit is how many tickets' worth of service a workspace that was served
// less than its share may catch up on.
const flowCredit = 4

// flow is one workspace's use of a limiter, in virtual time.
type flow struct {
	workspace string
	// finish is the virtual time at which the work taken on so far is paid for.
	finish [request.Priorities]float64
	// tickets counts the workspace's queued and running tickets.
	tickets int
	// place is the index in fairShare.ring.
	place int
}

// fairShare is start-time fair queueing among workspaces, one virtual clock a
// priority. A flow that is idle and owes nothing is forgotten.
type fairShare struct {
	flows map[string]*flow
	ring  []*flow
	spare []*flow
	sweep int
	// clock is the virtual time, the largest start tag served so far.
	clock [request.Priorities]float64
}

func newFairShare() fairShare {
	return fairShare{flows: make(map[string]*flow)}
}

// charge enters a ticket in its workspace's flow and sets its tag.
func (f *fairShare) charge(t *Ticket) {
	f.forgetOne()
	t.flow = f.flowOf(t.Workspace)
	t.flow.tickets++
	start := max(f.clock[t.Priority]-flowCredit/t.weight(), t.flow.finish[t.Priority])
	t.flow.finish[t.Priority] = start + 1/t.weight()
	t.key = queueKey{class: t.class(), tag: start, hash: t.Hash}
}

// serve moves the virtual clock on as a ticket starts.
func (f *fairShare) serve(t *Ticket) {
	f.clock[t.Priority] = max(f.clock[t.Priority], t.key.tag)
}

// refund takes back the charge of a ticket that has not run.
func (f *fairShare) refund(t *Ticket) {
	t.flow.finish[t.Priority] -= 1 / t.weight()
	f.release(t)
}

// release ends a ticket's part in its flow.
func (f *fairShare) release(t *Ticket) {
	t.flow.tickets--
	t.flow = nil
}

func (f *fairShare) flowOf(workspace string) *flow {
	if found, ok := f.flows[workspace]; ok {
		return found
	}
	fresh := f.newFlow()
	fresh.workspace = workspace
	fresh.place = len(f.ring)
	f.ring = append(f.ring, fresh)
	f.flows[workspace] = fresh
	return fresh
}

func (f *fairShare) newFlow() *flow {
	last := len(f.spare) - 1
	if last < 0 {
		return &flow{}
	}
	fresh := f.spare[last]
	f.spare = f.spare[:last]
	*fresh = flow{}
	return fresh
}

// forgetOne looks at one flow and drops it if a fresh one would do as well.
func (f *fairShare) forgetOne() {
	if len(f.ring) == 0 {
		return
	}
	f.sweep = (f.sweep + 1) % len(f.ring)
	candidate := f.ring[f.sweep]
	if candidate.tickets > 0 || f.owes(candidate) {
		return
	}
	last := f.ring[len(f.ring)-1]
	f.ring[candidate.place] = last
	last.place = candidate.place
	f.ring = f.ring[:len(f.ring)-1]
	delete(f.flows, candidate.workspace)
	f.spare = append(f.spare, candidate)
}

func (f *fairShare) owes(candidate *flow) bool {
	for priority, finish := range candidate.finish {
		if finish > f.clock[priority]-flowCredit {
			return true
		}
	}
	return false
}
