package shard

import (
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"auburngap/charts"
	"auburngap/kv"
)

// idleReadsPerInterval bounds the reads per IdlePollInterval of all VMs without a
// lease together, while no other VM answers.
const idleReadsPerInterval = 10

// Config describes the VM whose shards a Machine decides on.
type Config struct {
	VM      string
	Zone    string
	Address netip.AddrPort
	// Incarnation differs at each start of the process.
	Incarnation string
	// Shards is the number of shards of the zone; it never changes.
	Shards int
	// MaxCandidates is the number of VMs of the zone that should hold leases. The
	// default is 7.
	MaxCandidates int
	Timing        Timing
	// OnViolation is called with the name of an invariant that does not hold.
	OnViolation func(invariant string)

	faults faults
}

// faults are injected by tests, to show that the checks detect them.
type faults struct {
	clockReadAfterCall, noLeaseWait, noReleaseWait, releaseEarly, noLeaseBinding bool
	restartConfirms, restartReleases, actAfterHandover, noMargin                 bool
	forgetWitnesses                                                              bool
}

// Machine is the state machine of one VM, which may own shards, take over shards
// and serve as a witness. It does no input or output and starts no goroutines.
// It is not safe for concurrent use.
type Machine struct {
	cfg    Config
	chart  *charts.Chart
	shards []shardState

	witness *witness
	lease   lease
	contact contact
	view    view
	round   round

	shutdown shutdown

	now     time.Duration
	vms     []string
	plan    plan
	actions []Action
}

// view is what the machine knows of the table and the candidates.
type view struct {
	table Table
	// revision is the revision of the table at the platform. It is valid only if
	// synced is set.
	revision   kv.Revision
	synced     bool
	candidates map[string]Candidate
	readDone   bool
	reading    bool
	// lastRead is when the last read was sent. nextRead forces a read before the
	// regular one.
	lastRead, nextRead time.Duration
	// vacant means that one more VM may hold a lease. This VM may request it from
	// joinAt on, and mayJoin means that it may now.
	vacant, mayJoin bool
	joinAt          time.Duration
	// missingSince holds for each witness without a lease since when it has had none.
	missingSince map[string]time.Duration
}

// NewMachine returns the machine of a process that starts now. It fails only if
// the embedded charts are invalid.
func NewMachine(cfg Config, now time.Duration) (*Machine, error) {
	file, err := charts.Load("shard.json")
	if err != nil {
		return nil, err
	}
	if cfg.MaxCandidates == 0 {
		cfg.MaxCandidates = 7
	}
	if cfg.OnViolation == nil {
		cfg.OnViolation = func(string) {}
	}
	m := &Machine{
		cfg:     cfg,
		chart:   file.Chart("shard"),
		witness: newWitness(file.Chart("witness"), cfg.Timing, cfg.faults, now),
		lease:   lease{chart: file.Chart("lease"), state: file.Chart("lease").Initial, expiresAt: distantPast},
		contact: contact{lastAnswered: distantPast},
		view:    view{table: NewTable(cfg.Shards), missingSince: map[string]time.Duration{}, lastRead: distantPast, nextRead: distantFuture},
		round:   round{knownVersions: map[string]uint64{}, releases: map[string]bool{}, lastAnswerAt: distantPast},
		now:     now,
	}
	m.shards = make([]shardState, cfg.Shards)
	for i := range m.shards {
		m.shards[i] = shardState{state: m.chart.Initial, confirmedUntil: distantPast}
	}
	return m, nil
}

// Handle applies an event at a reading of the clock and returns the actions that
// the driver has to perform.
func (m *Machine) Handle(event Event, now time.Duration) []Action {
	m.now = now
	m.actions = nil
	m.expire()
	event.apply(m)
	m.advance()
	m.maintainLease()
	m.writeTable()
	m.startRound()
	m.leave()
	return m.actions
}

// Table returns the table with the highest version that the VM knows. The caller
// must not modify it.
func (m *Machine) Table() Table { return m.view.table }

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) checkInvariant(ok bool, invariant string) {
	if !ok {
		m.cfg.OnViolation(invariant)
	}
}

func (e Tick) apply(m *Machine) {
	m.vms = e.VMs
	m.gossip()
	v := &m.view
	due := m.now >= v.nextRead || v.lastRead == distantPast || m.now-v.lastRead >= m.readInterval()
	if v.reading || !due {
		return
	}
	v.reading = true
	v.lastRead, v.nextRead = m.now, distantFuture
	m.emit(ReadSnapshot{})
}

// readInterval returns the time between two reads of the platform. It keeps the
// rate of reads independent of the number of VMs, since VMs without a lease
// receive the table from others.
func (m *Machine) readInterval() time.Duration {
	t := &m.cfg.Timing
	if !m.idle() {
		return t.PollInterval
	}
	if m.round.lastAnswerAt == distantPast || m.now-m.round.lastAnswerAt > 3*t.GossipInterval {
		return t.IdlePollInterval * time.Duration(1+len(m.vms)/idleReadsPerInterval)
	}
	if m.tableShowsVacancy() {
		return m.jittered(t.VacancyPollInterval)
	}
	return m.jittered(t.InformedPollInterval)
}

// jittered returns a duration between half of d and d that depends on the VM.
func (m *Machine) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(score(m.cfg.VM, leaseRankShard)%uint64(d/2))
}

// tableShowsVacancy reports whether there are fewer witnesses than VMs that may
// hold leases.
func (m *Machine) tableShowsVacancy() bool {
	witnesses := map[string]bool{}
	for i := range m.view.table.Shards {
		for _, vm := range m.view.table.Shards[i].Witnesses {
			witnesses[vm] = true
		}
	}
	return len(witnesses) < m.cfg.MaxCandidates
}

// idle reports whether the VM neither holds nor wants a lease.
func (m *Machine) idle() bool {
	return m.lease.state == "none" && m.view.readDone && !m.wantsLease()
}

func (e Snapshot) apply(m *Machine) {
	m.view.reading = false
	if !m.contact.recordCall(m, e.SentAt, e.Err) || e.Table.Version < m.view.table.Version {
		return
	}
	m.view.candidates = e.Candidates
	m.view.readDone = true
	m.lease.reconcile(m, e.Candidates[m.cfg.VM], e.SentAt)
	m.updateVacancy(e.SentAt)
	m.updateMissing()
	m.applyTable(e.Table, true, e.Revision)
	m.witness.recordRead(e.Table.Version, e.SentAt)
	m.updateLapsed()
}

func (e TableWritten) apply(m *Machine) {
	m.plan.writing = false
	m.contact.recordCall(m, e.SentAt, e.Err)
	if e.Err == nil {
		m.applyTable(e.Table, true, e.Revision)
		return
	}
	for i := range m.shards {
		m.fire(i, "conflict")
	}
	m.view.synced = false
	m.view.nextRead = m.now
}

// applyTable applies a table that is known to have been written. synced means
// that revision is its revision at the platform.
func (m *Machine) applyTable(t Table, synced bool, revision kv.Revision) {
	m.checkInvariant(len(t.Shards) == m.cfg.Shards, "the table has the zone's number of shards")
	if len(t.Shards) != m.cfg.Shards || t.Version < m.view.table.Version {
		return
	}
	if t.Version == m.view.table.Version && !synced {
		return
	}
	old := m.view.table
	newer := t.Version > old.Version
	if newer && !synced {
		m.view.synced = false
		if !m.idle() {
			m.view.nextRead = m.now
		}
	}
	if synced {
		m.view.revision, m.view.synced = revision, true
	}
	m.view.table = t
	if !newer {
		return
	}
	m.witness.observeVersion(t.Version)
	m.round.reset()
	for i := range m.shards {
		m.applyEntry(i, old.Shards[i], t.Shards[i])
	}
}

// contact records whether the platform answers this VM's calls.
type contact struct {
	// lastAnswered is the reading taken before the last answered call was sent.
	lastAnswered time.Duration
	// reachableSince is when the platform last became reachable.
	reachableSince time.Duration
	broken         bool
}

// recordCall records the end of a platform call and reports whether the call
// succeeded. Conflicts and missing keys are failures that show that the platform
// is reachable.
func (c *contact) recordCall(m *Machine, sentAt time.Duration, err error) bool {
	if err != nil && !errorx.IsOfType(err, kv.ErrConflict) && !errorx.IsOfType(err, kv.ErrNotFound) {
		c.broken = true
		return false
	}
	if c.broken || sentAt-c.lastAnswered > m.cfg.Timing.UnreachableAfter {
		c.reachableSince = m.now
		c.broken = false
	}
	c.lastAnswered = max(c.lastAnswered, sentAt)
	return err == nil
}

// steady reports whether the platform has been reachable for so long that other
// VMs have also had time to renew their leases.
func (m *Machine) steady() bool {
	c := &m.contact
	return !c.broken && m.now-c.lastAnswered <= m.cfg.Timing.UnreachableAfter && m.now-c.reachableSince >= m.cfg.Timing.SteadyAfter
}
