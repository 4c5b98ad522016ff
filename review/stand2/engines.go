package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// service is the service of the engines.
const service = "drafts"

const (
	// lostShare is the share of its answers that an engine loses which loses answers: each breaks off between lostAfter and
	// lostSpread later, after its run began or the disruption did.
	lostShare  = 0.4
	lostAfter  = 600 * time.Millisecond
	lostSpread = 2 * time.Second
)

// heartbeat is the time between two confirmations of an entry.
const heartbeat = 1200 * time.Millisecond

// engineService is the engines' service in the operators' configuration: a model of one layer, so that each engine serves
// requests alone.
func engineService() map[string]any {
	return map[string]any{"name": service, "healthPath": "/health", "maxConnections": 1068, "engine": map[string]any{
		"slots": 192, "kvTokenBytes": 590000.0, "layers": 1, "layerMb": 1750.0, "step_ms": 1.02, "per_seq_ms": 0.00459, "read_per_s": 164000,
		"models": []any{map[string]any{"loadS": 0.1}}, "usual": map[string]any{"prompt": 760, "answer": 200}, "stride": 4, "loads_at_once": 6,
		"kinds": []any{map[string]any{"name": "a100", "sizeMb": 72000.0, "pace": 2.4, "readFactor": 3.2}},
	}}
}

// engine is a model engine.
type engine struct {
	rig         *rig
	id, address string
	born        int64
	// events is the number of events of a stream, interval the time between two.
	events   int
	interval time.Duration

	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	sequence int
	loaded   bool
	// gone is set once no entry names the engine any more.
	gone bool
	// running holds the runs in progress with what resets their connections. breaksOff is set while the engine breaks off a
	// share of its answers.
	running   map[*run]struct{}
	breaksOff bool
}

// run is one run of a request.
type run struct {
	request string
	// broken is closed to reset the connection.
	broken chan struct{}
	once   sync.Once
}

func (r *run) breakOff() { r.once.Do(func() { close(r.broken) }) }

// startEngine starts an engine and publishes its entry.
func (r *rig) startEngine(id string, events int, interval time.Duration) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{rig: r, id: id, address: listener.Addr().String(), born: time.Now().UnixMilli(), events: events, interval: interval, listener: listener, running: map[*run]struct{}{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", id) })
	mux.HandleFunc("GET /-/report", e.report)
	mux.HandleFunc("POST /-/order", e.order)
	mux.HandleFunc("/", e.request)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(listener) }()
	e.publish()
	return e, nil
}

// crash ends the engine without notice: its connections close, and its entry expires after three heartbeats.
func (e *engine) crash() {
	e.rig.record.add("%s crashes", e.id)
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { e.rig.store.Remove("servers/" + e.id) })
}

// publish writes the engine's entry.
func (e *engine) publish() {
	e.mu.Lock()
	if e.gone {
		e.mu.Unlock()
		return
	}
	entry := map[string]any{
		"service": service, "address": e.address, "zone": "z1", "version": "v1", "slots": 192, "state": "ready", "coldRemainingMs": 0,
		"sequence": 1, "stage": "hybrid", "routeType": "a100", "layers": nil, "born": e.born,
	}
	if e.loaded {
		entry["layers"] = map[string]int{"source": 0, "target": 1, "version": 1}
	}
	e.mu.Unlock()
	raw, err := json.Marshal(entry)
	if err == nil {
		e.rig.store.Put("servers/"+e.id, raw)
	}
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "hybrid", "busy": false, "sequence": e.sequence, "queued": 0, "running": 0, "stalled": []any{}})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct{ Source, Target, Expected int }
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Source != 0 || o.Target != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if o.Expected != e.sequence {
		e.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	e.loaded = true
	e.mu.Unlock()
	e.publish()
	w.WriteHeader(http.StatusAccepted)
}

// request serves a stream, from the event after Last-Event-Id on.
func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Target-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.rig.arrivals.add(id, e.id)
	e.rig.record.add("%s runs %s from event %d", e.id, id, last+1)
	own := e.begin(id)
	defer e.end(own)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "sig."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := last + 1; i <= e.events; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
		if control.Flush() != nil {
			break
		}
		select {
		case <-r.Context().Done():
			e.rig.record.add("%s ends %s after event %d: its connection closed", e.id, id, i)
			return
		case <-own.broken:
			e.rig.record.add("%s resets the connection of %s after event %d", e.id, id, i)
			reset(w)
			return
		case <-time.After(e.interval):
		}
	}
	e.rig.record.add("%s has served %s", e.id, id)
}

// isLoaded reports whether the engine holds its layer.
func (e *engine) isLoaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// leave ends the engine's registration without a notice before. It goes on serving.
func (e *engine) leave() {
	e.rig.record.add("%s leaves: its entry is removed, it serves on", e.id)
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	e.rig.store.Remove("servers/" + e.id)
}

// begin and end keep the runs in progress.
func (e *engine) begin(request string) *run {
	own := &run{request: request, broken: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[own] = struct{}{}
	if e.breaksOff {
		e.breakOffLater(own)
	}
	return own
}

func (e *engine) end(own *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, own)
}

// breakOffLater breaks off a run, with the probability of lostShare. The caller holds mu.
func (e *engine) breakOffLater(own *run) {
	if rand.Float64() < lostShare {
		time.AfterFunc(lostAfter+time.Duration(rand.Int64N(int64(lostSpread))), own.breakOff)
	}
}

// loseAnswers makes the engine break off a share of its answers for a while, those in progress included.
func (e *engine) loseAnswers(duration time.Duration) {
	e.rig.record.add("%s loses answers", e.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaksOff = true
	for own := range e.running {
		e.breakOffLater(own)
	}
	time.AfterFunc(duration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.breaksOff = false
	})
}

// reset resets the connection of an answer.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
