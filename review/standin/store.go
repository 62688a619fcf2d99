package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// trouble is what a node meets at the store.
type trouble int

const (
	storeSound trouble = iota
	// storeBusy answers every call with 503: nothing was done.
	storeBusy
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]*item
	history  []event
	leases   map[uint64]*lease
	lastID   uint64
	changed  chan struct{}
	// pausedAt is set while the store is down: leases pause.
	pausedAt time.Time
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type event struct {
	item
	removed bool
}

// MarshalJSON writes a removal with its key and revision alone.
func (e event) MarshalJSON() ([]byte, error) {
	if e.removed {
		return json.Marshal(map[string]any{"key": e.Key, "revision": e.Revision, "removed": true})
	}
	return json.Marshal(e.item)
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]*item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// pause stops the leases' time while the store is down; resume lets it go on.
func (s *store) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedAt = time.Now()
}

func (s *store) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.until = l.until.Add(time.Since(s.pausedAt))
	}
	s.pausedAt = time.Time{}
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pausedAt.IsZero() {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for key, it := range s.items {
		if it.Lease == id {
			gone = append(gone, key)
		}
	}
	if len(gone) > 0 {
		s.revision++
		for _, key := range gone {
			s.remove(key)
		}
		s.notify()
	}
}

func (s *store) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, event{item{Key: key, Revision: s.revision}, true})
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	created := s.revision
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	it := &item{key, value, s.revision, created, leaseID}
	s.items[key] = it
	s.history = append(s.history, event{*it, false})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put is a write of the operator.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.notify()
}

// serve serves the store on a new loopback address for one node. met tells what that
// node meets.
func (s *store) serve(met func() trouble) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if met() == storeBusy {
			http.Error(w, "{}", http.StatusServiceUnavailable)
			return
		}
		s.handle(w, r, met)
	})
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handle(w http.ResponseWriter, r *http.Request, met func() trouble) {
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		if it, ok := s.items[query.Get("key")]; ok {
			reply(w, 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "store-revision": s.revision})
			return
		}
		reply(w, 404, map[string]any{"store-revision": s.revision})
	case path == "/kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		s.watch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond, met)
	case path == "/kv-txn":
		s.txn(w, r)
	case path == "/kv-lease":
		var body struct {
			TTL float64 `json:"ttl-s"`
		}
		check(json.NewDecoder(r.Body).Decode(&body))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastID++
		ttl := time.Duration(body.TTL * float64(time.Second))
		s.leases[s.lastID] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, 200, map[string]any{"lease": s.lastID, "ttl-s": body.TTL})
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l, ok := s.leases[id]
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		if strings.HasPrefix(path, "/kv-keep/") {
			l.until = time.Now().Add(l.ttl)
		} else {
			s.endLease(id)
		}
		reply(w, 200, map[string]any{"lease": id, "ttl-s": l.ttl.Seconds()})
	default:
		reply(w, 404, map[string]any{})
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, 200, map[string]any{"items": items, "has-more": false, "store-revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration, met func() trouble) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			if met() == storeBusy {
				reply(w, 503, map[string]any{})
				return
			}
			reply(w, 200, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Conditions []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected-rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"delete"`
	}
	check(json.NewDecoder(r.Body).Decode(&body))
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []*item{}, true
	for _, c := range body.Conditions {
		it, ok := s.items[c.Key]
		if ok {
			current = append(current, it)
		}
		if ok && it.Revision != c.Revision || !ok && c.Revision != 0 {
			holds = false
		}
	}
	if !holds {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if _, ok := s.leases[p.Lease]; !ok && p.Lease != 0 {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Deletes {
		if _, ok := s.items[key]; ok {
			s.remove(key)
		}
	}
	s.notify()
	reply(w, 200, map[string]any{"revision": s.revision})
}

func check(err error) {
	if err != nil {
		panic(fmt.Sprint("stand-in: ", err))
	}
}
