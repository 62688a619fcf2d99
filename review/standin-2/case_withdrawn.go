package main

import (
	"time"
)

func init() { cases["withdrawn"] = playWithdrawn }

const (
	// revokeBound is bounds.revoke-s of the site.
	revokeBound = 5 * time.Second
	// copyLead is how long before the withdrawal the copy of the store was made.
	copyLead = 500 * time.Millisecond
	// drillAfter is how long after the acknowledgement of the withdrawal the store comes back
	// from the copy, and a node is killed and started again.
	drillAfter = 5500 * time.Millisecond
	// rewriteAfter is how long after the store's return the operator has written again.
	rewriteAfter = time.Second
	// withdrawnSpan is how long requests with the withdrawn key are sent to the node.
	withdrawnSpan = 3 * time.Second
)

// playWithdrawn withdraws a key. More than revokeBound after the acknowledgement the store
// comes back from a copy, and one node is killed and started again.
func playWithdrawn(s *site, trouble bool) (bool, error) {
	for _, zone := range []string{"khomas-a", "khomas-b", "khomas-c"} {
		for range 2 {
			if _, err := s.add(zone, "termbook", 72, func(string) time.Duration { return 5 * time.Millisecond }); err != nil {
				return false, err
			}
		}
	}
	routes := []route{{name: "lookup", kind: "idempotent", host: "desk.example", prefix: "/lookup/", service: "termbook", timeout: 6, attempts: 2}}
	paper := tenant{name: "paper", keys: []string{"6wsjnbanfqasnmgkcuyj", "8pjbvk9m68k7b2ex5wa5"}, rate: 1000, burst: 1000}
	withdrawn := paper.keys[1]
	if err := s.start(configText(1, routes, []tenant{paper}, "termbook")); err != nil {
		return false, err
	}
	saved := s.store.copyData()
	time.Sleep(copyLead)
	paper.keys = paper.keys[:1]
	second := configText(2, routes, []tenant{paper}, "termbook")
	acked := s.store.writeOperator("op/config", second)
	s.log("version 2 takes the key away, acknowledged at %s", s.at(acked))
	time.Sleep(drillAfter - time.Second)
	for _, m := range s.machines {
		s.send(m, "/lookup/before", newAttempt(), withdrawn, 2*time.Second)
	}
	time.Sleep(time.Until(acked.Add(drillAfter)))

	m := s.machines[0]
	m.kill()
	if trouble {
		s.store.restore(saved)
		s.log("the store is back from a copy that is %.1f s old", time.Since(saved.at).Seconds())
	}
	restored, rewritten := time.Now(), !trouble
	if err := m.startNode(false); err != nil {
		return false, err
	}
	ran := 0
	for time.Since(restored) < withdrawnSpan {
		if !rewritten && time.Since(restored) >= rewriteAfter {
			rewritten = true
			s.store.writeOperator("op/config", second)
			s.log("the operator has written version 2 again")
		}
		attempt, sent := newAttempt(), time.Now()
		s.send(m, "/lookup/after", attempt, withdrawn, 2*time.Second)
		for _, r := range s.runs.of(attempt) {
			s.log("%s: sent %.3f s after the acknowledgement, and ran at %s", attempt, sent.Sub(acked).Seconds(), r.instance)
			if sent.Sub(acked) > revokeBound {
				ran++
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	s.log("%d requests with the key ran that were sent over %v after the acknowledgement; none is allowed", ran, revokeBound)
	return ran == 0, nil
}
