package directory

import (
	"context"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/peer/peerpb"
)

// nodeLink is one of the links by which a node announces itself.
type nodeLink struct {
	d     *Directory
	index int
	// source is that of the last connection that has sent a full listing; listedBy is its
	// relay, and listedUntil when it ended.
	source      Source
	listedBy    string
	listedUntil time.Time
	wasRelay    bool
}

// runNodeLink keeps one of the links by which the node announces itself. The
// wait between attempts does not grow, because relays that fail are skipped for
// a while.
func (d *Directory) runNodeLink(ctx context.Context, i int) error {
	n := &nodeLink{d: d, index: i, source: d.newSource(), listedUntil: time.Now()}
	for ; ctx.Err() == nil; d.pauseLink(ctx) {
		asRelay := d.isRelay()
		n.dropOutdated(asRelay)
		if relay, ok := d.chooseRelay(time.Now(), i); ok {
			n.follow(ctx, relay, asRelay)
		}
	}
	return nil
}

// dropOutdated drops what the last connection listed if the node has become a relay, or
// once the link has been down for ZoneTimeout while another link's relay answers. Without
// such an answer, it is the best that the node knows.
func (n *nodeLink) dropOutdated(asRelay bool) {
	d := n.d
	if asRelay && !n.wasRelay {
		d.retire(n.source)
		n.source = d.newSource()
	}
	n.wasRelay = asRelay
	if time.Since(n.listedUntil) >= d.config.Timing.ZoneTimeout && d.isConnected() {
		d.dropSource(n.source)
		n.listedUntil = time.Now()
	}
}

// follow runs a connection to a relay. Each has its own source, as in runMeshLink.
func (n *nodeLink) follow(ctx context.Context, relay Relay, asRelay bool) {
	d := n.d
	l := &link{
		d: d, relay: relay, role: peerpb.Role_ROLE_NODE, source: d.newSource(), previous: n.source,
		previousRelay: n.listedBy, index: n.index, asRelay: asRelay,
	}
	began := time.Now()
	_, err := l.run(ctx)
	if n.source = d.sourceAfter(l, n.source); n.source == l.source {
		n.listedBy, n.listedUntil = relay.VM, time.Now()
	}
	d.endNodeLink(n.index, relay, errorx.IsOfType(err, errMoved) || time.Since(began) >= minLinkTime)
	d.logger.Debug("directory: link ended", zap.String("relay", relay.VM), zap.Error(err))
}

func (d *Directory) pauseLink(ctx context.Context) {
	retry := d.config.Timing.Retry
	sleep(ctx, retry/2+jitter(retry/2))
}

func (d *Directory) newSource() Source {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastSource++
	return d.lastSource
}

// retire schedules a source to be dropped after retireAfter, so that another
// source can replace it first.
func (d *Directory) retire(source Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retired[source] = time.Now().Add(retireAfter)
}

// dropRetired drops the retired sources that are due. d.mu must be held.
func (d *Directory) dropRetired(now time.Time) {
	for source, at := range d.retired {
		if !now.Before(at) {
			d.state.Retain(now, source, nil)
			delete(d.retired, source)
		}
	}
}

// dropSource removes everything that a source lists.
func (d *Directory) dropSource(source Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.state.Version()
	d.state.Retain(time.Now(), source, nil)
	if d.state.Version() != before {
		d.wake()
	}
}

// chooseRelay returns the relay for a link: the first in this VM's order of
// preference that has not failed recently and is not used by the other link.
func (d *Directory) chooseRelay(now time.Time, i int) (Relay, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, relay := range d.relays.Ranked(d.config.Zone, d.config.VM) {
		if relay.VM == d.config.VM || now.Before(d.failed[relay.Address]) || d.leadsTo(relay.Address, i) {
			continue
		}
		d.links[i] = relay.Address
		return relay, true
	}
	return Relay{}, false
}

// leadsTo reports whether a link other than the given one is to an address.
// d.mu must be held.
func (d *Directory) leadsTo(address netip.AddrPort, except int) bool {
	for j, other := range d.links {
		if j != except && other == address {
			return true
		}
	}
	return false
}

// prefers reports whether a relay is among this VM's first choices. While the
// table lists too few relays, every relay that answers is kept.
func (d *Directory) prefers(relay Relay) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	better := 0
	for _, r := range d.relays.Ranked(d.config.Zone, d.config.VM) {
		switch {
		case r.Address == relay.Address:
			return better < nodeLinks
		case r.VM != d.config.VM && !time.Now().Before(d.failed[r.Address]):
			better++
		}
	}
	return better < nodeLinks
}

// endNodeLink records the end of a link. A relay that did not keep the link is
// avoided for MaxRetry.
func (d *Directory) endNodeLink(i int, relay Relay, kept bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links[i] = netip.AddrPort{}
	d.answered[i] = false
	d.subscription.recordAnswer(i, 0)
	if !kept {
		d.failed[relay.Address] = time.Now().Add(d.config.Timing.MaxRetry)
	}
	d.wake()
}
