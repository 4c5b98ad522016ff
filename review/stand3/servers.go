package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of the services, and figures of the model engines: each can hold the whole model.
const (
	draftService   = "assistente"
	bookingService = "agenda"
	layers         = 8
	layerMb        = 1000
	// cardMb leaves an engine that holds half of the model room for about 120,000 tokens.
	cardMb        = 40000
	tokenBytes    = 590000
	engineSlots   = 192
	eventInterval = 20 * time.Millisecond
	tokensPerStep = 4
)

// server is a stand-in of a model engine, or of a server of the booking application if isEngine is not set.
type server struct {
	rig      *rig
	id       string
	isEngine bool
	address  string
	born     int64
	// decline is called for each request before it is taken, and reports whether it was turned away; may be nil.
	decline func(w http.ResponseWriter, r *http.Request) bool
	// work is how long the booking application takes for a request.
	work time.Duration

	mu       sync.Mutex
	from, to int
	sequence int
	fence    uint64
	used     int
	beats    int
	draining bool
	arrivals []time.Time
}

// startServer starts a server and writes its entry, and then every heartbeat.
func (r *rig) startServer(id string, isEngine bool, adjust func(*server)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{rig: r, id: id, isEngine: isEngine, address: l.Addr().String(), born: time.Now().UnixMilli(), work: 30 * time.Millisecond}
	if adjust != nil {
		adjust(s)
	}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	s.publish()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			s.publish()
		}
	}()
	return s, nil
}

// serverAt returns the server with an address; nil if there is none.
func (r *rig) serverAt(address string) *server {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if s.address == address {
			return s
		}
	}
	return nil
}

// entry returns the entry of the server. The caller holds mu.
func (s *server) entry() map[string]any {
	entry := map[string]any{
		"service": bookingService, "address": s.address, "zone": "lisboa-a", "version": "v1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "sequence": s.beats, "born": s.born,
	}
	if s.draining {
		entry["state"] = "draining"
	}
	if s.isEngine {
		entry["service"], entry["slots"], entry["routeType"], entry["layers"] = draftService, engineSlots, "card", nil
		if s.to > s.from {
			entry["layers"] = map[string]int{"source": s.from, "target": s.to, "version": 1}
		}
	}
	return entry
}

// publish writes the entry of the server.
func (s *server) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats++
	raw, err := json.Marshal(s.entry())
	if err == nil {
		s.rig.store.Put("servers/"+s.id, raw)
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", s.id)
		return
	case s.isEngine && r.URL.Path == "/-/report":
		s.report(w)
		return
	case s.isEngine && r.URL.Path == "/-/order":
		s.order(w, r)
		return
	}
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	if want := r.Header.Get("Target-Instance"); want != "" && want != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || s.decline != nil && s.decline(w, r) {
		return
	}
	w.Header().Set("Request-Id", id)
	if s.isEngine {
		s.stream(w, r)
		return
	}
	time.Sleep(s.work)
	w.Header().Set("Response-Signature", s.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s %s %s %d", s.id, r.Method, r.RequestURI, len(body))
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "hybrid", "busy": false, "sequence": s.sequence, "kvUsed": s.used, "kvTotal": s.room()})
}

// order takes layers at once. It checks the fencing token, the sequence and the memory as the pages say.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation      string
		Source, Target int
		FencingToken   uint64
		Expected       *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	switch {
	case o.FencingToken < s.fence:
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case o.Expected != nil && *o.Expected != s.sequence:
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.fence, s.from, s.to = o.FencingToken, o.Source, o.Target
	s.sequence++
	s.mu.Unlock()
	s.publish()
	w.WriteHeader(http.StatusAccepted)
}

// reserve takes room for tokens in the layers of a hop, and returns the status with which the hop rejects the request; 200 if it
// does not.
func (s *server) reserve(from, to, tokens int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.from || to > s.to || from >= to {
		return http.StatusMisdirectedRequest
	}
	needed := tokens * (to - from)
	if s.used+needed > s.room() {
		return http.StatusServiceUnavailable
	}
	s.used += needed
	return http.StatusOK
}

// room is the room for requests, in tokens times layers. The caller holds mu.
func (s *server) room() int {
	return (cardMb - (s.to-s.from)*layerMb) * 1_000_000 / (tokenBytes / layers)
}

// release gives back the room that reserve took.
func (s *server) release(from, to, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= tokens * (to - from)
}

// takePath reserves room at all engines of a path. If one rejects the request, it returns the status and the address of that one.
func (s *server) takePath(path string, tokens int) (release func(), status int, at string) {
	var taken []func()
	release = func() {
		for _, undo := range taken {
			undo()
		}
	}
	for _, hop := range strings.Split(path, ",") {
		address, span, _ := strings.Cut(hop, "=")
		from, to := 0, 0
		if _, err := fmt.Sscanf(span, "%d-%d", &from, &to); err != nil {
			return release, http.StatusBadRequest, address
		}
		engine := s.rig.serverAt(address)
		if engine == nil {
			return release, http.StatusServiceUnavailable, address
		}
		if status := engine.reserve(from, to, tokens); status != http.StatusOK {
			return release, status, address
		}
		taken = append(taken, func() { engine.release(from, to, tokens) })
	}
	return release, http.StatusOK, ""
}

// stream answers with as many events as the request asks for. A request that is larger than the memory that is left is
// rejected as by a full engine.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	usage := strings.Split(r.Header.Get("Token-Usage"), ",")
	prompt, _ := strconv.Atoi(usage[0])
	answer := 0
	if len(usage) > 1 {
		answer, _ = strconv.Atoi(usage[1])
	}
	path := r.Header.Get("Hop-Count")
	if path == "" {
		path = fmt.Sprintf("%s=0-%d", s.address, layers)
	}
	release, status, at := s.takePath(path, prompt+answer)
	defer release()
	if status != http.StatusOK {
		w.Header().Set("At-Server", at)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Response-Signature", s.id+"."+r.Header.Get("Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := last + 1; i <= max(1, answer/tokensPerStep); i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, r.Header.Get("Request-Id"))
		_ = control.Flush()
	}
}

// route returns a route of the configuration.
func route(prefix, routeType, service string, timeout, target, attempts int) map[string]any {
	return map[string]any{
		"name": "r-" + strings.Trim(prefix, "/"), "host": host, "prefix": prefix, "routeType": routeType, "timeoutMs": timeout,
		"targetLatencyMs": target, "priority": 1, "service": service, "maxAttempts": attempts, "public": false,
		"resumable": routeType == "streaming", "gapTargetMs": 250,
	}
}

// services returns the services of the configuration.
func services() []any {
	return []any{
		map[string]any{"name": bookingService, "healthPath": "/health", "maxConnections": 100},
		map[string]any{"name": draftService, "healthPath": "/health", "maxConnections": 1068, "engine": map[string]any{
			"slots": engineSlots, "kvTokenBytes": tokenBytes, "layers": layers, "layerMb": layerMb, "step_ms": 1.02, "per_seq_ms": 0.00459,
			"read_per_s": 164000, "stride": tokensPerStep, "activationBytes": 29500, "pipeMbps": 13000, "loads_at_once": 6,
			"models": []any{map[string]any{"name": "m0", "loadS": 0.5}}, "usual": map[string]any{"prompt": 775, "answer": 216},
			"kinds": []any{map[string]any{"name": "card", "sizeMb": cardMb, "pace": 1.0, "readFactor": 1.0}},
		}},
	}
}

// configure writes a version of the operator's configuration with the keys of some tenants, and with the route of drafts if
// drafting is set.
func (r *rig) configure(drafting bool, tenants ...string) error {
	var list []any
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t, "apiKeys": []string{"key-" + t}})
	}
	routes := []any{
		route(bookings.prefix, "non_idempotent", bookingService, 1200, 150, 1),
		route(lookups.prefix, "idempotent", bookingService, 1200, 150, 2),
	}
	if drafting {
		routes = append(routes, route(drafts.prefix, "streaming", draftService, 20000, 500, 2))
	}
	r.version += 7
	raw, err := json.Marshal(map[string]any{
		"version": r.version, "tenants": list, "routes": routes, "services": services(),
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err == nil {
		r.store.Put("op/config", raw)
		r.note("the store has acknowledged version %d", r.version)
	}
	return err
}
