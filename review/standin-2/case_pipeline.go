package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["pipeline"] = playPipeline }

const (
	// pipelineClients is the number of clients, each of which pipelines requests on
	// pipelineRounds connections, one after the other.
	pipelineClients, pipelineRounds = 16, 8
	// brokenAnswer is how many answers of the faulty target there are to one that breaks off:
	// 5 in 100, as on the site's days.
	brokenAnswer = 20
	// faultyTime is how long a target is faulty.
	faultyTime = 5 * time.Second
	// photoBytes is the size of a photo, and photoSent how much of it a faulty target sends.
	photoBytes, photoSent = 300_000, 150_000
	// photoWork and lookupWork are how long the targets work.
	photoWork, lookupWork = 100 * time.Millisecond, 800 * time.Millisecond
	// pipelineLead is how long after the first request of a connection the others are sent.
	pipelineLead = 50 * time.Millisecond
	// maxCut is how many requests the rule lets a machine cut.
	maxCut = 3
)

// playPipeline sends pipelined idempotent requests. The target of one of them breaks off its
// answer; the others go to sound targets.
func playPipeline(s *site, trouble bool) (bool, error) {
	answers := atomic.Int64{}
	for _, each := range []struct{ zone, service string }{
		{"khomas-a", "termbook"}, {"khomas-b", "termbook"}, {"khomas-c", "termbook"}, {"khomas-a", "rulings"}, {"khomas-b", "rulings"},
	} {
		m, err := s.add(each.zone, each.service, 72, func(path string) time.Duration {
			if strings.HasPrefix(path, "/photo/") {
				return photoWork
			}
			return lookupWork
		})
		if err != nil {
			return false, err
		}
		if each.service == "rulings" {
			m.target.answerBytes = func(string) int { return photoBytes }
		}
	}
	if trouble {
		// One of the two targets of the service is faulty.
		began := time.Now()
		s.machines[3].target.breaksOff = func(string) (int, int) {
			if time.Since(began) > settleTime+faultyTime || answers.Add(1)%brokenAnswer != 0 {
				return 0, 0
			}
			return photoBytes, photoSent
		}
	}
	routes := []route{
		{name: "lookup", kind: "idempotent", host: "desk.example", prefix: "/lookup/", service: "termbook", timeout: 6, attempts: 2},
		{name: "photo", kind: "idempotent", host: "desk.example", prefix: "/photo/", service: "rulings", timeout: 6, attempts: 2},
	}
	paper := tenant{name: "paper", keys: []string{"6wsjnbanfqasnmgkcuyj"}, rate: 2000, burst: 2000}
	if err := s.start(configText(1, routes, []tenant{paper}, "termbook", "rulings")); err != nil {
		return false, err
	}
	m := s.machines[0]
	cuts := make(chan int, pipelineClients)
	for range pipelineClients {
		go func() {
			cut := 0
			for range pipelineRounds {
				cut += s.pipelineOnce(m, paper.keys[0])
			}
			cuts <- cut
		}()
		time.Sleep(pipelineLead)
	}
	cut := 0
	for range pipelineClients {
		cut += <-cuts
	}
	s.log("%s passed %d requests on to sound targets and closed their connections without an answer; %d are allowed", m.name, cut, maxCut)
	return cut <= maxCut, nil
}

// pipelineOnce pipelines requests on one connection, and returns how many of those that ran
// at a sound target got no answer.
func (s *site) pipelineOnce(m *machine, key string) (cut int) {
	conn, err := net.Dial("tcp", m.outbound)
	if err != nil {
		s.log("%s: no connection: %v", m.name, err)
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	paths := []string{"/lookup/1", "/photo/2", "/lookup/3", "/lookup/4", "/lookup/5"}
	var ids []string
	var sent []time.Time
	for i, path := range paths {
		ids, sent = append(ids, newAttempt()), append(sent, time.Now())
		_, _ = io.WriteString(conn, requestText(http.MethodGet, path, "desk.example", ids[i], key, 6*time.Second, 0))
		if i == 0 {
			time.Sleep(pipelineLead)
		}
	}
	reader := bufio.NewReader(conn)
	for i, id := range ids {
		got, ran := readAnswer(reader, http.MethodGet), s.runs.of(id)
		s.logRequest(m, http.MethodGet, paths[i], id, sent[i], got)
		if got.status == 0 && len(ran) > 0 && ran[0].service == "termbook" {
			cut++
		}
	}
	return cut
}
