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
	// starting holds, for each link, the answer of a relay that is starting.
	starting [nodeLinks]startingAnswer
	// relayReady is set once this node has been a relay for relayReadyAfter.
	relayReady bool
}

// startingAnswer is a full listing of a relay that may not have received all entries
// yet. It is zero if there is none.
type startingAnswer struct {
	// change is the change for which the relay has sent the listing.
	change uint64
	// completeAt is when the relay has received all entries.
	completeAt time.Time
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
	w.starting[link] = startingAnswer{}
	w.answerChanges++
}

// recordStartingAnswer is recordAnswer for a listing that may be incomplete. It counts
// once the relay has received all entries, relayReadyAfter after its first listing.
func (w *subscription) recordStartingAnswer(link int, change uint64, now time.Time) {
	answer := &w.starting[link]
	if answer.completeAt.IsZero() {
		answer.completeAt = now.Add(relayReadyAfter)
	}
	answer.change = change
	w.answerChanges++
}

// completeStarting records the answers of relays that have received all entries by now,
// and reports whether there was one.
func (w *subscription) completeStarting(now time.Time) bool {
	some := false
	for link, answer := range w.starting {
		if !answer.completeAt.IsZero() && !now.Before(answer.completeAt) {
			w.recordAnswer(link, answer.change)
			some = true
		}
	}
	return some
}

// isComplete reports whether the listing of a service is complete: every relay that is
// linked has answered since the service was added, and at least one link's relay did so
// when it had received all entries. A relay itself knows all services once it is ready.
func (w *subscription) isComplete(service string, isRelay bool, linked [nodeLinks]bool) bool {
	if isRelay {
		return w.relayReady
	}
	since, some := w.services[service], false
	for i, answered := range w.answered {
		if linked[i] && max(answered, w.starting[i].change) < since {
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
