package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["leave"] = playLeave }

const (
	// drainBound and stableBound are bounds.drain-s and bounds.stable-s of the site.
	drainBound, stableBound = 2 * time.Second, 3 * time.Second
	// outage is how long the store answers 503 to all.
	outage = 4500 * time.Millisecond
	// leaveAt is how long after the outage's start the target sends its DELETE, and restartAt
	// how long after the acknowledgement the node is told to stop.
	leaveAt, restartAt = 400 * time.Millisecond, 100 * time.Millisecond
	// exitAfter is how long after the acknowledgement the target exits.
	exitAfter = 10 * time.Second
	// touchMargin is a margin on the time from which machines are in touch.
	touchMargin = 500 * time.Millisecond
	// leaveGap is the time between two requests of a client.
	leaveGap = 50 * time.Millisecond
)

// playLeave lets a target leave by DELETE while the store is down. Its node is stopped and
// started again, and a report that the target had sent before the DELETE arrives late.
func playLeave(s *site, trouble bool) (bool, error) {
	for _, each := range []struct{ zone, service string }{
		{"khomas-a", "termbook"}, {"khomas-a", "rulings"}, {"khomas-b", "rulings"}, {"khomas-c", "termbook"},
	} {
		if _, err := s.add(each.zone, each.service, 72, func(string) time.Duration { return 20 * time.Millisecond }); err != nil {
			return false, err
		}
	}
	routes := []route{{name: "lookup", kind: "idempotent", host: "desk.example", prefix: "/lookup/", service: "termbook", timeout: 6, attempts: 2, open: true}}
	paper := tenant{name: "paper", keys: []string{"6wsjnbanfqasnmgkcuyj"}, rate: 1000, burst: 1000}
	if err := s.start(configText(1, routes, []tenant{paper}, "termbook", "rulings")); err != nil {
		return false, err
	}
	leaving := s.machines[0]
	began := time.Now()
	if trouble {
		s.store.setBusy(true)
		s.log("the store answers 503 to all")
		time.AfterFunc(outage, func() { s.store.setBusy(false); s.log("the store is back") })
	}
	stable := began.Add(outage)

	lateReport := leaving.stopReports()
	time.Sleep(time.Until(began.Add(leaveAt)))
	status := leaving.callControl(http.MethodDelete, "")
	acked := time.Now()
	s.log("the DELETE of %s is answered %d", leaving.target.instance, status)
	if status != http.StatusOK {
		return false, fmt.Errorf("the DELETE was answered %d", status)
	}
	time.AfterFunc(time.Until(acked.Add(exitAfter)), func() { _ = leaving.target.server.Close(); s.log("%s exits", leaving.target.instance) })
	if trouble {
		time.Sleep(restartAt)
		leaving.signal(syscall.SIGTERM)
		<-leaving.done
		if err := leaving.startNode(false); err != nil {
			return false, err
		}
	}
	if restarted := time.Now(); restarted.After(stable) {
		stable = restarted
	}
	arrived := 0
	for time.Since(acked) < outage && arrived == 0 {
		arrived = leaving.sendReport(lateReport)
		time.Sleep(20 * time.Millisecond)
	}
	s.log("the report that was sent before the DELETE arrives %.3f s late and is answered %d", time.Since(began.Add(leaveAt)).Seconds(), arrived)

	inTouch := stable.Add(stableBound + touchMargin)
	time.Sleep(time.Until(inTouch))
	s.log("all machines are in touch")
	var ids []string
	for time.Now().Before(acked.Add(exitAfter - leaveGap)) {
		for _, m := range s.machines[1:] {
			id := newAttempt()
			ids = append(ids, id)
			s.send(m, "/lookup/a", id, "", 2*time.Second)
		}
		time.Sleep(leaveGap)
	}
	late := 0
	for _, id := range ids {
		for _, r := range s.runs.of(id) {
			if r.instance != leaving.target.instance || r.began.Sub(acked) <= drainBound {
				continue
			}
			late++
			s.log("%s reached %s %.3f s after its leaving was acknowledged", id, r.instance, r.began.Sub(acked).Seconds())
		}
	}
	s.log("%d of %d requests reached the target over %v after the acknowledgement; none is allowed", late, len(ids), drainBound)
	return late == 0, nil
}
