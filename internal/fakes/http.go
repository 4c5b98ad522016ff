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

// Platform is a fake platform: a key-value service, a membership list and a weight store. It
// implements plat.MembershipList and plat.WeightStore, and serves all of them over HTTP.
type Platform struct {
	KV *KV

	mu      sync.Mutex
	members []model.Member
	// listLag is the maximum age of the list that callers read; listed is that list, and
	// refreshAt is when it is next copied from members.
	listLag   time.Duration
	listed    []model.Member
	refreshAt time.Time
	// weightsFreeAt is when the weight store is free for the next load.
	weightsFreeAt time.Time
}

// layerLoadTime is how long the weight store takes to load one layer.
const layerLoadTime = 10 * time.Millisecond

// Reserve implements plat.WeightStore. Loads run one after the other.
func (p *Platform) Reserve(_ context.Context, layers int) (time.Time, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	start := time.Now()
	if p.weightsFreeAt.After(start) {
		start = p.weightsFreeAt
	}
	p.weightsFreeAt = start.Add(time.Duration(layers) * layerLoadTime)
	return start, nil
}

// NewPlatform returns a platform without members.
func NewPlatform() *Platform { return &Platform{KV: NewKV()} }

// SetMember adds a member, or replaces the one with the same ID.
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

// RemoveMember removes a member.
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

// List implements plat.MembershipList. Its result may be as old as the lag.
func (p *Platform) List(context.Context) ([]model.Member, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); !now.Before(p.refreshAt) {
		p.listed = append([]model.Member(nil), p.members...)
		p.refreshAt = now.Add(p.listLag)
	}
	return p.listed, nil
}

// SetLag sets the maximum age of the list that callers read.
func (p *Platform) SetLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listLag = lag
}

// Handler returns a handler for the platform's HTTP protocol, and for test controls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv", func(w http.ResponseWriter, r *http.Request) {
		entry, outcome := p.KV.Get(r.Context(), r.URL.Query().Get("key"))
		writeOutcome(w, outcome, entry)
	})
	mux.HandleFunc("POST /kv", func(w http.ResponseWriter, r *http.Request) {
		var op model.CAS
		if !decodeBody(w, r, &op) {
			return
		}
		revision, outcome := p.KV.CAS(r.Context(), op)
		writeOutcome(w, outcome, plat.RevisionAnswer{Revision: revision})
	})
	mux.HandleFunc("GET /watch", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after is not a revision", http.StatusBadRequest)
			return
		}
		entry, outcome := p.KV.Watch(r.Context(), r.URL.Query().Get("key"), after)
		writeOutcome(w, outcome, entry)
	})
	mux.HandleFunc("POST /lease/grant", func(w http.ResponseWriter, r *http.Request) {
		var q plat.LeaseAnswer
		if !decodeBody(w, r, &q) {
			return
		}
		id, outcome := p.KV.Grant(r.Context(), q.TTL)
		writeOutcome(w, outcome, plat.LeaseAnswer{Lease: id, TTL: q.TTL})
	})
	mux.HandleFunc("POST /lease/keepalive", func(w http.ResponseWriter, r *http.Request) {
		var q plat.LeaseAnswer
		if !decodeBody(w, r, &q) {
			return
		}
		writeOutcome(w, p.KV.KeepAlive(r.Context(), q.Lease), q)
	})
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) {
		members, _ := p.List(r.Context())
		raw, _ := json.Marshal(members)
		etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(raw), 16))
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		writeOutcome(w, model.Done, members)
	})
	mux.HandleFunc("POST /weights/reserve", func(w http.ResponseWriter, r *http.Request) {
		var q plat.Reservation
		if decodeBody(w, r, &q) {
			q.Start, _ = p.Reserve(r.Context(), q.Layers)
			writeOutcome(w, model.Done, q)
		}
	})
	mux.HandleFunc("PUT /members", func(w http.ResponseWriter, r *http.Request) {
		var m model.Member
		if decodeBody(w, r, &m) {
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

// Handler returns a handler for the engine's HTTP protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/stream", func(w http.ResponseWriter, r *http.Request) {
		var s engine.Stream
		if !decodeBody(w, r, &s) {
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
		if !decodeBody(w, r, &a) {
			return
		}
		_ = json.NewEncoder(w).Encode(e.Activate(r.Context(), a))
	})
	mux.HandleFunc("POST /v1/cancel", func(w http.ResponseWriter, r *http.Request) {
		var c engine.CancelOrder
		if decodeBody(w, r, &c) {
			e.Cancel(c.Request, c.Epoch)
		}
	})
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, r *http.Request) {
		var o engine.Order
		if !decodeBody(w, r, &o) {
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
		_ = json.NewEncoder(w).Encode(e.CachedPositions(model.RequestID(id)))
	})
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(e.Report())
	})
	return mux
}

// HTTPLink calls engines over HTTP.
type HTTPLink struct{ Client *http.Client }

// Forward implements Link.
func (l HTTPLink) Forward(ctx context.Context, next model.Hop, a Activation) (Activation, error) {
	raw, err := json.Marshal(a)
	if err != nil {
		return a, err
	}
	var result Activation
	err = l.call(ctx, http.MethodPost, "http://"+next.Address+"/v1/activate", bytes.NewReader(raw), &result)
	return result, err
}

// Export implements Link.
func (l HTTPLink) Export(ctx context.Context, address string, request model.RequestID) (int, error) {
	var positions int
	err := l.call(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/cache?request=%d", address, request), nil, &positions)
	return positions, err
}

func (l HTTPLink) call(ctx context.Context, method, url string, body io.Reader, result any) error {
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
	return json.NewDecoder(resp.Body).Decode(result)
}

// decodeBody decodes the JSON body of a request into v. On an error it writes the response and
// returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, 2*maxValueBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// writeOutcome writes the response for an outcome, with v as the body on success.
func writeOutcome(w http.ResponseWriter, outcome model.Outcome, v any) {
	switch outcome {
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
