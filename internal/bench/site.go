// Package bench measures the decision core in virtual time against fake backend
// servers, the same for each seed. It is a benchmark of the policy and no
// simulator of a cluster: it knows batches, links, caches and late reports, and
// nothing else.
package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// Kind is a kind of accelerator.
type Kind struct {
	Name string
	// Base is the fixed time of a batch, Item that of each token in it.
	Base, Item time.Duration
	// Prefill is the time of one prompt token that is not cached.
	Prefill time.Duration
	// Slots is the largest batch, and the most streams that fit the memory of an
	// engine that holds all layers.
	Slots int
	// CachePrefixes is how many prompt prefixes the cache holds.
	CachePrefixes int
}

// rate is the kind's tokens a second with full batches.
func (k Kind) rate() float64 {
	batch := k.Base + time.Duration(k.Slots)*k.Item
	return float64(k.Slots) / batch.Seconds()
}

// kinds are the accelerators of the sites measured.
func kinds() []Kind {
	return []Kind{
		{Name: "large", Base: time.Millisecond, Item: 250 * time.Microsecond, Prefill: 15 * time.Microsecond, Slots: 48, CachePrefixes: 24},
		{Name: "medium", Base: time.Millisecond, Item: 500 * time.Microsecond, Prefill: 30 * time.Microsecond, Slots: 32, CachePrefixes: 16},
		{Name: "small", Base: time.Millisecond, Item: time.Millisecond, Prefill: 60 * time.Microsecond, Slots: 16, CachePrefixes: 8},
	}
}

// Rates of the links between stages, in tokens a second. They differ a
// hundredfold.
const (
	fastLink = 20_000
	slowLink = 200
	// linkLatency is the time on the way, one way.
	linkLatency = 500 * time.Microsecond
)

const (
	benchModel  = "bench"
	benchLayers = 32
)

// Site is what is measured against.
type Site struct {
	Engines []Engine
}

// Engine is one model engine of a site.
type Engine struct {
	ID   model.ServerID
	Kind Kind
	Span model.Span
	// Rack says which links are fast: those within a rack.
	Rack int
}

// NewSite draws a site of engines of mixed kinds: a quarter of the large ones
// hold the whole model, all others half of it.
func NewSite(engines int, r *rand.Rand) Site {
	all := kinds()
	s := Site{}
	whole := model.Span{From: 0, To: benchLayers}
	halves := []model.Span{{From: 0, To: benchLayers / 2}, {From: benchLayers / 2, To: benchLayers}}
	racks := max(2, engines/10)
	for i := range engines {
		k := all[r.IntN(len(all))]
		span := halves[i%2]
		if k.Name == "large" && r.IntN(4) == 0 {
			span = whole
		}
		s.Engines = append(s.Engines, Engine{ID: model.ServerID(fmt.Sprintf("e%05d", i)), Kind: k, Span: span, Rack: (i / 2) % racks})
	}
	return s
}

// streams is how many streams fit the engine's memory. A stream takes memory for
// each layer that the engine holds.
func (e Engine) streams() int {
	return e.Kind.Slots * benchLayers / (e.Span.To - e.Span.From)
}

// linkRate is what a link carries, in tokens a second.
func (s Site) linkRate(from, to int) float64 {
	if s.Engines[from].Rack == s.Engines[to].Rack {
		return fastLink
	}
	return slowLink
}

// Bound is the most answer tokens a second that the site can generate: the
// maximum flow through engines and links, where an engine's time also goes to
// prompts. It assumes full batches and perfect caches, so no policy reaches it.
func (s Site) Bound(w Workload) float64 {
	n := len(s.Engines)
	source, sink := 2*n, 2*n+1
	net := route.NewNetwork(2*n + 2)
	for i, e := range s.Engines {
		seconds := 1/e.Kind.rate() + e.Kind.Prefill.Seconds()*w.uncachedPromptPerToken()
		net.Add(2*i, 2*i+1, 1/seconds)
		if e.Span.From == 0 {
			net.Add(source, 2*i, 1e12)
		}
		if e.Span.To == benchLayers {
			net.Add(2*i+1, sink, 1e12)
		}
		for j, next := range s.Engines {
			if next.Span.From == e.Span.To {
				net.Add(2*i+1, 2*j, s.linkRate(i, j))
			}
		}
	}
	return net.Solve(source, sink)
}
