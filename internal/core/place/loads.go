package place

import (
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// countLoading returns the number of orders whose layers are expected to load now.
func (st *State) countLoading(now time.Time) int {
	n := 0
	for _, o := range st.orders {
		if now.Before(o.loadedAt) {
			n++
		}
	}
	return n
}

// mayLoad reports whether one more load may be ordered.
func (st *State) mayLoad(p *setts.EngineProfile) bool {
	return !st.LimitLoads || p.LoadsAtOnce == 0 || st.loading < p.LoadsAtOnce
}

// OutageEnd returns when all layers are expected to be held again by a live engine. It is zero if they are now, or if
// that is not known: a missing layer was not ordered yet for want of an engine, or its order takes longer than expected.
func (st *State) OutageEnd(now time.Time, p *setts.EngineProfile, members []model.Member) time.Time {
	if p == nil || p.Layers == 0 {
		return time.Time{}
	}
	held, loadedAt := make([]bool, p.Layers), make([]time.Time, p.Layers)
	for _, m := range members {
		if m.State != model.Live || !p.HasLayers(m.Span) {
			continue
		}
		for layer := m.Span.From; layer < m.Span.To; layer++ {
			held[layer] = true
		}
		order, pending := st.orders[model.ServerID(m.ID)]
		if !pending || !order.loadedAt.Add(entryDelay).After(now) {
			continue
		}
		for layer := order.span.From; layer < min(order.span.To, p.Layers); layer++ {
			if loadedAt[layer].IsZero() || order.loadedAt.Before(loadedAt[layer]) {
				loadedAt[layer] = order.loadedAt
			}
		}
	}
	var end time.Time
	unordered := 0
	for layer := range p.Layers {
		switch {
		case held[layer]:
		case loadedAt[layer].IsZero():
			unordered++
		case loadedAt[layer].After(end):
			end = loadedAt[layer]
		}
	}
	if unordered == 0 {
		return end
	}
	if st.mayLoad(p) {
		return time.Time{}
	}
	// They are ordered as soon as other loads end.
	loads := now.Add(p.LoadTime * time.Duration(unordered) / time.Duration(p.Layers*p.LoadsAtOnce))
	if loads.After(end) {
		return loads
	}
	return end
}
