package route

import "bulrushpond.example/bulrushpond/pkg/model"

// Affinity remembers which route last served a prefix. Two generations bound
// its memory: when the newer one is full it becomes the older one.
type Affinity struct {
	newer, older map[uint64]model.Route
}

// affinityRows is the size of one generation.
const affinityRows = 4096

// NewAffinity returns an empty memory.
func NewAffinity() *Affinity { return &Affinity{newer: map[uint64]model.Route{}} }

// Find returns the route that last served a prefix; prefix 0 is none.
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

// Learn remembers a route.
func (a *Affinity) Learn(prefix uint64, r model.Route) {
	if prefix == 0 {
		return
	}
	if len(a.newer) >= affinityRows {
		a.older, a.newer = a.newer, make(map[uint64]model.Route, affinityRows)
	}
	a.newer[prefix] = r
}
