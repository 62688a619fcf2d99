package roster

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"auburngap/kv"
	"auburngap/kv/fake"
	"auburngap/peer"
)

const (
	// siteZones and zoneNodes are the size of a simulated site.
	siteZones = 3
	zoneNodes = 4
	// siteTime is how long a site is simulated, and checkStep the time between two checks.
	siteTime  = 60 * time.Second
	checkStep = 100 * time.Millisecond
	// settleTime is how long a node must have been healthy before the bound holds for it.
	settleTime = 2 * time.Second
)

// sites is the number of sites that TestSiteConfirmation simulates; their seeds begin at zero.
var sites = flag.Uint64("sites", 10, "number of simulated sites")

// siteFault is what is wrong with a process of a simulated site. Nil is a healthy process.
type siteFault struct {
	nodeFault
	// answersLost is the fraction of the answers to and from the process that get lost.
	answersLost float64
	// resumed is closed when the process is no longer suspended; nil if it is not suspended.
	resumed chan struct{}
}

// randomFault returns a fault of a process.
func randomFault(random *rand.Rand) *siteFault {
	switch random.IntN(8) {
	case 0:
		return &siteFault{resumed: make(chan struct{})}
	case 1:
		return &siteFault{answersLost: random.Float64()}
	case 2:
		return &siteFault{nodeFault: nodeFault{serviceAnswersAfter: randomTime(random, 1500), answersAfter: randomTime(random, 900)}}
	case 3:
		return &siteFault{nodeFault: nodeFault{answersAfter: randomTime(random, 900)}}
	case 4:
		return &siteFault{nodeFault: nodeFault{serviceAnswersAfter: randomTime(random, 1500)}}
	}
	names := []string{"frozen", "cut from the nodes", "cut from the service", "rejected", "slow", "very slow"}
	return &siteFault{nodeFault: nodeFaults[names[random.IntN(len(names))]]}
}

func randomTime(random *rand.Rand, maxMillis int64) time.Duration {
	return time.Duration(random.Int64N(maxMillis)) * time.Millisecond
}

// siteProcess is one run of a node of a simulated site.
type siteProcess struct {
	site         *simulatedSite
	number       int
	address      netip.AddrPort
	follower     *Follower
	end          context.CancelFunc
	fault        *siteFault
	healthySince time.Time
}

// simulatedSite is a site in simulated time whose nodes restart and have faults.
type simulatedSite struct {
	t       *testing.T
	service *fake.Service
	startAt time.Time

	// random draws the changes.
	random *rand.Rand

	mu sync.Mutex
	// losses draws which answers get lost.
	losses    *rand.Rand
	processes map[netip.AddrPort]*siteProcess
	nodes     [siteZones * zoneNodes]*siteProcess
	// addresses is the number of addresses that were used.
	addresses uint16
	// writes holds the entries in the order in which they were written.
	writes []siteWrite
	// rejectsAll is set while the service rejects the reads of all processes.
	rejectsAll bool
}

// siteWrite is a write of the service.
type siteWrite struct {
	at    time.Time
	entry kv.Entry
}

// put writes or deletes a key, whatever its revision is.
func (s *simulatedSite) put(key string, value []byte, isDeletion bool) {
	known, err := s.service.Get(s.t.Context(), key)
	if err != nil && isDeletion {
		return
	}
	written, err := s.service.Put(s.t.Context(), kv.PutRequest{Key: key, Value: value, IfRevision: known.Revision, Delete: isDeletion})
	assert.NilError(s.t, err)
	s.writes = append(s.writes, siteWrite{at: time.Now(), entry: written})
}

// publish writes the entry of a process.
func (s *simulatedSite) publish(p *siteProcess, isLeaving bool) {
	value := fmt.Appendf(nil, `{"vm":%q,"zone":%q,"address":%q,"incarnation":"1","leaving":%t}`,
		vmName(p.number), zoneName(p.number), p.address, isLeaving)
	s.put("online/"+vmName(p.number), value, false)
}

func zoneName(number int) string { return fmt.Sprint("zone-", number%siteZones) }

// start starts a process of a node, at an address that was not used before.
func (s *simulatedSite) start(ctx context.Context, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses++
	p := &siteProcess{
		site: s, number: number, healthySince: time.Now(),
		address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), 7000+s.addresses),
	}
	p.follower = NewFollower(FollowerConfig{
		Client:           siteClient{Client: s.service, process: p},
		Query:            p.query,
		VM:               vmName(number),
		Zone:             zoneName(number),
		Prefix:           "o",
		MemberPrefix:     "online/",
		SuspectReadAfter: watchWait + 300*time.Millisecond,
		OnChange:         func(View) {},
		OnMalformed:      func(key string, err error) { s.t.Error(key, err) },
		Logger:           zap.NewNop(),
		Now:              func() time.Duration { return time.Since(s.startAt) },
	})
	ctx, p.end = context.WithCancel(ctx)
	s.processes[p.address], s.nodes[number] = p, p
	go func() { _ = p.follower.Run(ctx) }()
}

// current returns the fault of a process and whether an answer gets lost.
func (p *siteProcess) current() (fault siteFault, isLost bool) {
	p.site.mu.Lock()
	defer p.site.mu.Unlock()
	if p.fault != nil {
		fault = *p.fault
	}
	return fault, p.site.losses.Float64() < fault.answersLost
}

// awaitResumed waits while the process is suspended, and reports whether it was.
func (p *siteProcess) awaitResumed() (was bool) {
	for {
		fault, _ := p.current()
		if fault.resumed == nil {
			return was
		}
		was = true
		<-fault.resumed
	}
}

// siteClient is a process's client of the service.
type siteClient struct {
	kv.Client
	process *siteProcess
}

func (c siteClient) read(ctx context.Context, timeout time.Duration, read func(context.Context) error) error {
	c.process.awaitResumed()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if fault, _ := c.process.current(); fault.serviceRejects || c.process.site.rejects() {
		return kv.ErrUnavailable.New("rejected")
	}
	err := read(ctx)
	fault, isLost := c.process.current()
	if fault.serviceRejects || c.process.site.rejects() {
		return kv.ErrUnavailable.New("connection reset")
	}
	if fault.serviceIsSilent || isLost {
		<-ctx.Done()
	} else {
		sleepUntilDone(ctx, roundTrip+fault.serviceAnswersAfter)
	}
	inTime := ctx.Err() == nil
	// What arrives while the process is suspended may still be read afterwards.
	if c.process.awaitResumed() || inTime {
		return err
	}
	return kv.ErrUnavailable.Wrap(ctx.Err(), "no answer")
}

func (s *simulatedSite) rejects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectsAll
}

func (c siteClient) List(ctx context.Context, prefix string) (entries []kv.Entry, revision kv.Revision, err error) {
	err = c.read(ctx, watchTimeout-watchWait, func(ctx context.Context) error {
		entries, revision, err = c.Client.List(ctx, prefix)
		return err
	})
	return entries, revision, err
}

func (c siteClient) Watch(ctx context.Context, prefix string, after kv.Revision) (entries []kv.Entry, revision kv.Revision, err error) {
	err = c.read(ctx, watchTimeout, func(ctx context.Context) error {
		entries, revision, err = c.Client.Watch(ctx, prefix, after)
		return err
	})
	return entries, revision, err
}

// query sends a query of this process to the one at an address.
func (p *siteProcess) query(ctx context.Context, address netip.AddrPort, _ peer.Kind, message, reply proto.Message) error {
	p.awaitResumed()
	p.site.mu.Lock()
	queried := p.site.processes[address]
	p.site.mu.Unlock()
	if queried == nil { // the process has ended, and so has its machine
		<-ctx.Done()
		return ctx.Err()
	}
	queried.awaitResumed()
	answer := answerQuery(ctx, queried.follower, vmName(p.number), message)
	fault, isLost := queried.current()
	own, isOwnLost := p.current()
	if fault.isSilent || own.isSilent || isLost || isOwnLost {
		<-ctx.Done()
	} else {
		sleepUntilDone(ctx, roundTrip+fault.answersAfter+own.answersAfter)
	}
	inTime := ctx.Err() == nil
	if !p.awaitResumed() && !inTime {
		return ctx.Err()
	}
	proto.Merge(reply, answer)
	return nil
}

// change does one random change of the site.
func (s *simulatedSite) change(ctx context.Context, version *int) {
	number := s.random.IntN(len(s.nodes))
	p := s.nodes[number]
	switch s.random.IntN(12) {
	case 0, 1, 2, 3:
		*version++
		s.put(configKey, fmt.Append(nil, *version), false)
	case 4, 5:
		s.setFault(p, randomFault(s.random))
	case 6:
		s.setFault(p, nil)
	case 7: // restart, the entry of the earlier process being removed or not
		if s.random.IntN(2) == 0 {
			s.put("online/"+vmName(number), nil, true)
		}
		s.setFault(p, nil)
		p.end()
		s.mu.Lock()
		delete(s.processes, p.address)
		s.mu.Unlock()
		s.start(ctx, number)
		s.publish(s.nodes[number], false)
	case 8:
		s.publish(p, s.random.IntN(2) == 0)
	case 9:
		s.put("online/"+vmName(number), nil, true)
	case 10:
		s.service.Compact()
	case 11:
		s.mu.Lock()
		s.rejectsAll = !s.rejectsAll && s.random.IntN(3) == 0
		for _, node := range s.nodes {
			node.healthySince = time.Now()
		}
		s.mu.Unlock()
	}
}

// setFault begins or ends a fault of a process.
func (s *simulatedSite) setFault(p *siteProcess, fault *siteFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.fault != nil && p.fault.resumed != nil {
		close(p.fault.resumed)
	}
	p.fault, p.healthySince = fault, time.Now()
}

// check checks what the views of all nodes say of themselves.
func (s *simulatedSite) check() {
	for _, p := range s.nodes {
		s.checkConfirmed(p)
		if p.fault == nil && !s.rejectsAll {
			s.checkInTime(p)
		}
	}
}

// checkConfirmed checks that a view holds each change until it was last confirmed.
func (s *simulatedSite) checkConfirmed(p *siteProcess) {
	at, ok := p.follower.ConfirmedAt()
	if !ok {
		return
	}
	latest := make(map[string]kv.Entry)
	for _, write := range s.writes {
		if write.at.Sub(s.startAt) < at {
			latest[write.entry.Key] = write.entry
		}
	}
	for key, written := range latest {
		known, ok := p.follower.Entry(key)
		switch {
		case written.Deleted && ok && known.Revision < written.Revision:
			s.t.Errorf("%s at %v: confirmed at %v, still has %s at %d, removed at %d", vmName(p.number), time.Since(s.startAt), at, key, known.Revision, written.Revision)
		case !written.Deleted && known.Revision < written.Revision && !s.isRemovedLater(written):
			s.t.Errorf("%s at %v: confirmed at %v, has %s at %d, not at %d", vmName(p.number), time.Since(s.startAt), at, key, known.Revision, written.Revision)
		}
	}
}

// isRemovedLater reports whether the key of an entry was removed after it was written.
func (s *simulatedSite) isRemovedLater(entry kv.Entry) bool {
	for _, write := range s.writes {
		if write.entry.Key == entry.Key && write.entry.Deleted && write.entry.Revision > entry.Revision {
			return true
		}
	}
	return false
}

// checkInTime checks that a healthy node knows each configuration in time.
func (s *simulatedSite) checkInTime(p *siteProcess) {
	known, _ := p.follower.Entry(configKey)
	for _, write := range s.writes {
		isDue := time.Since(write.at) > maxPropagationTime && write.at.Sub(p.healthySince) > settleTime
		if write.entry.Key == configKey && isDue && known.Revision < write.entry.Revision {
			s.t.Errorf("%s at %v: has the configuration at %d, not the one at %d, written %v ago", vmName(p.number), time.Since(s.startAt), known.Revision, write.entry.Revision, time.Since(write.at))
		}
	}
}

// TestSiteConfirmation: a node believed that its view was up to date and did not have a
// configuration or a removal that was older. Random sites restart, suspend, drain and cut
// off their nodes, lose answers and have the service turn nodes away.
func TestSiteConfirmation(t *testing.T) {
	for seed := range *sites {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulateSite(t, seed) })
		})
	}
}

func simulateSite(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &simulatedSite{
		t: t, startAt: time.Now(), service: fake.New(fake.Config{LongestWait: watchWait}),
		random: rand.New(rand.NewPCG(seed, 42)), losses: rand.New(rand.NewPCG(seed, 43)), processes: make(map[netip.AddrPort]*siteProcess),
	}
	time.Sleep(time.Second)
	version := 1
	s.put(configKey, []byte("1"), false)
	for number := range s.nodes {
		s.start(ctx, number)
		s.publish(s.nodes[number], false)
	}
	changeAt := time.Now()
	for time.Since(s.startAt) < siteTime && !t.Failed() {
		if time.Now().After(changeAt) {
			s.change(ctx, &version)
			changeAt = time.Now().Add(time.Duration(s.random.Int64N(int64(400 * time.Millisecond))))
		}
		time.Sleep(checkStep)
		synctest.Wait()
		s.check()
	}
	for _, p := range s.nodes {
		s.setFault(p, nil)
	}
	cancel()
	synctest.Wait()
}
