package route

import (
	"fmt"
	"testing"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// benchLayers is the number of layers of the model of the benchmarks.
const benchLayers = 80

// benchServers returns servers with 10 layers each, whose load by others leaves room.
func benchServers(now time.Time, engines int) *table.Servers {
	servers := table.NewServers()
	var loads []board.Load
	for i := range engines {
		id := fmt.Sprintf("e%05d", i)
		s := addEngine(servers, id, "a", 10*(i%8), 10*(i%8)+10, 10_000)
		s.Report.Slots = 100
		loads = append(loads, board.Load{Server: model.ServerID(id), Tokens: 7_000 + i%1000, Streams: 35})
	}
	servers.SetOthers(now.Add(board.StatusTTL), board.View{Loads: loads})
	return servers
}

// BenchmarkChoice measures one choice of a chain by cost, and with even load.
func BenchmarkChoice(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for _, engines := range []int{205, 1000, 12_000} {
		for _, p := range []struct {
			name string
			opts []ChainsOption
		}{{"cheapest", nil}, {"even", []ChainsOption{withEven()}}} {
			b.Run(fmt.Sprintf("engines=%d/%s", engines, p.name), func(b *testing.B) {
				servers := benchServers(now, engines)
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
