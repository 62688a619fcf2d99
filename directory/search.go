package directory

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburngap/peer/peerpb"
)

const (
	// queryTimeout limits a query to one node or a read of the platform's head.
	queryTimeout = time.Second
	// seedsPerRound is how many seeds are queried at a time after the first seed
	// gave no relay.
	seedsPerRound = 4
)

// runSearch searches for relays while no relay answers on a link.
func (d *Directory) runSearch(ctx context.Context) error {
	wait := d.newBackoff()
	seeds := d.newSeedCycle()
	for round := 0; ctx.Err() == nil; round++ {
		changed := d.watch()
		if d.isConnected() {
			round = -1
			wait.reset()
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		retry := round > 0
		d.search(ctx, seeds.next(retry), retry)
		wait.wait(ctx)
	}
	return nil
}

// isConnected reports whether the node is a relay or a relay has answered on a
// link.
func (d *Directory) isConnected() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slot != noSlot || d.answered != [nodeLinks]bool{}
}

// search queries seeds first, so that only a few nodes query the platform when
// many start at once. In the first round, the platform is not queried if a relay
// is known. In later rounds it is, as the known relays have not answered.
func (d *Directory) search(ctx context.Context, seeds []netip.AddrPort, retry bool) {
	d.querySeeds(ctx, seeds)
	d.reclaimSlot()
	if !retry && d.hasCandidate() {
		return
	}
	sleep(ctx, jitter(d.config.Timing.Spread))
	if d.isConnected() || ctx.Err() != nil {
		return
	}
	d.queryPlatform(ctx)
}

// querySeeds queries several nodes concurrently for the relays that they know.
func (d *Directory) querySeeds(ctx context.Context, seeds []netip.AddrPort) {
	var asked sync.WaitGroup
	for _, seed := range seeds {
		asked.Go(func() {
			if _, err := d.query(ctx, seed); err != nil {
				d.logger.Debug("directory: seed did not answer", zap.Stringer("seed", seed), zap.Error(err))
			}
		})
	}
	asked.Wait()
}

// seedCycle iterates over the seeds in a random order, so that a node that starts
// in an isolated zone soon queries a seed that it can reach.
type seedCycle struct {
	seeds []netip.AddrPort
}

func (d *Directory) newSeedCycle() *seedCycle {
	isSelf := func(seed netip.AddrPort) bool { return seed == d.config.Address }
	seeds := slices.DeleteFunc(slices.Clone(d.config.Seeds), isSelf)
	rand.Shuffle(len(seeds), func(i, k int) { seeds[i], seeds[k] = seeds[k], seeds[i] })
	return &seedCycle{seeds: seeds}
}

// next returns the seeds of a round: one in the first round, several in later ones.
func (c *seedCycle) next(retry bool) []netip.AddrPort {
	n := 1
	if retry {
		n = seedsPerRound
	}
	n = min(n, len(c.seeds))
	round := slices.Clone(c.seeds[:n])
	c.seeds = append(c.seeds[n:], round...)
	return round
}

func (d *Directory) hasCandidate() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, relay := range d.relays.Zone(d.config.Zone) {
		if relay.VM != d.config.VM && !now.Before(d.failed[relay.Address]) {
			return true
		}
	}
	return false
}

// reclaimSlot acquires the slot that an earlier process on this VM held.
func (d *Directory) reclaimSlot() {
	d.mu.Lock()
	relays := d.relays.Zone(d.config.Zone)
	d.mu.Unlock()
	for _, relay := range relays {
		if relay.VM == d.config.VM {
			d.invite(relay.Slot)
		}
	}
}

// invite asks the relay loop to acquire a slot. The invitation is dropped if
// another one is pending.
func (d *Directory) invite(slot int) {
	select {
	case d.invites <- slot:
	default:
	}
}

// queryPlatform reads the zone's relays. If there are none, this node tries to
// become the first.
func (d *Directory) queryPlatform(ctx context.Context) {
	relays, err := d.listRelays(ctx, d.config.Zone)
	if err != nil {
		d.logger.Warn("directory: listing the relays failed", zap.Error(err))
		return
	}
	if len(relays) == 0 {
		d.invite(0)
	}
	d.reclaimSlot()
}

// answer is a node's answer to a query.
type answer struct {
	isRelay  bool
	versions relayVersions
}

// query asks another node for the relays, its bundle versions and its newest
// bundle, and applies them.
func (d *Directory) query(ctx context.Context, address netip.AddrPort) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	stream, err := d.config.Peers.Open(ctx, address)
	if err != nil {
		return answer{}, err
	}
	stop := context.AfterFunc(ctx, func() { closeQuietly(stream) })
	defer stop()
	defer closeQuietly(stream)
	l := &link{d: d, stream: stream, role: peerpb.Role_ROLE_STARTING}
	if err := l.sendJoin(); err != nil {
		return answer{}, err
	}
	return l.readAnswer()
}

// readAnswer reads frames until the peer closes the stream.
func (l *link) readAnswer() (answer, error) {
	var a answer
	for {
		frame, err := l.stream.Receive()
		if err != nil {
			if a.isRelay {
				return a, nil
			}
			return a, err
		}
		if v := frame.GetVersions(); v != nil {
			a.isRelay = true
			a.versions = relayVersions{v.GetHeld(), v.GetReleased(), v.GetCaughtUp()}
		}
		if err := l.handle(time.Now(), frame); err != nil {
			return a, err
		}
	}
}

// runStart finds the highest version that can have been active on this node
// before it was started, and waits until that version is active.
func (d *Directory) runStart(ctx context.Context) error {
	wait := d.newBackoff()
	began := time.Now()
	answers := make(map[string]relayVersions)
	for ctx.Err() == nil {
		version, ok := d.queryBaseRelays(ctx, answers)
		if !ok && time.Since(began) > 2*d.config.Timing.Spread {
			version, ok = d.queryHead(ctx)
		}
		if ok {
			d.awaitVersion(ctx, version)
			return nil
		}
		wait.wait(ctx)
	}
	return nil
}

// queryBaseRelays queries the base relays that have not answered yet. It returns
// the highest version held, once enough have answered to intersect every
// majority.
func (d *Directory) queryBaseRelays(ctx context.Context, answers map[string]relayVersions) (uint64, bool) {
	for _, relay := range d.baseRelays() {
		if _, ok := answers[relay.VM]; !ok && relay.VM != d.config.VM {
			a, err := d.query(ctx, relay.Address)
			if err == nil && a.versions.caughtUp {
				answers[relay.VM] = a.versions
			}
		}
	}
	d.answerLocally(answers)
	// The relays that have answered may have named others.
	base := d.baseRelays()
	count, highest := 0, uint64(0)
	for _, relay := range base {
		if a, ok := answers[relay.VM]; ok {
			count++
			highest = max(highest, a.held)
		}
	}
	return highest, len(base) > 0 && count >= intersectsMajorities(len(base))
}

// answerLocally adds this node's own answer if it is a relay that is sure of its memory.
func (d *Directory) answerLocally(answers map[string]relayVersions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.bundles.caughtUp {
		answers[d.config.VM] = relayVersions{held: d.bundles.newest().version, caughtUp: true}
	}
}

// baseRelays returns the known relays of the zone that watch the platform.
func (d *Directory) baseRelays() []Relay {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.relays.Base(d.config.Zone, d.config.Timing.BaseSlots)
}

// queryHead reads the platform's head. No higher version can be active.
func (d *Directory) queryHead(ctx context.Context) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	version, _, err := d.config.Source.Head(ctx)
	return version, err == nil
}

// awaitVersion waits until a version is active here and closes caughtUp.
func (d *Directory) awaitVersion(ctx context.Context, version uint64) {
	for d.config.Bundles.ActiveVersion() < version {
		sleep(ctx, d.config.Timing.Tick/10)
		if ctx.Err() != nil {
			return
		}
	}
	d.logger.Info("directory: caught up", zap.Uint64("version", version))
	close(d.caughtUp)
}
