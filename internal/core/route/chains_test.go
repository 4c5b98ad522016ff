package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

const chainLayers = 12

// addEngine adds a listed engine that holds a span of layers and has a cache of a number
// of tokens.
func addEngine(servers *table.Servers, id, zone string, from, to int, cache float64) *table.Server {
	s := servers.GetOrAdd(model.ServerID(id))
	s.Listed, s.Reported, s.Zone = true, true, zone
	s.Report = model.Report{
		Server: s.ID, Model: "m", Span: model.Span{From: from, To: to}, Slots: 8, CacheTokens: cache,
		StepTime: time.Duration(to-from) * 100 * time.Microsecond,
	}
	servers.Version++
	return s
}

// newRequest returns a request that takes 200 tokens of cache.
func newRequest() *table.Request {
	return &table.Request{Arrival: msgs.Arrival{ID: 1, Model: "m", PromptTokens: 100, MaxTokens: 100}}
}

// TestChainsPick checks that Chains finds a route if and only if some chain has room, and
// that the route runs every layer once and in order, on servers that hold these layers,
// without using a server twice or a server that failed the request.
func TestChainsPick(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	proof.Check(t, func(t *rapid.T) {
		servers := table.NewServers()
		for i := range rapid.IntRange(1, 12).Draw(t, "servers") {
			from := rapid.IntRange(0, chainLayers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, chainLayers).Draw(t, "to")
			cache := rapid.SampledFrom([]float64{10, 1000}).Draw(t, "cache")
			s := addEngine(servers, fmt.Sprintf("s%d", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), from, to, cache)
			s.ListLeaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
		}
		r := newRequest()
		r.Failed = []model.ServerID{"s0"}
		var heads []model.ServerID
		if rapid.Bool().Draw(t, "limited") {
			heads = []model.ServerID{"s0", "s1"}
		}
		route, result := NewChains("a", 1).Pick(now, servers, Query{Request: r, Layers: chainLayers, Daemons: 1, FirstServers: heads})
		hasRoom := func(s *table.Server) bool { return s.Report.CacheTokens >= 1000 }
		switch {
		case chainExists(now, servers, heads, hasRoom):
			assert.Equal(t, result, Found)
		case chainExists(now, servers, heads, func(*table.Server) bool { return true }):
			assert.Equal(t, result, Busy)
		default:
			assert.Equal(t, result, NoChain)
		}
		if result != Found {
			return
		}
		assert.Assert(t, route.Covers(chainLayers))
		used := map[model.ServerID]bool{}
		for i, h := range route.Hops {
			s := servers.Get(h.Server)
			if used[h.Server] || !s.Usable(now) || (h.Server == "s0" && (i > 0 || len(heads) == 0)) || s.Report.Span.From > h.Span.From || s.Report.Span.To < h.Span.To {
				t.Fatalf("hop %v of route %v is not allowed", h, route)
			}
			if i == 0 && len(heads) > 0 && !slices.Contains(heads, h.Server) {
				t.Fatalf("the route starts at server %s, which is not one of the heads", h.Server)
			}
			used[h.Server] = true
		}
	})
}

// chainExists is the test oracle. It marks the layers that chains of usable servers with
// room reach, and reports whether the last layer is among them.
func chainExists(now time.Time, servers *table.Servers, heads []model.ServerID, hasRoom func(*table.Server) bool) bool {
	reached := map[int]bool{0: true}
	for layer := range chainLayers {
		for _, id := range servers.IDs() {
			s := servers.Get(id)
			span := s.Report.Span
			if !reached[layer] || span.From > layer || span.To <= layer || !s.Usable(now) || !hasRoom(s) {
				continue
			}
			if layer == 0 && len(heads) > 0 && !slices.Contains(heads, id) {
				continue
			}
			if (layer > 0 || len(heads) == 0) && id == "s0" {
				continue
			}
			reached[span.To] = true
		}
	}
	return reached[chainLayers]
}

// TestOwnZonePreferred checks that of equal chains the one in the daemon's own zone is
// used, and that a route doesn't change zones while a chain within one zone exists.
func TestOwnZonePreferred(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	servers := table.NewServers()
	for _, zone := range []string{"a", "b"} {
		addEngine(servers, zone+"1", zone, 0, 6, 1e6)
		addEngine(servers, zone+"2", zone, 6, 12, 1e6)
	}
	c := NewChains("b", 1)
	for range 50 {
		route, result := c.Pick(now, servers, Query{Request: newRequest(), Layers: chainLayers, Daemons: 1})
		assert.Equal(t, result, Found)
		assert.Equal(t, route.Hops[0].Server, model.ServerID("b1"))
		assert.Equal(t, route.Hops[1].Server, model.ServerID("b2"))
	}
}

// TestLoadOfOtherDaemons guards against several daemons overloading the same engine. The
// load of the other daemons counts while it is known; after that, each of them is assumed
// to have as much load as this daemon.
func TestLoadOfOtherDaemons(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	servers := table.NewServers()
	engine := addEngine(servers, "e", "a", 0, chainLayers, 10_000)
	c := NewChains("a", 1)
	query := Query{Request: newRequest(), Layers: chainLayers, Daemons: 4}
	servers.SetOthers(now.Add(time.Second), board.View{Loads: []board.Load{{Server: "e", Tokens: 9_500, Streams: 3}}})
	_, result := c.Pick(now, servers, query)
	assert.Equal(t, result, Busy)
	servers.SetOthers(now.Add(time.Second), board.View{})
	_, result = c.Pick(now, servers, query)
	assert.Equal(t, result, Found)
	engine.Tokens = 3_000
	_, result = c.Pick(now, servers, query)
	assert.Equal(t, result, Found)
	_, result = c.Pick(now.Add(2*time.Second), servers, query)
	assert.Equal(t, result, Busy)
}

// TestSimultaneousRetries guards against a thundering herd after a crash in a large fleet:
// all daemons retry their streams at the same moment, before any of them knows the others'
// new load. A daemon must estimate that load from its own recent retries.
func TestSimultaneousRetries(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	servers := table.NewServers()
	engine := addEngine(servers, "e", "a", 0, chainLayers, 30_000)
	engine.Report.Slots = 1000
	c := NewChains("a", 1)
	fillEngine := func(daemons int) int {
		n := 0
		for ; n < 1000; n++ {
			r := newRequest()
			r.ID, r.Recoveries = model.RequestID(n+1), 1
			route, result := c.Pick(now, servers, Query{Request: r, Layers: chainLayers, Daemons: daemons})
			if result != Found {
				break
			}
			servers.Reserve(r, route)
		}
		engine.Users, engine.Tokens = map[model.RequestID]struct{}{}, 0
		return n
	}
	receiveLoads := func() { servers.SetOthers(now.Add(time.Second), board.View{}) }
	receiveLoads()
	assert.Equal(t, fillEngine(1), 135)
	receiveLoads()
	receiveLoads()
	assert.Assert(t, fillEngine(81) <= 10)
	receiveLoads()
	assert.Equal(t, fillEngine(81), 0)
	receiveLoads()
	assert.Assert(t, fillEngine(81) > 0)
}

// TestPipeCapacityIsShared guards against overloading the pipe between two zones after a
// zone of a large fleet lost layers: all chains that cross zones share the pipe, and all of
// them would stall if its rate were exceeded. Requests must wait instead, but not those
// that a chain within a zone can serve.
func TestPipeCapacityIsShared(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	setCrossRate := func(servers *table.Servers, ids ...model.ServerID) {
		for _, id := range ids {
			servers.Get(id).Report.CrossZoneTokenRate = 1000
		}
	}
	servers := table.NewServers()
	addEngine(servers, "a1", "a", 0, 6, 1e6)
	addEngine(servers, "b2", "b", 6, 12, 1e6)
	setCrossRate(servers, "a1", "b2")
	c := NewChains("a", 1)
	query := Query{Request: newRequest(), Layers: chainLayers, Daemons: 4}
	pick := func(at time.Time) Result {
		route, result := c.Pick(at, servers, query)
		if result == Found {
			query.Request.Reserved = query.Request.Tokens(usualAnswerTokens)
			servers.RecordTransfer(at, query.Request, route)
		}
		return result
	}
	receivePipeLoad := func(tokens int) {
		servers.SetOthers(now.Add(time.Second), board.View{Pipes: []board.PipeLoad{{Pipe: board.PipeBetween("a", "b"), Tokens: tokens}}})
	}
	// 700 tokens a second may be sent over the pipe, and the other daemon sent 300. The
	// remaining 400 are shared by two daemons, for the two rounds of exchange until both
	// know each other's load.
	query.Daemons = 2
	found := 0
	for range 100 {
		receivePipeLoad(300)
		for pick(now) == Found {
			found++
		}
		servers.Pipes = table.Pipes{}
	}
	assert.Assert(t, found >= 30 && found <= 70, "%d of 100 rounds", found)
	receivePipeLoad(701)
	assert.Equal(t, pick(now), Busy)
	query.Daemons = 4
	// The load of the other daemons is not known: each of the four has 175 tokens.
	later := now.Add(time.Second)
	assert.Equal(t, pick(later), Busy)
	query.Daemons = 3
	assert.Equal(t, pick(later), Found)
	assert.Equal(t, pick(later), Busy)
	addEngine(servers, "b1", "b", 0, 6, 1e6)
	assert.Equal(t, pick(later), Found)
}

// TestFullEngineIsBusy guards against taking a full engine for a lost one: if an engine
// declines a request for lack of memory, the request must wait for room.
func TestFullEngineIsBusy(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	servers := table.NewServers()
	addEngine(servers, "e", "a", 0, chainLayers, 1e6).FullUntil = now.Add(100 * time.Millisecond)
	c := NewChains("a", 1)
	query := Query{Request: newRequest(), Layers: chainLayers, Daemons: 1}
	_, result := c.Pick(now, servers, query)
	assert.Equal(t, result, Busy)
	_, result = c.Pick(now.Add(100*time.Millisecond), servers, query)
	assert.Equal(t, result, Found)
}

// TestReportOf checks the cache room and step times that are derived from an engine's kind
// and the layers that it holds.
func TestReportOf(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := &setts.EngineProfile{
		Layers: 80, LayerBytes: 1750e6, TokenBytes: 590e3, StepTime: time.Millisecond, SequenceTime: 10 * time.Microsecond, PrefillRate: 164e3,
		Kinds: map[string]setts.EngineKind{"v": {Bytes: 14.4e9, StepTimeFactor: 5, PrefillTimeFactor: 8}},
	}
	r := ReportOf(now, model.Member{ID: "e", Service: "m", Kind: "v", Span: model.Span{From: 10, To: 18}, Slots: 192}, p)
	assert.Assert(t, r.CacheTokens > 6_700 && r.CacheTokens < 6_900, "room %f", r.CacheTokens)
	assert.Equal(t, r.StepTime, 500*time.Microsecond)
	assert.Equal(t, r.SequenceTime, 5*time.Microsecond)
	empty := ReportOf(now, model.Member{ID: "e", Service: "m", Kind: "v"}, p)
	assert.Equal(t, empty.CacheTokens, 0.0)
	plain := ReportOf(now, model.Member{ID: "e", Service: "m"}, &setts.EngineProfile{})
	assert.Equal(t, plain.Span, model.Span{From: 0, To: 1})
}

// TestStalledFirstServerIsNotChosenAgain guards against a stalled stream that is opened again at the first
// server which it waits for, because its attempts are used up there.
func TestStalledFirstServerIsNotChosenAgain(t *testing.T) {
	servers := table.NewServers()
	addEngine(servers, "s0", "a", 0, chainLayers, 1000)
	r := newRequest()
	query := Query{Request: r, Layers: chainLayers, Daemons: 1, FirstServers: []model.ServerID{"s0"}}
	_, result := NewChains("a", 1).Pick(time.Unix(1_000_000, 0), servers, query)
	assert.Equal(t, result, Found)
	r.StalledOn = "s0"
	_, result = NewChains("a", 1).Pick(time.Unix(1_000_000, 0), servers, query)
	assert.Equal(t, result, NoChain)
}
