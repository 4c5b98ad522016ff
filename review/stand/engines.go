package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names in the configuration of the small deployment.
const (
	modelService = "drafts"
	plainService = "bookings"
	callersHost  = "desk.example"
	apiKey       = "k-north-1"
	otherKey     = "k-north-2"
	modelLayers  = 80
)

// run is one run of a request at an engine.
type run struct {
	Request, Path, Tenant, Server string
	Host, Body                    string
	// Sent is what was sent of a stream.
	Sent      string
	Began     time.Time
	Completed bool
}

// engine is a server of one of the two services: a model engine if kind is set.
type engine struct {
	id, kind, zone, address string
	store                   *store
	record                  *record
	born                    int64
	// events and eventInterval shape the streams of a model engine.
	events        int
	eventInterval time.Duration
	// lineBytes is the length of the longest line of the first event of a stream; 0 for short ones. Each event's line is
	// a byte longer than the one before.
	lineBytes int
	// slots is the number of streams that a model engine takes at once, and active how many it serves now.
	slots, active int
	// extra lets the engine send second copies of answers.
	extra *extraCopies
	// work is how long a plain engine works on a request.
	work   time.Duration
	server *http.Server

	mu       sync.Mutex
	runs     []*run
	from, to int
	sequence uint64
	fence    uint64
	state    string
	// silent keeps publish from writing the entry.
	silent bool
	ended  atomic.Bool
	// fleet finds the engines of a path by their addresses.
	fleet *fleet
}

// fleet holds the engines by address.
type fleet struct {
	mu      sync.Mutex
	engines map[string]*engine
}

func (f *fleet) add(e *engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[e.address] = e
}

func (f *fleet) at(address string) *engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[address]
}

// startEngine starts an engine on a loopback address and writes its entry.
func (w *world) startEngine(id, kind string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, kind: kind, zone: "north-a", address: l.Addr().String(), store: w.store, fleet: w.fleet, record: w.record, born: time.Now().UnixMilli(),
		events: 20, eventInterval: 20 * time.Millisecond, work: 30 * time.Millisecond, state: "ready", slots: 192,
	}
	if w.modelSlots > 0 {
		e.slots = w.modelSlots
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.handleReport)
	mux.HandleFunc("POST /-/order", e.handleOrder)
	mux.HandleFunc("/", e.handleRequest)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, ConnContext: withConn}
	context.AfterFunc(w.ctx, func() { _ = e.server.Close() })
	go func() { _ = e.server.Serve(l) }()
	w.fleet.add(e)
	e.publish()
	return e, nil
}

// publish writes the engine's entry.
func (e *engine) publish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		return
	}
	entry := map[string]any{
		"service": plainService, "address": e.address, "zone": e.zone, "version": "v1", "slots": 6, "state": e.state,
		"coldRemainingMs": 0, "sequence": 1, "born": e.born,
	}
	if e.kind != "" {
		entry["service"], entry["slots"], entry["routeType"], entry["stage"] = modelService, e.slots, e.kind, "hybrid"
		if e.to > e.from {
			entry["layers"] = map[string]int{"source": e.from, "target": e.to, "version": 1}
		}
	}
	raw, err := json.Marshal(entry)
	if err == nil {
		e.store.put("servers/"+e.id, raw)
	}
}

// withdraw removes the engine's entry. The engine goes on serving.
func (e *engine) withdraw() uint64 {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	return e.store.remove("servers/" + e.id)
}

// end ends the engine and its connections.
func (e *engine) end() {
	e.ended.Store(true)
	_ = e.server.Close()
}

func (e *engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "hybrid", "busy": false, "sequence": e.sequence, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0,
		"pace": 1.0, "stalled": []any{}, "born": e.born,
	})
}

func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation    string  `json:"operation"`
		Source       int     `json:"source"`
		Target       int     `json:"target"`
		FencingToken uint64  `json:"fencingToken"`
		Expected     *uint64 `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.record.printf("order %s %d-%d fence %d", e.id, order.Source, order.Target, order.FencingToken)
	e.mu.Lock()
	switch {
	case order.FencingToken < e.fence:
		e.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case order.Expected != nil && *order.Expected != e.sequence:
		e.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence, e.from, e.to = order.FencingToken, order.Source, order.Target
	e.sequence++
	e.mu.Unlock()
	e.publish()
	w.WriteHeader(http.StatusAccepted)
}

// handleRequest runs a request, or declines it.
func (e *engine) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if target := r.Header.Get("Target-Instance"); target != "" && target != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.extra.send(r, e)
	if e.kind != "" {
		if !e.enter() {
			e.shed(w, r)
			return
		}
		defer e.leave()
		if status, at := e.checkPath(r.Header.Get("Hop-Count")); status != 0 {
			w.Header().Set("Request-Id", id)
			w.Header().Set("Not-Executed", "1")
			w.Header().Set("At-Server", at)
			w.WriteHeader(status)
			return
		}
	}
	e.record.printf("run   %s at %s, tenant %q, %d bytes", id, e.id, r.Header.Get("Tenant"), len(body))
	begun := &run{Request: id, Path: r.RequestURI, Tenant: r.Header.Get("Tenant"), Server: e.id, Host: r.Host, Body: string(body), Began: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, begun)
	e.mu.Unlock()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", e.id+"."+id)
	if e.kind != "" || strings.HasPrefix(r.RequestURI, "/note/") {
		e.stream(w, r, begun)
		return
	}
	e.mu.Lock()
	work := e.work
	e.mu.Unlock()
	time.Sleep(work)
	text := fmt.Sprintf("%s done by %s", id, e.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := io.WriteString(w, text); err == nil {
		e.complete(begun)
	}
}

// checkPath returns the status with which a request on a path is declined, and the address of the engine at fault; 0
// if it can run. Without a path, this engine has to hold all layers.
func (e *engine) checkPath(path string) (status int, at string) {
	if path == "" {
		path = fmt.Sprintf("%s=0-%d", e.address, modelLayers)
	}
	next := 0
	for i, part := range strings.Split(path, ",") {
		address, span, _ := strings.Cut(part, "=")
		var from, to int
		if _, err := fmt.Sscanf(span, "%d-%d", &from, &to); err != nil || i == 0 && address != e.address {
			return http.StatusBadRequest, address
		}
		hop := e.fleet.at(address)
		switch {
		case hop == nil || hop.ended.Load():
			return http.StatusServiceUnavailable, address
		case !hop.holds(from, to):
			return http.StatusMisdirectedRequest, address
		case from != next:
			e.record.breaks("LAYERS: the path %s has a gap or an overlap", path)
		}
		next = to
	}
	if next != modelLayers {
		e.record.breaks("LAYERS: the path %s ends at layer %d", path, next)
	}
	return 0, ""
}

// holds reports whether the engine holds a range of layers.
func (e *engine) holds(from, to int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.from <= from && to <= e.to
}

// stallTime is how long an engine waits for one on which its work depends, before it cuts the work off.
const stallTime = 2 * time.Second

// stream sends the events of a stream.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, begun *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	events := e.events
	e.mu.Unlock()
	for i := last + 1; i <= events; i++ {
		if status, at := e.checkPath(r.Header.Get("Hop-Count")); e.kind != "" && status != 0 {
			e.record.printf("stall %s at %s after event %d: %s is not there", begun.Request, e.id, i-1, at)
			select {
			case <-r.Context().Done():
			case <-time.After(stallTime):
			}
			panic(http.ErrAbortHandler)
		}
		e.sendEvent(w, begun, i)
		_ = control.Flush()
		select {
		case <-r.Context().Done():
			e.record.printf("left  %s at %s after event %d: its connection was closed", begun.Request, e.id, i)
			return
		case <-time.After(e.eventInterval):
		}
	}
	e.complete(begun)
}

// sendEvent sends one event of a stream.
func (e *engine) sendEvent(w io.Writer, begun *run, i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data := fmt.Sprintf("data: %s piece %d of %d", begun.Request, i, e.events)
	if e.lineBytes > 0 {
		data += " " + strings.Repeat("x", e.lineBytes+i-2-len(data))
	}
	text := fmt.Sprintf("id: %d\n%s\n\n", i, data)
	begun.Sent += text
	_, _ = io.WriteString(w, text)
}

// shapeEvents sets the number of events of a stream and the length of the first one's longest line.
func (e *engine) shapeEvents(events, lineBytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events, e.lineBytes = events, lineBytes
}

func (e *engine) complete(r *run) {
	e.mu.Lock()
	r.Completed = true
	e.mu.Unlock()
	e.record.printf("ran   %s at %s to its end", r.Request, e.id)
}

// runsOf returns the runs of a request.
func (e *engine) runsOf(id string) []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var runs []run
	for _, r := range e.runs {
		if r.Request == id {
			runs = append(runs, *r)
		}
	}
	return runs
}

// allRuns returns all runs.
func (e *engine) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var runs []run
	for _, r := range e.runs {
		runs = append(runs, *r)
	}
	return runs
}

// longWork is a long time that a plain engine works on a request, within the sheet's largest.
const longWork = 150 * time.Millisecond

// workLonger makes a plain engine take longWork for each request.
func (e *engine) workLonger() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.work = longWork
}
