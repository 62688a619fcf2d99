package directory

import "time"

// informedAfter is the time after which a new relay has heard from the others
// and can tell that a service has no backend server.
const informedAfter = 4 * time.Second

// wanted is what a node subscribes to, and what its relays have answered.
type wanted struct {
	// services holds the change that brought each service.
	services map[string]uint64
	// changes counts the changes of services, news those of what is known of them.
	changes, news uint64
	// answered holds, for each link, the change up to which its relay has listed all.
	answered [nodeLinks]uint64
	// informed is set once a relay has heard from the others.
	informed bool
}

// set replaces the services; false where nothing changes.
func (w *wanted) set(services []string) bool {
	next := make(map[string]uint64, len(services))
	same := true
	for _, service := range services {
		since, known := w.services[service]
		if !known {
			since = w.changes + 1
		}
		same = same && known
		next[service] = since
	}
	if same && len(next) == len(w.services) {
		return false
	}
	w.services = next
	w.changes++
	return true
}

// answer notes that a link's relay has listed all that was wanted at a change;
// zero where the link has ended.
func (w *wanted) answer(link int, change uint64) {
	w.answered[link] = change
	w.news++
}

// known tells whether what is listed of a service is all that there is: every
// relay that is linked has answered since it was wanted. A relay itself knows
// all services.
func (w *wanted) known(service string, isRelay bool, linked [nodeLinks]bool) bool {
	if isRelay {
		return w.informed
	}
	since, some := w.services[service], false
	for i, answered := range w.answered {
		if linked[i] && answered < since {
			return false
		}
		some = some || answered >= since
	}
	return some
}

// inform notes that this node has been a relay for long enough; d.mu is held.
func (d *Directory) inform(now time.Time) {
	if d.slot == noSlot || d.wanted.informed || now.Sub(d.relaySince) < informedAfter {
		return
	}
	d.wanted.informed = true
	d.wanted.news++
	d.wake()
}
