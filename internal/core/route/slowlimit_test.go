package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/internal/core/table"
)

// TestSlowServerBesideOneAtItsLimit: an interrupted request finds a sound server whose limit is used up, and a slow one
// that takes requests. It goes on at the slow one.
func TestSlowServerBesideOneAtItsLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	servers := table.NewServers()
	addEngine(servers, "sound", "a", 0, chainLayers, 1e6)
	addEngine(servers, "slow", "a", 0, chainLayers, 1e6)
	servers.SetOthers(now.Add(board.StatusTTL), board.View{})
	servers.Limits.Record(now, limit.Statement{Server: "sound", Limited: true, PerSecond: 1})
	for range 100 {
		if servers.Limits.HasRoom(now, "sound") {
			servers.Limits.Take(now, "sound")
		}
	}
	assert.Assert(t, !servers.Limits.HasRoom(now, "sound"))
	p := even.NewPaces()
	p.ApplyOthers(now.Add(board.StatusTTL), []even.Pace{{Server: "slow", Factor: 12}})
	c := NewChains("a", 1, WithPaces(p))
	r := newRequest()
	r.Recoveries = 1
	route, result := c.Pick(now, servers, Query{Request: r, Layers: chainLayers, Daemons: 2})
	assert.Equal(t, result, Found)
	assert.Equal(t, string(route.Hops[0].Server), "slow")
}
