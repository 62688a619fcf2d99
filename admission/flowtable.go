package admission

import "auburngap/request"

// maxFlowCredit is the number of tickets by which a workspace that got less than its
// share may catch up.
const maxFlowCredit = 4

// flow accounts for one workspace's use of a limiter, in virtual time.
type flow struct {
	workspace string
	// finishTag is the finish tag of the last ticket of each priority, in virtual time.
	finishTag [request.Priorities]float64
	// tickets counts the workspace's queued and running tickets.
	tickets int
	// index is the flow's index in flowTable.all.
	index int
}

// flowTable implements start-time fair queueing among workspaces, with a virtual clock
// for each priority. Idle flows are removed once their finish tags no longer matter.
type flowTable struct {
	flows      map[string]*flow
	all        []*flow
	freeFlows  []*flow
	sweepIndex int
	// virtualTime is the largest start tag of the tickets started so far.
	virtualTime [request.Priorities]float64
}

func newFlowTable() flowTable {
	return flowTable{flows: make(map[string]*flow)}
}

// charge adds a ticket to its workspace's flow and sets its start tag.
func (f *flowTable) charge(t *Ticket) {
	f.evictOneIdle()
	t.flow = f.flowFor(t.Workspace)
	t.flow.tickets++
	start := max(f.virtualTime[t.Priority]-maxFlowCredit/t.weight(), t.flow.finishTag[t.Priority])
	t.flow.finishTag[t.Priority] = start + 1/t.weight()
	t.key = queueKey{class: t.class(), tag: start, hash: t.Hash}
}

// advanceClock advances the virtual clock when a ticket starts.
func (f *flowTable) advanceClock(t *Ticket) {
	f.virtualTime[t.Priority] = max(f.virtualTime[t.Priority], t.key.tag)
}

// refund reverses the charge of a ticket that has not run.
func (f *flowTable) refund(t *Ticket) {
	t.flow.finishTag[t.Priority] -= 1 / t.weight()
	f.release(t)
}

// release removes a ticket from its flow.
func (f *flowTable) release(t *Ticket) {
	t.flow.tickets--
	t.flow = nil
}

func (f *flowTable) flowFor(workspace string) *flow {
	if found, ok := f.flows[workspace]; ok {
		return found
	}
	fresh := f.newFlow()
	fresh.workspace = workspace
	fresh.index = len(f.all)
	f.all = append(f.all, fresh)
	f.flows[workspace] = fresh
	return fresh
}

func (f *flowTable) newFlow() *flow {
	last := len(f.freeFlows) - 1
	if last < 0 {
		return &flow{}
	}
	fresh := f.freeFlows[last]
	f.freeFlows = f.freeFlows[:last]
	*fresh = flow{}
	return fresh
}

// evictOneIdle checks one flow, in turn, and removes it if a new flow would be
// equivalent.
func (f *flowTable) evictOneIdle() {
	if len(f.all) == 0 {
		return
	}
	f.sweepIndex = (f.sweepIndex + 1) % len(f.all)
	candidate := f.all[f.sweepIndex]
	if candidate.tickets > 0 || f.finishTagMatters(candidate) {
		return
	}
	last := f.all[len(f.all)-1]
	f.all[candidate.index] = last
	last.index = candidate.index
	f.all = f.all[:len(f.all)-1]
	delete(f.flows, candidate.workspace)
	f.freeFlows = append(f.freeFlows, candidate)
}

// finishTagMatters reports whether a finish tag of the flow may still affect a start
// tag.
func (f *flowTable) finishTagMatters(candidate *flow) bool {
	for priority, finishTag := range candidate.finishTag {
		if finishTag > f.virtualTime[priority]-maxFlowCredit {
			return true
		}
	}
	return false
}
