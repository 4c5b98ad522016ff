package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/plat"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// Platform serves the key-value and membership stand-ins over HTTP.
type Platform struct {
	KV *KV

	mu      sync.Mutex
	members []model.Member
	// lag is how old the list is that callers read; shown is that list, and
	// due is when it is taken anew.
	lag   time.Duration
	shown []model.Member
	due   time.Time
	// weightsFree is when the weight store has time for the next load.
	weightsFree time.Time
}

// layerTime is how long the weight store takes for one layer.
const layerTime = 10 * time.Millisecond

// Reserve implements plat.Weights.
func (p *Platform) Reserve(_ context.Context, layers int) (time.Time, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	start := time.Now()
	if p.weightsFree.After(start) {
		start = p.weightsFree
	}
	p.weightsFree = start.Add(time.Duration(layers) * layerTime)
	return start, nil
}

// NewPlatform returns a platform with an empty list.
func NewPlatform() *Platform { return &Platform{KV: NewKV()} }

// SetMember adds or replaces one row of the list.
func (p *Platform) SetMember(m model.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.members {
		if p.members[i].ID == m.ID {
			p.members[i] = m
			return
		}
	}
	p.members = append(p.members, m)
}

// RemoveMember drops one row of the list.
func (p *Platform) RemoveMember(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.members[:0]
	for _, m := range p.members {
		if m.ID != id {
			kept = append(kept, m)
		}
	}
	p.members = kept
}

// List implements plat.Members.
func (p *Platform) List(context.Context) ([]model.Member, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); !now.Before(p.due) {
		p.shown = append([]model.Member(nil), p.members...)
		p.due = now.Add(p.lag)
	}
	return p.shown, nil
}

// SetLag makes the list follow its changes only each so often.
func (p *Platform) SetLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = lag
}

// Handler serves the platform's protocol.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv", func(w http.ResponseWriter, r *http.Request) {
		e, out := p.KV.Get(r.Context(), r.URL.Query().Get("key"))
		reply(w, out, e)
	})
	mux.HandleFunc("POST /kv", func(w http.ResponseWriter, r *http.Request) {
		var op model.CAS
		if !decode(w, r, &op) {
			return
		}
		rev, out := p.KV.CAS(r.Context(), op)
		reply(w, out, plat.RevisionAnswer{Revision: rev})
	})
	mux.HandleFunc("GET /watch", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after is not a revision", http.StatusBadRequest)
			return
		}
		e, out := p.KV.Watch(r.Context(), r.URL.Query().Get("key"), after)
		reply(w, out, e)
	})
	mux.HandleFunc("POST /lease/grant", func(w http.ResponseWriter, r *http.Request) {
		var q plat.LeaseAnswer
		if !decode(w, r, &q) {
			return
		}
		id, out := p.KV.Grant(r.Context(), q.TTL)
		reply(w, out, plat.LeaseAnswer{Lease: id, TTL: q.TTL})
	})
	mux.HandleFunc("POST /lease/keepalive", func(w http.ResponseWriter, r *http.Request) {
		var q plat.LeaseAnswer
		if !decode(w, r, &q) {
			return
		}
		reply(w, p.KV.KeepAlive(r.Context(), q.Lease), q)
	})
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) {
		members, _ := p.List(r.Context())
		raw, _ := json.Marshal(members)
		tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(raw), 16))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		reply(w, model.Done, members)
	})
	mux.HandleFunc("POST /weights/reserve", func(w http.ResponseWriter, r *http.Request) {
		var q plat.Reservation
		if decode(w, r, &q) {
			q.Start, _ = p.Reserve(r.Context(), q.Layers)
			reply(w, model.Done, q)
		}
	})
	mux.HandleFunc("PUT /members", func(w http.ResponseWriter, r *http.Request) {
		var m model.Member
		if decode(w, r, &m) {
			p.SetMember(m)
		}
	})
	mux.HandleFunc("PUT /fault/{fault}", func(w http.ResponseWriter, r *http.Request) {
		f, err := FaultString(r.PathValue("fault"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.KV.SetFault(f)
	})
	return mux
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/stream", func(w http.ResponseWriter, r *http.Request) {
		var s engine.Stream
		if !decode(w, r, &s) {
			return
		}
		enc, flush := json.NewEncoder(w), http.NewResponseController(w)
		e.Stream(r.Context(), s, func(l engine.Line) {
			_ = enc.Encode(l)
			_ = flush.Flush()
		})
	})
	mux.HandleFunc("POST /v1/activate", func(w http.ResponseWriter, r *http.Request) {
		var a Activation
		if !decode(w, r, &a) {
			return
		}
		_ = json.NewEncoder(w).Encode(e.Activate(r.Context(), a))
	})
	mux.HandleFunc("POST /v1/cancel", func(w http.ResponseWriter, r *http.Request) {
		var c engine.CancelOrder
		if decode(w, r, &c) {
			e.Cancel(c.Request, c.Epoch)
		}
	})
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, r *http.Request) {
		var o engine.Order
		if !decode(w, r, &o) {
			return
		}
		if err := e.Order(o); err != nil {
			http.Error(w, err.Error(), http.StatusPreconditionFailed)
		}
	})
	mux.HandleFunc("GET /v1/cache", func(w http.ResponseWriter, r *http.Request) {
		id, err := strconv.ParseUint(r.URL.Query().Get("request"), 10, 64)
		if err != nil {
			http.Error(w, "request is not a number", http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(e.Export(model.RequestID(id)))
	})
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(e.Report())
	})
	return mux
}

// HTTPLink reaches engine processes.
type HTTPLink struct{ Client *http.Client }

// Pass implements Link.
func (l HTTPLink) Pass(ctx context.Context, next model.Hop, a Activation) (Activation, error) {
	raw, err := json.Marshal(a)
	if err != nil {
		return a, err
	}
	var done Activation
	err = l.ask(ctx, http.MethodPost, "http://"+next.Address+"/v1/activate", bytes.NewReader(raw), &done)
	return done, err
}

// Export implements Link.
func (l HTTPLink) Export(ctx context.Context, address string, request model.RequestID) (int, error) {
	var held int
	err := l.ask(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/cache?request=%d", address, request), nil, &held)
	return held, err
}

func (l HTTPLink) ask(ctx context.Context, method, url string, body io.Reader, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	resp, err := l.Client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("engine answered %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, 2*maxValueBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func reply(w http.ResponseWriter, out model.Outcome, v any) {
	switch out {
	case model.Done:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case model.Conflict:
		http.Error(w, "compare failed", http.StatusConflict)
	case model.Refused:
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case model.Unknown:
		http.Error(w, "answer lost", http.StatusGatewayTimeout)
	}
}
