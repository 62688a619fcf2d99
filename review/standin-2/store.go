package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an entry of the store as messages have it.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// storeEvent is a change in the answer of a watch.
type storeEvent struct {
	storeItem
	Removed bool `json:"removed,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store. It loses nothing except at restore.
type store struct {
	mu        sync.Mutex
	changed   chan struct{}
	era       uint64
	revision  uint64
	floor     uint64 // watches from an earlier revision get 410
	items     map[string]storeItem
	events    []storeEvent
	leases    map[uint64]storeLease
	lastLease uint64
	// busy is set while the store answers 503 to all; leases do not end then.
	busy    bool
	busyAt  time.Time
	server  *http.Server
	address string
}

// storeCopy is a copy of the store's data.
type storeCopy struct {
	revision, lastLease uint64
	items               map[string]storeItem
	leases              map[uint64]storeLease
	at                  time.Time
}

func startStore() (*store, error) {
	s := &store{changed: make(chan struct{}), revision: 1, items: map[string]storeItem{}, leases: map[uint64]storeLease{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire(time.Now())
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// expire removes the keys of leases that have ended; s.mu is held.
func (s *store) expire(now time.Time) {
	if s.busy {
		return
	}
	for id, lease := range s.leases {
		if now.Before(lease.end) {
			continue
		}
		delete(s.leases, id)
		for key, item := range s.items {
			if item.Lease == id {
				s.remove(key)
			}
		}
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove removes a key; s.mu is held.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, storeEvent{storeItem: storeItem{Key: key, Revision: s.revision}, Removed: true})
	s.notify()
}

// put writes a key; s.mu is held.
func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if known, ok := s.items[key]; ok {
		item.Created = known.Created
	}
	s.items[key] = item
	s.events = append(s.events, storeEvent{storeItem: item})
	s.notify()
}

// writeOperator writes a key as the operator does, and returns when it was acknowledged.
func (s *store) writeOperator(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
	return time.Now()
}

func (s *store) copyData() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, lastLease: s.lastLease, items: map[string]storeItem{}, leases: map[uint64]storeLease{}, at: time.Now()}
	for k, v := range s.items {
		c.items[k] = v
	}
	for k, v := range s.leases {
		c.leases[k] = v
	}
	return c
}

// restore replaces the data by that of a copy, in a new era. Leases go on with the time that
// they had left.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.lastLease, s.floor = c.revision, c.lastLease, c.revision
	s.items, s.leases, s.events = map[string]storeItem{}, map[uint64]storeLease{}, nil
	for k, v := range c.items {
		s.items[k] = v
	}
	for k, v := range c.leases {
		s.leases[k] = storeLease{ttl: v.ttl, end: time.Now().Add(v.end.Sub(c.at))}
	}
	s.notify()
}

// setBusy sets whether the store answers 503 to all. Leases pause meanwhile.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.busy && !busy {
		for id, lease := range s.leases {
			lease.end = lease.end.Add(now.Sub(s.busyAt))
			s.leases[id] = lease
		}
	}
	s.busy, s.busyAt = busy, now
}

func (s *store) value(key string) (storeItem, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	return item, ok
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	era := s.era
	if s.busy {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, answer := s.answer(r, body)
	if s.era != era {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.mu.Unlock()
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
	data, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// answer handles one call; s.mu is held, except while a watch waits.
func (s *store) answer(r *http.Request, body []byte) (int, any) {
	query := r.URL.Query()
	path := r.URL.Path
	id, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	s.expire(time.Now())
	switch {
	case path == "/kv-key":
		item, ok := s.items[query.Get("key")]
		if !ok {
			return 404, map[string]any{"store-revision": s.revision}
		}
		return 200, struct {
			storeItem
			Store uint64 `json:"store-revision"`
		}{item, s.revision}
	case path == "/kv-range":
		items := []storeItem{}
		for key, item := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				items = append(items, item)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		return 200, map[string]any{"items": items, "has-more": false, "store-revision": s.revision}
	case path == "/kv-watch":
		return s.watch(r, query.Get("prefix"), query.Get("after"), query.Get("wait-ms"))
	case path == "/kv-txn":
		return s.transact(body)
	case path == "/kv-lease":
		var message struct {
			TTL float64 `json:"ttl-s"`
		}
		if json.Unmarshal(body, &message) != nil {
			return 400, nil
		}
		s.lastLease++
		ttl := time.Duration(message.TTL * float64(time.Second))
		s.leases[s.lastLease] = storeLease{ttl: ttl, end: time.Now().Add(ttl)}
		return 200, map[string]any{"lease": s.lastLease, "ttl-s": message.TTL}
	case strings.HasPrefix(path, "/kv-keep/"):
		lease, ok := s.leases[id]
		if !ok {
			return 404, map[string]any{}
		}
		lease.end = time.Now().Add(lease.ttl)
		s.leases[id] = lease
		return 200, map[string]any{}
	case strings.HasPrefix(path, "/kv-lease-end/"):
		if lease, ok := s.leases[id]; ok {
			lease.end = time.Now()
			s.leases[id] = lease
			s.expire(time.Now())
		}
		return 200, map[string]any{}
	}
	return 400, map[string]any{}
}

func (s *store) watch(r *http.Request, prefix, afterText, waitText string) (int, any) {
	after, _ := strconv.ParseUint(afterText, 10, 64)
	wait, _ := strconv.Atoi(waitText)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	era := s.era
	for {
		if s.era != era || after > s.revision || after < s.floor {
			return 410, map[string]any{}
		}
		events := []storeEvent{}
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		if len(events) > 0 {
			return 200, map[string]any{"events": events, "store-revision": s.revision}
		}
		changed := s.changed
		s.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
		if ended {
			return 200, map[string]any{"events": events, "store-revision": s.revision}
		}
	}
}

func (s *store) transact(body []byte) (int, any) {
	var txn struct {
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
	if err := json.Unmarshal(body, &txn); err != nil {
		return 400, map[string]any{"error": fmt.Sprint(err)}
	}
	states, conflict := []storeItem{}, false
	for _, condition := range txn.Conditions {
		item, ok := s.items[condition.Key]
		if ok {
			states = append(states, item)
		}
		conflict = conflict || item.Revision != condition.Revision
	}
	if conflict {
		return 412, map[string]any{"items": states}
	}
	for _, put := range txn.Puts {
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			return 404, map[string]any{}
		}
	}
	for _, put := range txn.Puts {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	return 200, map[string]any{"revision": s.revision}
}
