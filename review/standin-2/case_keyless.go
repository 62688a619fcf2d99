package main

import (
	"time"
)

func init() { cases["keyless"] = playKeyless }

const (
	// applyBound is bounds.apply-s of the site.
	applyBound = 2 * time.Second
	// keylessRequests is the number of requests under the second version.
	keylessRequests = 300
)

// playKeyless brings a version of the configuration without tenants into force. Clients send
// no key then.
func playKeyless(s *site, trouble bool) (bool, error) {
	for _, zone := range []string{"khomas-a", "khomas-b", "khomas-c"} {
		if _, err := s.add(zone, "termbook", 72, func(string) time.Duration { return 5 * time.Millisecond }); err != nil {
			return false, err
		}
	}
	routes := []route{{name: "lookup", kind: "idempotent", host: "desk.example", prefix: "/lookup/", service: "termbook", timeout: 6, attempts: 2}}
	tenants := []tenant{{name: "paper", keys: []string{"6wsjnbanfqasnmgkcuyj"}, rate: 1000, burst: 1000}}
	key := tenants[0].keys[0]
	if err := s.start(configText(1, routes, tenants, "termbook")); err != nil {
		return false, err
	}
	for _, m := range s.machines {
		s.send(m, "/lookup/before", newAttempt(), key, 2*time.Second)
	}
	if trouble {
		tenants, key = nil, ""
	}
	acked := s.store.writeOperator("op/config", configText(2, routes, tenants, "termbook"))
	s.log("version 2 has %d tenants, acknowledged at %s", len(tenants), s.at(acked))
	time.Sleep(2 * applyBound)
	answers := map[int]int{}
	for i := range keylessRequests {
		m := s.machines[i%len(s.machines)]
		answers[s.send(m, "/lookup/after", newAttempt(), key, 2*time.Second).status]++
	}
	denied, allowed := 0, 5+keylessRequests/500
	for status, count := range answers {
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			denied += count
		}
	}
	s.log("answers %v: %d of %d proper requests were denied; %d are allowed", answers, denied, keylessRequests, allowed)
	return denied <= allowed, nil
}
