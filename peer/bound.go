package peer

import "time"

// shrink closes idle sessions until there are no more than the bound, the
// least recently used first. While those in use exceed it, only new sessions
// and the time lead to another look. p.mu is held.
func (p *Pool) shrink(now time.Time, grown bool) {
	surplus := len(p.entries) - p.config.Sessions
	if surplus <= 0 || !grown && now.Sub(p.shrunk) < shrinkInterval {
		return
	}
	p.shrunk = now
	for place := p.recent.Back(); place != nil && surplus > 0; {
		entry := place.Value.(*poolEntry)
		place = place.Prev()
		if !entry.idle(now) {
			continue
		}
		p.remove(entry)
		surplus--
		if entry.session != nil {
			go func() { _ = entry.session.Close() }()
		}
	}
}

// remove forgets an entry; p.mu is held.
func (p *Pool) remove(entry *poolEntry) {
	delete(p.entries, entry.address)
	p.recent.Remove(entry.place)
}

// idle tells whether nobody uses the session or is about to; the pool's lock
// is held, so that nobody comes meanwhile.
func (e *poolEntry) idle(now time.Time) bool {
	select {
	case <-e.dialled:
	default:
		return false
	}
	if e.users.Load() > 0 {
		return false
	}
	if e.session == nil || e.session.IsClosed() {
		return true
	}
	return now.Sub(e.controlled) >= controlTime && e.session.inUse() == 0
}
