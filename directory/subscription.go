package directory

import "time"

// relayReadyAfter is the time after which a new relay has received the entries of
// the others and can report that a service has no backend server.
const relayReadyAfter = 4 * time.Second

// subscription holds the services that a node subscribes to and what its relays
// have answered.
type subscription struct {
	// services holds, for each service, the number of the change that added it.
	services map[string]uint64
	// changes counts the changes of services. answerChanges counts the changes
	// of what is known about them.
	changes, answerChanges uint64
	// answered holds, for each link, the last change for which its relay has
	// sent a full listing.
	answered [nodeLinks]uint64
	// relayReady is set once this node has been a relay for relayReadyAfter.
	relayReady bool
}

// set replaces the services and reports whether they changed.
func (w *subscription) set(services []string) bool {
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

// recordAnswer records that a link's relay has sent a full listing for the services
// at a change. The change is zero if the link has ended.
func (w *subscription) recordAnswer(link int, change uint64) {
	w.answered[link] = change
	w.answerChanges++
}

// isComplete reports whether the listing of a service is complete: at least one
// link's relay, and every relay that is linked, has answered since the service was
// added. A relay itself knows all services once it is ready.
func (w *subscription) isComplete(service string, isRelay bool, linked [nodeLinks]bool) bool {
	if isRelay {
		return w.relayReady
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

// markRelayReady sets relayReady once this node has been a relay for
// relayReadyAfter. d.mu must be held.
func (d *Directory) markRelayReady(now time.Time) {
	if d.slot == noSlot || d.subscription.relayReady || now.Sub(d.relaySince) < relayReadyAfter {
		return
	}
	d.subscription.relayReady = true
	d.subscription.answerChanges++
	d.wake()
}
