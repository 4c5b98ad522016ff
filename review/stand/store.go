package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key with its value, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// datedItem is a change and when it was made.
type datedItem struct {
	item
	at time.Time
}

// store is an in-memory key-value service as the platform's page describes it.
type store struct {
	mu      sync.Mutex
	items   map[string]item
	history []datedItem
	// compacted is the last revision whose change is no longer in history.
	compacted uint64
	revision  uint64
	leases    map[uint64]time.Time
	ttls      map[uint64]time.Duration
	changed   chan struct{}
	// cutUntil is until when watches that wait are cut, and cuts wakes them.
	cutUntil time.Time
	cuts     chan struct{}
	// leader is the machine that last wrote under a condition.
	leader string

	// cutMu guards cutOff, which is until when the calls of a machine get no answer.
	cutMu  sync.Mutex
	cutOff map[string]time.Time
}

func newStore() *store {
	return &store{items: map[string]item{}, revision: 1, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, changed: make(chan struct{}), cuts: make(chan struct{}), cutOff: map[string]time.Time{}}
}

// put writes a key as the operator or a server does, and returns its revision.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(item{Key: key, Value: value})
}

// remove removes a key and returns the revision of the removal.
func (s *store) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(item{Key: key, Removed: true})
}

// cutWatches cuts the watches that wait now or begin to wait within a time.
func (s *store) cutWatches(within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutUntil = time.Now().Add(within)
	close(s.cuts)
	s.cuts = make(chan struct{})
}

// cutLeader partitions the machine that last wrote under a condition from the store, for a time, and returns its name.
func (s *store) cutLeader(lasts time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutMu.Lock()
	defer s.cutMu.Unlock()
	s.cutOff[s.leader] = time.Now().Add(lasts)
	return s.leader
}

// reaches reports whether a machine reaches the store.
func (s *store) reaches(machine string) bool {
	s.cutMu.Lock()
	defer s.cutMu.Unlock()
	return !time.Now().Before(s.cutOff[machine])
}

// apply makes a change. The caller holds mu.
func (s *store) apply(change item) uint64 {
	s.revision++
	change.Revision = s.revision
	if change.Removed {
		change.Lease = 0
		delete(s.items, change.Key)
	} else {
		change.Created = s.revision
		if old, known := s.items[change.Key]; known {
			change.Created = old.Created
		}
		s.items[change.Key] = change
	}
	s.history = append(s.history, datedItem{item: change, at: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// expire removes the keys of leases that have ended. The caller holds mu.
func (s *store) expire() {
	for id, until := range s.leases {
		if time.Now().Before(until) {
			continue
		}
		s.endLease(id)
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, held := range s.items {
		if held.Lease == id {
			s.apply(item{Key: key, Removed: true})
		}
	}
}

// handler returns the handler of one machine's calls.
func (s *store) handler(machine string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.handleKey)
	mux.HandleFunc("GET /-/kv-range", s.handleRange)
	mux.HandleFunc("GET /-/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /-/kv-txn", func(w http.ResponseWriter, r *http.Request) { s.handleTxn(w, r, machine) })
	mux.HandleFunc("POST /-/kv-lease", s.handleLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.handleLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.reaches(machine) {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(&cuttable{ResponseWriter: w, cut: func() bool { return !s.reaches(machine) }}, r)
	})
}

// cuttable breaks off an answer that is written while its machine is cut off.
type cuttable struct {
	http.ResponseWriter
	cut func() bool
}

func (c *cuttable) Write(b []byte) (int, error) {
	if c.cut() {
		panic(http.ErrAbortHandler)
	}
	return c.ResponseWriter.Write(b)
}

// serve answers the calls of one machine until the context ends.
func (s *store) serve(ctx context.Context, l net.Listener, machine string) {
	serveUntil(ctx, l, s.handler(machine))
}

// historyTime is how long changes can be watched.
const historyTime = 20 * time.Second

// maintain ends leases and drops old history until the context ends.
func (s *store) maintain(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		<-ticker.C
		s.mu.Lock()
		s.expire()
		kept := 0
		for kept < len(s.history) && time.Since(s.history[kept].at) > historyTime {
			s.compacted = s.history[kept].Revision
			kept++
		}
		s.history = slices.Delete(s.history, 0, kept)
		s.mu.Unlock()
	}
}

// serveUntil serves HTTP until the context ends.
func serveUntil(ctx context.Context, l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.items[r.URL.Query().Get("key")]
	if !known {
		writeJSON(w, http.StatusNotFound, map[string]uint64{"at": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{held, s.revision})
}

const (
	// maxPageItems and maxPageBytes bound a page of a range.
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, bytes, truncated := []item{}, 0, false
	for _, key := range keys {
		if len(page) == maxPageItems || len(page) > 0 && bytes+len(s.items[key].Value) > maxPageBytes {
			truncated = true
			break
		}
		page, bytes = append(page, s.items[key]), bytes+len(s.items[key].Value)
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": page, "truncated": truncated, "at": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, at, changed, cuts, cut := []item{}, s.revision, s.changed, s.cuts, time.Now().Before(s.cutUntil)
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				events = append(events, change.item)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || last {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		if cut {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-cuts:
			panic(http.ErrAbortHandler)
		case <-timeout:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request, machine string) {
	var txn struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []item{}, true
	for _, e := range txn.Expected {
		current = append(current, s.items[e.Key])
		holds = holds && s.items[e.Key].Revision == e.Revision
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range txn.Writes {
		if _, known := s.leases[write.Lease]; write.Lease != 0 && !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, write := range txn.Writes {
		s.apply(item{Key: write.Key, Value: write.Value, Lease: write.Lease})
	}
	for _, key := range txn.Remove {
		s.apply(item{Key: key, Removed: true})
	}
	if len(txn.Expected) > 0 {
		s.leader = machine
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&asked) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ttl := uint64(len(s.ttls)+1), time.Duration(max(1000, asked.TTLMs))*time.Millisecond
	s.ttls[id], s.leases[id] = ttl, time.Now().Add(ttl)
	writeJSON(w, http.StatusOK, map[string]int64{"lease": int64(id), "ttlMs": ttl.Milliseconds()})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, known := s.leases[id]; !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	writeJSON(w, http.StatusOK, map[string]int64{"ttlMs": s.ttls[id].Milliseconds()})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}
