package route

import (
	"fmt"
	"testing"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/even"
)

// BenchmarkChoiceByPace measures one choice of a chain by cost, and with paces that are known of all engines, one
// of which is slow.
func BenchmarkChoiceByPace(b *testing.B) {
	const gap, tokens = 10 * time.Millisecond, 40
	now := time.Unix(1_000_000, 0)
	for _, engines := range []int{205, 1000, 12_000} {
		servers := benchServers(now, engines)
		paces := even.NewPaces()
		for range tokens {
			for _, id := range servers.IDs() {
				paces.ObserveGap(now, "m", []even.Stage{{Server: id, Expected: gap}}, gap)
			}
		}
		paces.ApplyOthers(now.Add(board.StatusTTL), []even.Pace{{Server: "e00001", Factor: 12}})
		for _, p := range []struct {
			name string
			opts []ChainsOption
		}{{"cheapest", nil}, {"paced", []ChainsOption{WithPaces(paces)}}} {
			b.Run(fmt.Sprintf("engines=%d/%s", engines, p.name), func(b *testing.B) {
				c := NewChains("a", 1, p.opts...)
				b.ReportAllocs()
				for b.Loop() {
					if _, result := c.Pick(now, servers, Query{Request: newRequest(), Layers: benchLayers, Daemons: 72}); result != Found {
						b.Fatal(result)
					}
				}
			})
		}
	}
}
