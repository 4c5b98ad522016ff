package route

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestMaximumFlow checks that the flow equals the capacity of the minimum cut, which is
// found by trying all cuts.
func TestMaximumFlow(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		capacity := make([][]float64, n)
		net := NewNetwork(n)
		for i := range n {
			capacity[i] = make([]float64, n)
			for j := range n {
				if i != j && rapid.Bool().Draw(t, "edge") {
					capacity[i][j] = float64(rapid.IntRange(1, 9).Draw(t, "capacity"))
					net.Add(i, j, capacity[i][j])
				}
			}
		}
		minCut := math.Inf(1)
		for cut := range 1 << n {
			if cut&1 == 0 || cut>>(n-1)&1 == 1 {
				continue
			}
			cutCapacity := 0.0
			for i := range n {
				for j := range n {
					if cut>>i&1 == 1 && cut>>j&1 == 0 {
						cutCapacity += capacity[i][j]
					}
				}
			}
			minCut = math.Min(minCut, cutCapacity)
		}
		if got := net.Solve(0, n-1); math.Abs(got-minCut) > 1e-6 {
			t.Fatalf("flow is %f, but the minimum cut is %f", got, minCut)
		}
	})
}

// TestPickFindsRoom checks that Flow finds a route if and only if some chain has room, and
// that the route covers all layers with servers that have room and did not fail the
// request.
func TestPickFindsRoom(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const layers = 6
	proof.Check(t, func(t *rapid.T) {
		servers := table.NewServers()
		for i := range rapid.IntRange(1, 10).Draw(t, "servers") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, layers).Draw(t, "to")
			s := servers.GetOrAdd(model.ServerID(fmt.Sprintf("s%d", i)))
			s.Listed, s.Reported = true, true
			s.Report = model.Report{Model: "m", Span: model.Span{From: from, To: to}, Slots: 1, TokensPerSecond: 10}
			if rapid.IntRange(0, 3).Draw(t, "full") == 0 {
				s.Users[model.RequestID(1)] = struct{}{}
			}
		}
		failed := []model.ServerID{"s0"}
		f := NewFlow(uint64(rapid.IntRange(0, 9).Draw(t, "seed")))
		r := &table.Request{Arrival: msgs.Arrival{Model: "m"}, Failed: failed}
		route, result := f.Pick(now, servers, Query{Request: r, Layers: layers, Daemons: 1})
		if (result == Found) != chainWithRoomExists(servers, layers, failed) {
			t.Fatalf("result %s, but a chain with room exists: %t", result, chainWithRoomExists(servers, layers, failed))
		}
		if result != Found {
			return
		}
		if !route.Covers(layers) || route.Uses("s0") {
			t.Fatalf("route %v does not cover all layers or uses the failed server", route)
		}
		for _, h := range route.Hops {
			if !HasCredit(servers.Get(h.Server), 1) {
				t.Fatalf("server %s on the route has no room", h.Server)
			}
		}
	})
}

// chainWithRoomExists is the test oracle. It marks the layers that chains of servers with
// room reach, without the failed server, and reports whether the last layer is among them.
func chainWithRoomExists(servers *table.Servers, layers int, failed []model.ServerID) bool {
	reached := map[int]bool{0: true}
	for layer := range layers {
		for _, id := range servers.IDs() {
			s := servers.Get(id)
			if reached[layer] && s.Report.Span.From == layer && HasCredit(s, 1) && id != failed[0] {
				reached[s.Report.Span.To] = true
			}
		}
	}
	return reached[layers]
}
