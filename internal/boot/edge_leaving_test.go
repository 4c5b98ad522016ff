package boot

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/platform"
	"bulrushpond.example/bulrushpond/platform/fakes"
)

// serversOf returns the servers of the platform with a kind of accelerator, or the plain ones.
func (env *testEnvironment) serversOf(kind string) []*fakes.Server {
	var servers []*fakes.Server
	for _, s := range env.platform.Servers() {
		if s.Kind == kind {
			servers = append(servers, s)
		}
	}
	return servers
}

// TestEdgeServerSaysThatItLeaves checks that a server whose answers say that it leaves gets no
// more requests, from any daemon, although its entry says that it is ready, that the answers are
// passed on, and that what runs there ends.
func TestEdgeServerSaysThatItLeaves(t *testing.T) {
	env := newTestEnvironment(t, 2)
	// Only one server is left, so that it gets the next request.
	leaving, other := env.serversOf("")[0], env.serversOf("")[1]
	other.RemoveEntry()
	other.Crash()
	leaving.SayLeaving()
	env.waitUntil("an answer says that the server leaves", func() bool {
		return env.call(0, http.MethodGet, "/read/x", "key-n", "").header.Get("Server-Leaving") == "1"
	})
	_, err := env.platform.Start("b2", "a", "")
	assert.NilError(t, err)
	for i := range env.daemons {
		env.waitUntil("the new server is used", func() bool { return env.call(i, http.MethodGet, "/read/x", "key-n", "").code == http.StatusOK })
	}
	// The daemons exchange their state several times a second.
	time.Sleep(time.Second)
	before := leaving.Requests()
	for range 30 {
		for i := range env.daemons {
			assert.Equal(t, env.call(i, http.MethodGet, "/read/x", "key-n", "").code, http.StatusOK)
		}
	}
	assert.Equal(t, leaving.Requests(), before)

	var engine *fakes.Server
	for _, e := range env.serversOf("card") {
		if from, _ := e.Span(); from == 0 {
			engine = e
		}
	}
	engine.SayLeaving()
	env.waitUntil("a stream starts at the engine that leaves", func() bool {
		resp := env.stream(0, "/draft/x")
		checkEventSequence(t, resp, 20)
		return resp.header.Get("Server-Leaving") == "1"
	})
	time.Sleep(time.Second)
	before = engine.Requests()
	for range 5 {
		for i := range env.daemons {
			assert.Assert(t, env.stream(i, "/draft/x").complete)
		}
	}
	assert.Equal(t, engine.Requests(), before)
}

// TestEdgeLayersAfterServerLeft checks that changes of engines' layers are applied which the hub
// tells as of a time before an answer said that another engine leaves.
func TestEdgeLayersAfterServerLeft(t *testing.T) {
	env := newTestEnvironment(t, 1)
	entries := map[string]mirror.Item{}
	for _, item := range env.daemons[0].feed.ChangesSince(model.Position{}).Items {
		entries[item.Key] = item
	}
	daemon, err := NewEdgeDaemon(Dependencies{Log: NewLog(io.Discard, false), Out: io.Discard}, platform.VMSettings{
		VMName: "d", Zone: "a", IP: "127.0.0.1", CallersAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeersAddress: "127.0.0.1:0",
		StoreAddress: env.platform.Address(), Cores: 1,
	}, 0)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- daemon.streams.Serve(ctx) }()
	defer func() { cancel(); <-ended }()
	withoutLayers := entries[platform.ServerKeyPrefix+"e0"]
	withoutLayers.Value = []byte(strings.Replace(string(withoutLayers.Value), `"layers":{`, `"unused":{`, 1))
	asOf := time.Now().Add(-time.Second)
	daemon.applyStoreChanges(asOf, mirror.Changes{Items: []mirror.Item{entries[platform.KeyRouting], withoutLayers, entries[platform.ServerKeyPrefix+"e1"]}})
	for _, m := range daemon.roster.Members() {
		if strings.HasPrefix(m.ID, "e1") {
			daemon.ServerLeaves(m.ID)
		}
	}
	daemon.applyStoreChanges(asOf.Add(time.Millisecond), mirror.Changes{Items: []mirror.Item{entries[platform.ServerKeyPrefix+"e0"]}})
	member, _ := daemon.roster.Get(platform.ServerKeyPrefix + "e0")
	env.waitUntil("the engine's layers are known", func() bool {
		known := false
		daemon.streams.View(func(c *core.Core) {
			s, ok := c.Server(model.ServerID(member.ID))
			known = ok && s.Report.Span == member.Span && s.Report.Span.To > 0
		})
		return known
	})
}

// TestEdgeServerAsksForPause checks that servers that ask for a pause get no request until it ends,
// and that callers get a true Retry-After while all do.
func TestEdgeServerAsksForPause(t *testing.T) {
	env := newTestEnvironment(t, 1)
	servers := env.serversOf("")
	servers[0].Pause(time.Minute)
	servers[1].Pause(1500 * time.Millisecond)
	paused := time.Now()
	read := func() response { return env.call(0, http.MethodGet, "/read/x", "key-n", "") }
	assert.Equal(t, read().code, http.StatusServiceUnavailable)
	before := []int{servers[0].Requests(), servers[1].Requests()}
	assert.DeepEqual(t, before, []int{1, 1})
	for time.Since(paused) < time.Second {
		resp := read()
		assert.Equal(t, resp.code, http.StatusServiceUnavailable)
		retryAfter, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, retryAfter > 0 && retryAfter <= 1.5, "%v", retryAfter)
	}
	assert.DeepEqual(t, []int{servers[0].Requests(), servers[1].Requests()}, before)
	servers[1].Pause(0)
	env.waitUntil("the shorter pause ends", func() bool { return read().code == http.StatusOK })
	assert.Assert(t, time.Since(paused) >= 1500*time.Millisecond)
	assert.Equal(t, servers[0].Requests(), before[0])
}
