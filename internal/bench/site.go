// Package bench benchmarks the decision core in virtual time against simulated model
// engines. All results but CoreTime are deterministic for a seed. It compares routing policies
// and doesn't simulate a whole cluster: it models only batches, links, prefix caches and
// delayed reports.
package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// Accelerator describes a type of accelerator.
type Accelerator struct {
	Name string
	// BatchTime is the fixed time of a batch, TokenTime the time added by each token in it.
	BatchTime, TokenTime time.Duration
	// PrefillTime is the time of each prompt token that isn't cached.
	PrefillTime time.Duration
	// Slots is the maximum batch size, and the number of streams that fit the memory of an
	// engine that holds all layers.
	Slots int
	// CachePrefixes is the capacity of the prefix cache.
	CachePrefixes int
}

// tokensPerSecond returns the throughput with full batches.
func (k Accelerator) tokensPerSecond() float64 {
	batch := k.BatchTime + time.Duration(k.Slots)*k.TokenTime
	return float64(k.Slots) / batch.Seconds()
}

// acceleratorKinds returns the accelerators from which NewSite draws.
func acceleratorKinds() []Accelerator {
	return []Accelerator{
		{Name: "large", BatchTime: time.Millisecond, TokenTime: 250 * time.Microsecond, PrefillTime: 15 * time.Microsecond, Slots: 48, CachePrefixes: 24},
		{Name: "medium", BatchTime: time.Millisecond, TokenTime: 500 * time.Microsecond, PrefillTime: 30 * time.Microsecond, Slots: 32, CachePrefixes: 16},
		{Name: "small", BatchTime: time.Millisecond, TokenTime: time.Millisecond, PrefillTime: 60 * time.Microsecond, Slots: 16, CachePrefixes: 8},
	}
}

// Rates of the links between stages, in tokens per second. They differ by a factor of 100.
const (
	fastLinkRate = 20_000
	slowLinkRate = 200
	// linkLatency is the one-way latency of a link.
	linkLatency = 500 * time.Microsecond
)

const (
	benchModel  = "bench"
	benchLayers = 32
)

// Site is a set of simulated engines.
type Site struct {
	Engines []Engine
}

// Engine is one model engine of a site.
type Engine struct {
	ID          model.ServerID
	Accelerator Accelerator
	Span        model.Span
	// Rack is the engine's rack; links within a rack are fast.
	Rack int
}

// NewSite draws a site of engines with mixed accelerators. About a quarter of the large
// engines hold the whole model, all others half of it.
func NewSite(engines int, r *rand.Rand) Site {
	accelerators := acceleratorKinds()
	s := Site{}
	whole := model.Span{From: 0, To: benchLayers}
	halves := []model.Span{{From: 0, To: benchLayers / 2}, {From: benchLayers / 2, To: benchLayers}}
	racks := max(2, engines/10)
	for i := range engines {
		accelerator := accelerators[r.IntN(len(accelerators))]
		span := halves[i%2]
		if accelerator.Name == "large" && r.IntN(4) == 0 {
			span = whole
		}
		s.Engines = append(s.Engines, Engine{ID: model.ServerID(fmt.Sprintf("e%05d", i)), Accelerator: accelerator, Span: span, Rack: (i / 2) % racks})
	}
	return s
}

// streamCapacity returns how many streams fit the engine's memory. A stream takes memory for
// each layer that the engine holds.
func (e Engine) streamCapacity() int {
	return e.Accelerator.Slots * benchLayers / (e.Span.To - e.Span.From)
}

// linkRate returns the rate of the link between two engines, in tokens per second.
func (s Site) linkRate(from, to int) float64 {
	if s.Engines[from].Rack == s.Engines[to].Rack {
		return fastLinkRate
	}
	return slowLinkRate
}

// Bound returns an upper bound of the site's throughput in answer tokens per second: the
// maximum flow through engines and links, after the engines' time for prompts. It assumes
// full batches and perfect prefix caches, so no policy reaches it.
func (s Site) Bound(w Workload) float64 {
	n := len(s.Engines)
	source, sink := 2*n, 2*n+1
	net := route.NewNetwork(2*n + 2)
	for i, e := range s.Engines {
		secondsPerToken := 1/e.Accelerator.tokensPerSecond() + e.Accelerator.PrefillTime.Seconds()*w.uncachedPromptPerToken()
		net.Add(2*i, 2*i+1, 1/secondsPerToken)
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
