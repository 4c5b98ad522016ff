package board

import (
	"cmp"
	"math"
	"slices"

	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// maxSlowEngines is the number of slow engines that daemons are told of, the slowest first.
const maxSlowEngines = 64

// paceSums holds the factors that daemons report of each engine, sorted.
type paceSums map[model.ServerID][]float64

// add adds a report if sign is 1, or removes it if sign is -1.
func (p paceSums) add(report []even.Pace, sign int) {
	for i, r := range report[:min(len(report), even.MaxReported)] {
		if i > 0 && r.Server <= report[i-1].Server || r.Factor < 1 || math.IsNaN(r.Factor) {
			// A daemon has one say on each engine.
			continue
		}
		factors := p[r.Server]
		index, found := slices.BinarySearch(factors, r.Factor)
		switch {
		case sign > 0:
			factors = slices.Insert(factors, index, r.Factor)
		case found:
			factors = slices.Delete(factors, index, index+1)
		}
		if p[r.Server] = factors; len(factors) == 0 {
			delete(p, r.Server)
		}
	}
}

// agreed returns the lower median of what daemons report of each engine that any of them calls slow,
// sorted by engine. Of two daemons that contradict each other, the one that calls the engine sound is right.
func (p paceSums) agreed() []even.Pace {
	var paces []even.Pace
	for id, factors := range p {
		if factors[len(factors)-1] <= 1 {
			continue
		}
		paces = append(paces, even.Pace{Server: id, Factor: factors[(len(factors)-1)/2]})
	}
	byServer := func(a, b even.Pace) int { return cmp.Compare(a.Server, b.Server) }
	if len(paces) > maxSlowEngines {
		slices.SortFunc(paces, func(a, b even.Pace) int { return cmp.Or(cmp.Compare(b.Factor, a.Factor), byServer(a, b)) })
		paces = paces[:maxSlowEngines]
	}
	slices.SortFunc(paces, byServer)
	return paces
}
