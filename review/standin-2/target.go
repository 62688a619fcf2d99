package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a target.
type run struct {
	attempt, service, instance, tenant, caller string
	began, ended                               time.Time
	// dropped is set if the target gave the run up as its connection had closed.
	dropped bool
}

// runs records the runs of all targets.
type runs struct {
	mu   sync.Mutex
	list []*run
}

func (r *runs) add(new *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, new)
}

func (r *runs) of(attempt string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []run
	for _, each := range r.list {
		if each.attempt == attempt {
			found = append(found, *each)
		}
	}
	return found
}

func (r *runs) end(each *run, dropped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	each.ended, each.dropped = time.Now(), dropped
}

// target is a sound backend server: it reads a request whole, works, drops the work when its
// connection closes, and answers.
type target struct {
	service, instance, address string
	slots                      int
	work                       func(path string) time.Duration
	runs                       *runs
	server                     *http.Server
	log                        func(format string, values ...any)
	at                         func(time.Time) string
	// breaksOff returns the stated and the sent length of an answer that breaks off; zero
	// for the usual answer. It may be nil.
	breaksOff func(path string) (stated, sent int)
	// answerBytes returns the length of the usual answer's body; it may be nil.
	answerBytes func(path string) int

	mu      sync.Mutex
	running int
}

func (t *target) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.address = listener.Addr().String()
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(listener) }()
	return nil
}

func (t *target) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.slots {
		return false
	}
	t.running++
	return true
}

func (t *target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Instance-Id", t.instance)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != t.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !t.enter() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.leave()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // the request was never whole
	}
	each := &run{
		attempt: attempt, service: t.service, instance: t.instance, tenant: r.Header.Get("X-Tenant-Id"),
		caller: r.Header.Get("X-Caller-Service"), began: time.Now(),
	}
	t.runs.add(each)
	ctx := r.Context()
	if left, err := strconv.Atoi(r.Header.Get("X-Request-Deadline")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
		defer cancel()
	}
	status := http.StatusOK
	select {
	case <-time.After(t.work(r.URL.Path)):
	case <-ctx.Done():
		status = http.StatusGatewayTimeout
	}
	t.runs.end(each, r.Context().Err() != nil)
	t.log("%s: ran at %s for tenant %q, %d bytes, from %s to %s, status %d, dropped: %t",
		attempt, t.instance, each.tenant, size, t.at(each.began), t.at(each.ended), status, each.dropped)
	w.Header().Set("X-Response-Seal", "seal-"+t.instance)
	if t.breaksOff != nil {
		if stated, sent := t.breaksOff(r.URL.Path); sent > 0 {
			t.breakOff(w, attempt, stated, sent)
			return
		}
	}
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", t.running, t.slots))
	w.WriteHeader(status)
	if t.answerBytes != nil && t.answerBytes(r.URL.Path) > 0 {
		_, _ = io.WriteString(w, strings.Repeat("y", t.answerBytes(r.URL.Path)))
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes", t.service, attempt, size)
}

// breakOff sends the beginning of an answer and closes the connection.
func (t *target) breakOff(w http.ResponseWriter, attempt string, stated, sent int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n", attempt, t.instance, stated)
	_, _ = io.WriteString(conn, strings.Repeat("z", sent))
	_ = conn.Close()
}
