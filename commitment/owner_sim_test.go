package commitment

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"auburngap/bundle"
	"auburngap/kv"
	"auburngap/peer/peerpb"
	"auburngap/request"
)

var errNoAnswer = errors.New("no answer")

// ownerSim runs one shard in virtual time, with Owners that succeed each other, a
// Client for all entry nodes, and a backend server with its fence.
type ownerSim struct {
	journal bool
	seed    uint64
	source  *rand.Rand
	index   *bundle.Index
	start   time.Time
	fault   journalFault
	store   *memoryStore
	fence   *Fence
	client  *Client

	mu         sync.Mutex
	owner      *Owner
	epoch      uint64
	dead       map[*Owner]bool
	runs       map[Key]int
	answers    map[Key]string
	verdicts   map[Verdict]int
	memoryOnly int
	checkErr   error
	// loss is the percentage of messages that are lost.
	loss int
	// repeats makes callers retry requests that were answered.
	repeats bool
	// runTime is how long the backend server takes to run a request.
	runTime time.Duration
}

// journalFault is a fault that is injected to check that the tests detect it.
type journalFault int

const (
	noJournalFault journalFault = iota
	faultCoveredRunsOnMemory
	faultRunsBeforeLoad
	faultPermitsBeforeWrite
	faultCoverageWithoutRecords
)

// injectFault injects the fault into the current owner.
func (s *ownerSim) injectFault(owner *Owner) {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	shard := owner.shards[0]
	if shard == nil || shard.writer == nil {
		return
	}
	switch s.fault {
	case faultCoveredRunsOnMemory:
		shard.writer.journal.mayCoverUntil = time.Time{}
	case faultRunsBeforeLoad:
		if !shard.writer.loaded {
			shard.writer.journal.mayCoverUntil = time.Time{}
			shard.ledger.safeFrom = time.Time{}
		}
	case faultPermitsBeforeWrite:
		shard.writer.journal.healthy = false
		shard.writer.journal.mayCoverUntil = time.Time{}
	case faultCoverageWithoutRecords:
		shard.writer.journal.config.MaxBytes = 1 << 20
		shard.ledger.safeFrom = time.Time{}
	}
}

// memoryStore stores the journal in memory and can fail.
type memoryStore struct {
	mu       sync.Mutex
	state    *peerpb.JournalState
	revision kv.Revision
	down     bool
	// loseAnswers is the percentage of writes that take effect but return an
	// error.
	loseAnswers int
	source      *rand.Rand
	writes      int
	// ignoreRevision accepts writes without the comparison of compare-and-swap.
	ignoreRevision bool
	// regressed is true once an older epoch has replaced a newer one.
	regressed bool
	// latency is the duration of a write, at least 2 ms.
	latency time.Duration
}

func (m *memoryStore) Load(context.Context) (*peerpb.JournalState, kv.Revision, error) {
	time.Sleep(2 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, 0, kv.ErrUnavailable.New("down")
	}
	copied := &peerpb.JournalState{
		Epoch: m.state.GetEpoch(), CoveredFromUnixMicros: m.state.GetCoveredFromUnixMicros(),
		CoveredUntilUnixMicros: m.state.GetCoveredUntilUnixMicros(), Records: m.state.GetRecords(), Layout: m.state.GetLayout(),
	}
	return copied, m.revision, nil
}

func (m *memoryStore) setLatency(latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latency = latency
}

func (m *memoryStore) writeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}

func (m *memoryStore) Save(_ context.Context, state *peerpb.JournalState, revision kv.Revision) (kv.Revision, error) {
	m.mu.Lock()
	latency := m.latency
	m.mu.Unlock()
	time.Sleep(max(latency, 2*time.Millisecond))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, kv.ErrUnavailable.New("down")
	}
	if revision != m.revision && !m.ignoreRevision {
		return 0, kv.ErrConflict.New("revision %d", m.revision)
	}
	m.regressed = m.regressed || state.Epoch < m.state.Epoch
	m.state = state
	m.revision++
	m.writes++
	if m.source.IntN(100) < m.loseAnswers {
		return 0, kv.ErrUnavailable.New("answer lost")
	}
	return m.revision, nil
}

func newOwnerSim(seed uint64, journal bool) *ownerSim {
	s := &ownerSim{
		journal: journal, seed: seed, source: rand.New(rand.NewPCG(seed, 3)), start: time.Now(),
		dead: make(map[*Owner]bool),
		runs: make(map[Key]int), answers: make(map[Key]string), verdicts: make(map[Verdict]int),
		runTime: 20 * time.Millisecond,
	}
	s.fence = NewFence(FenceConfig{OnViolation: s.onViolation})
	s.store = &memoryStore{state: &peerpb.JournalState{}, source: rand.New(rand.NewPCG(seed, 4))}
	s.index = bundle.NewIndex(&bundle.Bundle{Zones: []bundle.Zone{{Name: "zone0", Shards: 1}}})
	s.client = NewClient(ClientConfig{Peers: s})
	s.client.Apply(s.index)
	return s
}

// onViolation panics unless a fault is injected.
func (s *ownerSim) onViolation(invariant string) {
	if s.fault == noJournalFault {
		panic("invariant violated: " + invariant)
	}
}

// ownership reports one owner as live until the next one acquires the shard.
type ownership struct {
	ownerSim *ownerSim
	epoch    uint64
}

func (g ownership) LiveOwnership(int, time.Duration) (uint64, bool) {
	g.ownerSim.mu.Lock()
	defer g.ownerSim.mu.Unlock()
	return g.epoch, g.ownerSim.epoch == g.epoch
}

// acquire creates the next owner, on a VM that has been running for a minute.
func (s *ownerSim) acquire(state *peerpb.LedgerState) {
	s.mu.Lock()
	s.epoch++
	epoch := s.epoch
	config := OwnerConfig{
		Zone: "zone0", OwnershipSource: ownership{s, epoch}, Now: time.Now,
		Clock: func() time.Duration { return time.Since(s.start) }, OnViolation: s.onViolation,
	}
	s.mu.Unlock()
	if s.journal {
		config.Store = func(ShardID) Store { return s.store }
	}
	owner := NewOwner(config)
	owner.Apply(s.index)
	owner.layoutSince = time.Now().Add(-time.Minute)
	owner.Gained(0, epoch, state)
	s.mu.Lock()
	s.owner = owner
	s.mu.Unlock()
}

// kill ends the owner's process. Its successor starts after the takeover time.
func (s *ownerSim) kill(takeover time.Duration) {
	s.mu.Lock()
	s.dead[s.owner] = true
	s.epoch++
	s.mu.Unlock()
	time.Sleep(takeover)
	s.acquire(nil)
}

// handOver hands the state over to the next owner.
func (s *ownerSim) handOver() {
	s.mu.Lock()
	owner := s.owner
	s.mu.Unlock()
	state := owner.Lost(0)
	time.Sleep(10 * time.Millisecond)
	s.acquire(state)
}

// transmit delays a message by its time on the network. It returns false if the
// message is lost.
func (s *ownerSim) transmit() bool {
	time.Sleep(300 * time.Microsecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.IntN(100) >= s.loss
}

func (s *ownerSim) reachOwner(ctx context.Context) *Owner {
	arrived := s.transmit()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !arrived || s.owner == nil || s.dead[s.owner] {
		return nil
	}
	return s.owner
}

// Begin implements Peers.
func (s *ownerSim) Begin(ctx context.Context, begin *peerpb.Begin) (*peerpb.BeginAnswer, error) {
	owner := s.reachOwner(ctx)
	if owner == nil {
		return nil, errNoAnswer
	}
	s.injectFault(owner)
	answer := owner.HandleBegin(ctx, begin)
	if !s.transmit() || s.isDead(owner) {
		return nil, errNoAnswer
	}
	return answer, nil
}

// Finish implements Peers.
func (s *ownerSim) Finish(ctx context.Context, finish *peerpb.Finish) (*peerpb.FinishAnswer, error) {
	owner := s.reachOwner(ctx)
	if owner == nil {
		return nil, errNoAnswer
	}
	answer := owner.HandleFinish(ctx, finish)
	if !s.transmit() || s.isDead(owner) {
		return nil, errNoAnswer
	}
	return answer, nil
}

func (s *ownerSim) isDead(owner *Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead[owner]
}

// newKey creates a key from the virtual time. uuid.NewV7 cannot be used, since its
// clock never goes back between tests.
func (s *ownerSim) newKey() Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	var key Key
	binary.BigEndian.PutUint64(key[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint64(key[8:], s.source.Uint64())
	key[6] = 0x70
	key[8] = key[8]&0x3f | 0x80
	return key
}

// pay sends one request. It returns the verdict, and the outcome that is reported
// to the caller.
func (s *ownerSim) pay(key Key, deadline time.Duration) (Verdict, request.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r := Request{Key: key, ID: uuid.UUID(s.newKey()), Workspace: "school", Fingerprint: "mug"}
	decision := s.client.Begin(ctx, r)
	s.mu.Lock()
	s.verdicts[decision.Verdict]++
	s.mu.Unlock()
	switch decision.Verdict {
	case Run:
		return Run, s.run(ctx, decision)
	case Replay:
		s.checkReplay(key, decision)
		return Replay, request.Answered
	default:
		outcome := decision.Refusal().Outcome
		s.checkNotRun(key, outcome)
		return decision.Verdict, outcome
	}
}

func (s *ownerSim) run(ctx context.Context, decision Decision) request.Outcome {
	key := decision.Permission.Key
	s.mu.Lock()
	if !decision.Journaled {
		s.memoryOnly++
	}
	admission := s.fence.Admit(decision.Permission, time.Now())
	shed := s.source.IntN(20) == 0
	s.mu.Unlock()
	if admission != Admitted || shed {
		s.checkNotRun(key, request.NotRun)
		s.client.Finish(ctx, decision.Permission, request.NotRun, nil)
		return request.NotRun
	}
	time.Sleep(s.runTime)
	s.mu.Lock()
	s.runs[key]++
	if s.runs[key] > 1 {
		s.checkErr = fmt.Errorf("%s ran %d times", key, s.runs[key])
	}
	s.answers[key] = fmt.Sprintf("paid %s", decision.Permission.Key)
	answer := s.answers[key]
	s.mu.Unlock()
	s.client.Finish(ctx, decision.Permission, request.Answered, []byte(answer))
	return request.Answered
}

func (s *ownerSim) checkReplay(key Key, decision Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[key] != 1 || string(decision.Answer) != s.answers[key] {
		s.checkErr = fmt.Errorf("%s: replayed %q, first answer %q", key, decision.Answer, s.answers[key])
	}
}

func (s *ownerSim) checkNotRun(key Key, outcome request.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if outcome == request.NotRun && s.runs[key] > 0 {
		s.checkErr = fmt.Errorf("%s ran but is reported as not run", key)
	}
}

// failure returns the error of a failed check, if any.
func (s *ownerSim) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkErr
}
