package peer

import "time"

// evictIdle closes idle sessions, the least recently used first, until no more
// than config.Sessions are left. While sessions in use exceed that number, it
// tries again only for an added session or after evictionInterval. p.mu is held.
func (p *Pool) evictIdle(now time.Time, added bool) {
	surplus := len(p.entries) - p.config.Sessions
	if surplus <= 0 || !added && now.Sub(p.lastEviction) < evictionInterval {
		return
	}
	p.lastEviction = now
	for element := p.recent.Back(); element != nil && surplus > 0; {
		entry := element.Value.(*poolEntry)
		element = element.Prev()
		if !entry.isIdle(now) {
			continue
		}
		p.remove(entry)
		surplus--
		if entry.session != nil {
			go func() { _ = entry.session.Close() }()
		}
	}
}

// remove deletes an entry from the pool; p.mu is held.
func (p *Pool) remove(entry *poolEntry) {
	delete(p.entries, entry.address)
	p.recent.Remove(entry.element)
}

// isIdle reports whether no caller uses the session or is about to. The pool's
// lock is held, so that no caller can be added meanwhile.
func (e *poolEntry) isIdle(now time.Time) bool {
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
	return now.Sub(e.lastControl) >= controlKeepTime && e.session.inUse() == 0
}
