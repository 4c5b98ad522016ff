package route

import (
	"math"
	"slices"

	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// partialChain is the cheapest chain found so far that ends at a layer, in a zone. It is
// linked to the partial chain that it extends.
type partialChain struct {
	// cost is the estimated time between two tokens, in nanoseconds, with all penalties.
	cost float64
	// server is the server of the last stage.
	server *table.Server
	// fromLayer is the layer at which the last stage starts, and fromZone the index of
	// the zone of the stage before it; -1 for none.
	fromLayer int
	fromZone  int
	// stages is the number of stages.
	stages int
}

// isReached reports whether a partial chain ends at a layer.
func isReached(chains []partialChain) bool {
	return slices.ContainsFunc(chains, func(p partialChain) bool { return !math.IsInf(p.cost, 1) })
}

// backtrack returns the route of the cheapest chain that ends at the last layer, by
// following the partial chains back to the first one.
func backtrack(best [][]partialChain, layers int) (model.Route, bool) {
	end := -1
	for z := range best[layers] {
		if !math.IsInf(best[layers][z].cost, 1) && (end < 0 || best[layers][z].cost < best[layers][end].cost) {
			end = z
		}
	}
	if end < 0 {
		return model.Route{}, false
	}
	var route model.Route
	for layer, zone := layers, end; layer > 0; {
		last := best[layer][zone]
		route.Hops = append(route.Hops, model.Hop{
			Server: last.server.ID, Address: last.server.Address, Span: model.Span{From: last.fromLayer, To: layer},
		})
		layer, zone = last.fromLayer, last.fromZone
	}
	slices.Reverse(route.Hops)
	return route, true
}
