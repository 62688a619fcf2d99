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
	// queryTimeout bounds a question to one node.
	queryTimeout = time.Second
	// seedsAtOnce is how many seeds are asked at a time once the first gave no relay.
	seedsAtOnce = 4
)

// runSearch looks for relays while the node has no link to any.
func (d *Directory) runSearch(ctx context.Context) error {
	wait := d.newBackoff()
	seeds := d.newSeedCycle()
	for round := 0; ctx.Err() == nil; round++ {
		changed := d.watch()
		if d.settled() {
			round = -1
			wait.reset()
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		again := round > 0
		d.search(ctx, seeds.next(again), again)
		wait.wait(ctx)
	}
	return nil
}

// settled tells whether the node is a relay or a relay answers on a link.
func (d *Directory) settled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slot != noSlot || d.answered != [nodeLinks]bool{}
}

// search asks seeds first, so that the platform is asked by few nodes when
// many start at once. Relays that are known but have not answered by the next
// round no longer keep it from asking the platform.
func (d *Directory) search(ctx context.Context, seeds []netip.AddrPort, again bool) {
	d.askSeeds(ctx, seeds)
	d.resume()
	if !again && d.hasCandidate() {
		return
	}
	sleep(ctx, jitter(d.config.Timing.Spread))
	if d.settled() || ctx.Err() != nil {
		return
	}
	d.askPlatform(ctx)
}

// askSeeds asks nodes at once for the relays that they know.
func (d *Directory) askSeeds(ctx context.Context, seeds []netip.AddrPort) {
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

// seedCycle walks through the seeds in an order of its own, so that a node that
// starts in a zone that is cut off soon asks one that it can reach.
type seedCycle struct {
	seeds []netip.AddrPort
}

func (d *Directory) newSeedCycle() *seedCycle {
	isSelf := func(seed netip.AddrPort) bool { return seed == d.config.Address }
	seeds := slices.DeleteFunc(slices.Clone(d.config.Seeds), isSelf)
	rand.Shuffle(len(seeds), func(i, k int) { seeds[i], seeds[k] = seeds[k], seeds[i] })
	return &seedCycle{seeds: seeds}
}

// next returns the seeds of a round: one in the first, several in each later one.
func (c *seedCycle) next(again bool) []netip.AddrPort {
	n := 1
	if again {
		n = seedsAtOnce
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

// resume takes up the slot that a predecessor on this VM held.
func (d *Directory) resume() {
	d.mu.Lock()
	relays := d.relays.Zone(d.config.Zone)
	d.mu.Unlock()
	for _, relay := range relays {
		if relay.VM == d.config.VM {
			d.invite(relay.Slot)
		}
	}
}

// invite asks the relay loop to take a slot; one that is busy ignores it.
func (d *Directory) invite(slot int) {
	select {
	case d.invites <- slot:
	default:
	}
}

// askPlatform reads the zone's relays; where there are none at all, this node
// becomes the first.
func (d *Directory) askPlatform(ctx context.Context) {
	relays, err := d.listRelays(ctx, d.config.Zone)
	if err != nil {
		d.logger.Warn("directory: listing the relays failed", zap.Error(err))
		return
	}
	if len(relays) == 0 {
		d.invite(0)
	}
	d.resume()
}

// answer is what a node tells one that starts.
type answer struct {
	isRelay  bool
	versions relayVersions
}

// query asks another node for the relays, its bundle versions and its newest bundle.
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
	if err := l.join(); err != nil {
		return answer{}, err
	}
	return l.readAnswer()
}

// readAnswer reads until the other side closes.
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

// runStart finds out which version the node can have had in force before it
// was started, and waits until it has that one.
func (d *Directory) runStart(ctx context.Context) error {
	wait := d.newBackoff()
	began := time.Now()
	answers := make(map[string]relayVersions)
	for ctx.Err() == nil {
		version, ok := d.askBase(ctx, answers)
		if !ok && time.Since(began) > 2*d.config.Timing.Spread {
			version, ok = d.askHead(ctx)
		}
		if ok {
			d.awaitVersion(ctx, version)
			return nil
		}
		wait.wait(ctx)
	}
	return nil
}

// askBase asks the base relays that have not answered yet. It returns the
// highest version held, once enough have answered to meet every majority.
func (d *Directory) askBase(ctx context.Context, answers map[string]relayVersions) (uint64, bool) {
	d.mu.Lock()
	base := d.relays.Base(d.config.Zone, d.config.Timing.BaseSlots)
	if d.shelf.caughtUp {
		answers[d.config.VM] = relayVersions{held: d.shelf.newest().version, caughtUp: true}
	}
	d.mu.Unlock()
	count, highest := 0, uint64(0)
	for _, relay := range base {
		if _, ok := answers[relay.VM]; !ok && relay.VM != d.config.VM {
			a, err := d.query(ctx, relay.Address)
			if err == nil && a.versions.caughtUp {
				answers[relay.VM] = a.versions
			}
		}
		if a, ok := answers[relay.VM]; ok {
			count++
			highest = max(highest, a.held)
		}
	}
	return highest, len(base) > 0 && count >= meetsEvery(len(base))
}

// askHead reads the platform's head, above which nothing can be in force.
func (d *Directory) askHead(ctx context.Context) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	version, _, err := d.config.Source.Head(ctx)
	return version, err == nil
}

// awaitVersion waits until a version is in force here and says so.
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
