package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a target began to work on.
type run struct {
	attempt string
	at      time.Time
	// finishedAt is when the whole answer was made; zero if the run was cut.
	finishedAt time.Time
}

// target is a sound application target, with the machine beside it.
type target struct {
	id, service, zone string
	slots             int
	work              func(r *http.Request) time.Duration
	address           string
	server            *http.Server
	born              int64

	mu       sync.Mutex
	runs     []run
	sequence int
	silent   bool // sends no further reports
	state    string
	early    *earlyTarget
	answer   int // the length of an answer; 0: a short one
	onRun    func(r *http.Request, body []byte)
	raw      func(r *http.Request) (string, bool) // a faulty target's bytes
}

func newTarget(id, service, zone, ip string, work time.Duration) *target {
	t := &target{id: id, service: service, zone: zone, slots: 40, born: time.Now().UnixMilli(), state: "ready"}
	t.work = func(*http.Request) time.Duration { return work }
	listener, err := net.Listen("tcp", ip+":0")
	check(err)
	t.address = listener.Addr().String()
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(listener) }()
	return t
}

// ServeHTTP runs a request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Instance-Id", t.id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	number := len(t.runs)
	t.runs = append(t.runs, run{attempt: attempt, at: time.Now()})
	t.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the body broke off
	}
	if t.onRun != nil {
		t.onRun(r, body)
	}
	if t.raw != nil {
		if text, ok := t.raw(r); ok {
			conn, _, err := http.NewResponseController(w).Hijack()
			check(err)
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
			return
		}
	}
	select {
	case <-time.After(t.work(r)):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Response-Seal", "seal-"+attempt)
	w.Header().Set("X-Server-Load", fmt.Sprintf("1,0,%d", t.slots))
	if size := t.answer; size > 0 {
		text := []byte(strings.Repeat(attempt, size/len(attempt)))
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		for len(text) > 0 {
			k := min(len(text), 30000)
			if _, err := w.Write(text[:k]); err != nil {
				return
			}
			text = text[k:]
		}
		t.finish(number)
		return
	}
	if _, err := fmt.Fprintf(w, "%s ran %s", t.id, attempt); err == nil {
		t.finish(number)
	}
}

// finish notes that a run has made its whole answer.
func (t *target) finish(number int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[number].finishedAt = time.Now()
}

// exit ends the target: what it is at work on is lost.
func (t *target) exit() { _ = t.server.Close() }

// ran returns the runs from a moment on.
func (t *target) ran(from time.Time) []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var later []run
	for _, r := range t.runs {
		if !r.at.Before(from) {
			later = append(later, r)
		}
	}
	return later
}

// count returns how often an attempt ran here.
func (t *target) count(attempt string) (times int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.runs {
		if r.attempt == attempt {
			times++
		}
	}
	return times
}

var reportClient = &http.Client{Timeout: time.Second}

// report sends one report of the target's own state to a node.
func (t *target) report(control string) error {
	t.mu.Lock()
	t.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-remaining-s":0,"seq-num":%d,"born":%d}`,
		t.service, t.address, t.zone, t.slots, t.state, t.sequence, t.born)
	t.mu.Unlock()
	return send(http.MethodPut, control, t.id, body)
}

// leave sends DELETE, after which the target sends no reports.
func (t *target) leave(control string) error {
	t.mu.Lock()
	t.silent = true
	t.mu.Unlock()
	return send(http.MethodDelete, control, t.id, "")
}

func send(method, control, id, body string) error {
	request, err := http.NewRequest(method, "http://"+control+"/instances/"+id, bytes.NewBufferString(body))
	check(err)
	request.Header.Set("Content-Type", "application/json")
	response, err := reportClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// reportUntilSilent sends a report every heartbeat.
func (t *target) reportUntilSilent(control string) {
	for {
		t.mu.Lock()
		silent := t.silent
		t.mu.Unlock()
		if silent {
			return
		}
		_ = t.report(control)
		time.Sleep(1500 * time.Millisecond)
	}
}
