package route

import "bulrushpond.example/bulrushpond/pkg/model"

// Affinity is a bounded cache of the route that last served each prompt prefix. It keeps
// two generations: when the newer one is full, it replaces the older one.
type Affinity struct {
	newer, older map[uint64]model.Route
}

// affinityGenerationSize is the maximum number of prefixes in one generation.
const affinityGenerationSize = 4096

// NewAffinity returns an empty cache.
func NewAffinity() *Affinity { return &Affinity{newer: map[uint64]model.Route{}} }

// Find returns the route that last served a prefix. Prefix 0 stands for no prefix.
func (a *Affinity) Find(prefix uint64) (model.Route, bool) {
	if prefix == 0 {
		return model.Route{}, false
	}
	if r, ok := a.newer[prefix]; ok {
		return r, true
	}
	r, ok := a.older[prefix]
	return r, ok
}

// Learn stores the route that served a prefix.
func (a *Affinity) Learn(prefix uint64, r model.Route) {
	if prefix == 0 {
		return
	}
	if len(a.newer) >= affinityGenerationSize {
		a.older, a.newer = a.newer, make(map[uint64]model.Route, affinityGenerationSize)
	}
	a.newer[prefix] = r
}
