package shard

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"auburngap/kv"
)

// sim connects machines through an in-memory platform and network with faults.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	queue  queue
	nodes  map[string]*simNode
	names  []string
	timing Timing
	faults faults
	shards int
	// maxCandidates is Config.MaxCandidates; zero is the default.
	maxCandidates int

	table         Table
	tableRevision kv.Revision
	revision      kv.Revision
	candidates    map[string]Candidate
	leases        map[kv.LeaseID]time.Duration
	nextLease     kv.LeaseID
	outage        bool
	// clockRate is the speed of the platform's clock; 1 is exact.
	clockRate float64
	// dropRate, lateRate and duplicateRate are the probabilities that a message is
	// lost, lateRate or duplicated.
	dropRate, lateRate, duplicateRate float64

	// writeDelay delays the next write of the table.
	writeDelay time.Duration

	// inheritedGains counts the gains that came with the state of the shard.
	gains, inheritedGains int
	// calls counts the calls that reached the platform.
	calls      int
	violations []string
}

type simNode struct {
	sim         *sim
	vm          string
	machine     *Machine
	incarnation int
	clockRate   float64
	paused      bool
	// pauseInCall pauses the VM between the next call that reaches the platform
	// and its answer.
	pauseInCall bool
	// waiting holds what is delivered when the VM resumes.
	waiting    []func()
	noPlatform bool
	// cut holds the VMs whose messages do not get through.
	cut       map[string]bool
	inherited map[int]bool
}

type queued struct {
	at  time.Duration
	seq uint64
	run func()
}

type queue struct {
	items []queued
	seq   uint64
}

func (q *queue) Len() int { return len(q.items) }
func (q *queue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	return a.at < b.at || (a.at == b.at && a.seq < b.seq)
}
func (q *queue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }
func (q *queue) Push(x any)    { q.items = append(q.items, x.(queued)) }
func (q *queue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

func newSim(seed uint64, vms, shards int, f faults) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*simNode{}, timing: DefaultTiming(), shards: shards, faults: f,
		table: NewTable(shards), candidates: map[string]Candidate{}, leases: map[kv.LeaseID]time.Duration{}, clockRate: 1,
	}
	for i := range vms {
		name := fmt.Sprintf("vm%d", i)
		s.names = append(s.names, name)
		s.nodes[name] = &simNode{sim: s, vm: name, clockRate: 1, cut: map[string]bool{}, inherited: map[int]bool{}}
		s.nodes[name].start()
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.queue.seq++
	heap.Push(&s.queue, queued{at: s.now + d, seq: s.queue.seq, run: run})
}

// run lets d pass and checks the invariant after each event.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for s.queue.Len() > 0 && s.queue.items[0].at <= end {
		next := heap.Pop(&s.queue).(queued)
		s.now = next.at
		next.run()
		s.check()
	}
	s.now = end
	s.check()
}

// check records a violation for every shard on which two VMs may act now.
func (s *sim) check() {
	for i := range s.shards {
		if owners := s.owners(i); len(owners) > 1 {
			s.violations = append(s.violations, fmt.Sprintf("%v: shard %d owned by %v", s.now, i, owners))
		}
	}
}

func (s *sim) owners(shard int) []string {
	var owners []string
	for _, name := range s.names {
		n := s.nodes[name]
		if n.machine == nil {
			continue
		}
		if _, until, ok := n.machine.LiveOwnership(shard); ok && until > n.clock() {
			owners = append(owners, name)
		}
	}
	return owners
}

func (n *simNode) clock() time.Duration {
	return time.Hour + time.Duration(float64(n.sim.now)*n.clockRate)
}

func (n *simNode) start() {
	n.incarnation++
	n.inherited = map[int]bool{}
	cfg := Config{
		VM: n.vm, Zone: "z", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: fmt.Sprint(n.vm, "/", n.incarnation),
		Shards: n.sim.shards, MaxCandidates: n.sim.maxCandidates, Timing: n.sim.timing, faults: n.sim.faults,
		OnViolation: func(name string) { n.sim.violations = append(n.sim.violations, name) },
	}
	m, err := NewMachine(cfg, n.clock())
	if err != nil {
		panic(err)
	}
	n.machine = m
	n.tick(n.incarnation)
}

func (n *simNode) tick(incarnation int) {
	if n.machine == nil || n.incarnation != incarnation {
		return
	}
	n.sim.after(100*time.Millisecond, func() { n.tick(incarnation) })
	if !n.paused {
		n.handle(Tick{VMs: n.sim.names[:min(5, len(n.sim.names))]}, nil)
	}
}

func (n *simNode) kill() {
	n.machine = nil
	n.waiting = nil
	n.paused = false
}

func (n *simNode) resume() {
	n.paused = false
	waiting := n.waiting
	n.waiting = nil
	for _, run := range waiting {
		run()
	}
}

// deliver calls run now, or when the VM resumes, or never if the process has ended.
func (n *simNode) deliver(incarnation int, run func()) {
	if n.machine == nil || n.incarnation != incarnation {
		return
	}
	if n.paused {
		n.waiting = append(n.waiting, func() { n.deliver(incarnation, run) })
		return
	}
	run()
}

func (n *simNode) handle(event Event, reply func(Answer)) {
	for _, action := range n.machine.Handle(event, n.clock()) {
		n.perform(action, reply)
		if n.machine == nil {
			return
		}
	}
}

func (n *simNode) perform(action Action, reply func(Answer)) {
	s := n.sim
	sentAt := n.clock()
	switch a := action.(type) {
	case ReadSnapshot:
		n.call(func() Event {
			return Snapshot{Table: s.table.Clone(), Revision: s.tableRevision, Candidates: maps.Clone(s.candidates), SentAt: sentAt}
		}, Snapshot{SentAt: sentAt, Err: kv.ErrUnavailable.New("lost")})
	case GrantLease:
		n.call(func() Event {
			s.nextLease++
			s.leases[s.nextLease] = s.now
			return LeaseGranted{Lease: s.nextLease, SentAt: sentAt}
		}, LeaseGranted{SentAt: sentAt, Err: kv.ErrUnavailable.New("lost")})
	case PutLease:
		n.call(func() Event { return LeasePut{Lease: a.Candidate.Lease, SentAt: sentAt, Err: s.putLease(a)} },
			LeasePut{SentAt: sentAt, Err: kv.ErrUnavailable.New("lost")})
	case RenewLease:
		n.call(func() Event {
			if _, ok := s.leases[a.Lease]; !ok {
				return LeaseRenewed{Lease: a.Lease, SentAt: sentAt, Err: kv.ErrNotFound.New("lapsed")}
			}
			s.leases[a.Lease] = s.now
			return LeaseRenewed{Lease: a.Lease, SentAt: sentAt}
		}, LeaseRenewed{Lease: a.Lease, SentAt: sentAt, Err: kv.ErrUnavailable.New("lost")})
	case RevokeLease:
		n.call(func() Event { s.lapse(a.Lease); return nil }, nil)
	case WriteTable:
		late := s.writeDelay
		s.writeDelay = 0
		n.callAfter(late, func() Event { return s.write(a, sentAt) }, TableWritten{SentAt: sentAt, Err: kv.ErrUnavailable.New("lost")})
	case SendRequest:
		n.ask(a)
	case SendAnswer:
		reply(a.Answer)
	case GainShard:
		s.gains++
		if a.Inherited {
			s.inheritedGains++
		}
	case ExportShard:
		n.export(a)
	case ShutdownComplete:
		n.kill()
	}
}

func (s *sim) lapse(lease kv.LeaseID) {
	delete(s.leases, lease)
	maps.DeleteFunc(s.candidates, func(_ string, c Candidate) bool { return c.Lease == lease })
}

func (s *sim) lapseExpired() {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if float64(s.now-s.leases[id])*s.clockRate >= float64(s.timing.LeaseTTL) {
			s.lapse(id)
		}
	}
}

func (s *sim) putLease(a PutLease) error {
	if s.candidates[a.Candidate.VM].Revision != a.IfRevision {
		return kv.ErrConflict.New("lease key")
	}
	if _, ok := s.leases[a.Candidate.Lease]; !ok {
		return kv.ErrNotFound.New("lapsed")
	}
	s.revision++
	c := a.Candidate
	c.Revision = s.revision + 1<<32
	s.candidates[c.VM] = c
	return nil
}

func (s *sim) write(a WriteTable, sentAt time.Duration) Event {
	if a.IfRevision != s.tableRevision {
		return TableWritten{SentAt: sentAt, Err: kv.ErrConflict.New("table")}
	}
	s.revision++
	s.tableRevision = s.revision
	s.table = a.Table.Clone()
	return TableWritten{Table: a.Table.Clone(), Revision: s.revision, SentAt: sentAt}
}

// delay returns how long a message takes, and whether it is lost.
func (s *sim) delay() (time.Duration, bool) {
	d := time.Duration(s.rng.Int64N(int64(5 * time.Millisecond)))
	if s.rng.Float64() < s.lateRate {
		longest := 900 * time.Millisecond
		if s.rng.IntN(2) == 0 {
			longest = 6 * time.Second
		}
		d += time.Duration(s.rng.Int64N(int64(longest)))
	}
	return d, s.rng.Float64() < s.dropRate
}

// call sends a platform call. If no answer arrives within a second, the event is
// failed, although the call may still take effect.
func (n *simNode) call(apply func() Event, failed Event) {
	n.callAfter(0, apply, failed)
}

func (n *simNode) callAfter(late time.Duration, apply func() Event, failed Event) {
	s := n.sim
	incarnation := n.incarnation
	done := false
	finish := func(e Event) {
		n.deliver(incarnation, func() {
			if !done && e != nil {
				done = true
				n.handle(e, nil)
			}
		})
	}
	s.after(time.Second, func() { finish(failed) })
	d, lost := s.delay()
	if lost {
		return
	}
	s.after(d+late, func() {
		if s.outage || n.noPlatform {
			return
		}
		s.calls++
		s.lapseExpired()
		event := apply()
		n.paused = n.paused || n.pauseInCall && n.machine != nil
		n.pauseInCall = false
		returnDelay, lost := s.delay()
		if !lost {
			s.after(returnDelay, func() {
				if !n.noPlatform {
					finish(event)
				}
			})
		}
	})
}

func (n *simNode) ask(a SendRequest) {
	s := n.sim
	from := n.incarnation
	to := s.nodes[a.To]
	if to == nil {
		return
	}
	times := 1
	if s.rng.Float64() < s.duplicateRate {
		times = 2
	}
	for range times {
		d, lost := s.delay()
		if lost {
			continue
		}
		s.after(d, func() {
			to.deliver(to.incarnation, func() {
				if n.cut[a.To] || to.cut[n.vm] {
					return
				}
				to.handle(RequestReceived{From: n.vm, Request: a.Request}, func(answer Answer) { to.answer(n, from, answer) })
			})
		})
	}
}

func (n *simNode) answer(to *simNode, incarnation int, answer Answer) {
	d, lost := n.sim.delay()
	if lost {
		return
	}
	n.sim.after(d, func() {
		to.deliver(incarnation, func() {
			if !n.cut[to.vm] && !to.cut[n.vm] {
				to.handle(AnswerReceived{From: n.vm, Answer: answer}, nil)
			}
		})
	})
}

func (n *simNode) export(a ExportShard) {
	to := n.sim.nodes[a.To]
	incarnation := n.incarnation
	event := ShardExported{Shard: a.Shard}
	if to.machine == nil || to.paused || n.cut[a.To] || to.cut[n.vm] {
		event.Err = kv.ErrUnavailable.New("successor")
	} else {
		event.Incarnation = to.machine.cfg.Incarnation
	}
	n.sim.after(time.Millisecond, func() { n.deliver(incarnation, func() { n.handle(event, nil) }) })
}
