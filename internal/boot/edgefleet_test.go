package boot

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/platform"
	"bulrushpond.example/bulrushpond/platform/fakes"
)

// budgetDaemons returns the number of daemons that a daemon shares the retry budget with, itself included.
func (env *testEnvironment) budgetDaemons(daemon int) int {
	count := 0
	env.daemons[daemon].streams.View(func(c *core.Core) { count = c.BudgetDaemons() })
	return count
}

// TestEdgeFleetSizeIsStored guards against daemons that share the retry budget with too few others when all
// start again at one time: the number before is stored, and known when a daemon becomes ready.
func TestEdgeFleetSizeIsStored(t *testing.T) {
	env := newTestEnvironment(t, 3)
	env.waitUntil("the number is stored", func() bool { return env.platform.Store.ValueContains(fleetKey, "3") })

	p, err := fakes.New()
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	p.Store.Put(fleetKey, []byte("500"))
	restarted := &testEnvironment{t: t, platform: p}
	restarted.configure(fakes.Config{Keys: map[string][]string{"north": {"key-n"}}})
	daemon := restarted.start(nil)
	restarted.waitUntil("the daemon is ready", func() bool { return daemon.ready() == nil })
	// Requests are handled after what was read before the daemon became ready.
	restarted.stream(0, "/draft/x")
	assert.Equal(t, restarted.budgetDaemons(0), 500)
}

// TestEdgeUnreadableFleetSizeIsReplaced guards against a stored number that is none.
func TestEdgeUnreadableFleetSizeIsReplaced(t *testing.T) {
	p, err := fakes.New()
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	p.Store.Put(fleetKey, []byte("many"))
	env := &testEnvironment{t: t, platform: p}
	env.configure(fakes.Config{Keys: map[string][]string{"north": {"key-n"}}})
	env.start(nil)
	env.waitUntil("the number is stored", func() bool { return p.Store.ValueContains(fleetKey, "1") })
}

// TestFailedStoreOfValueIsLogged guards against writes that fail without a trace.
func TestFailedStoreOfValueIsLogged(t *testing.T) {
	p, err := fakes.New()
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	var log bytes.Buffer
	daemon := &EdgeDaemon{deps: Dependencies{Log: NewLog(&log, false)}, store: platform.NewStoreClient(p.Address())}
	daemon.storeValue(t.Context(), model.CAS{Key: fleetKey, Value: []byte("3")})
	assert.Equal(t, log.String(), "")
	p.Store.SetDown(true)
	daemon.storeValue(t.Context(), model.CAS{Key: fleetKey, Value: []byte("4")})
	assert.Assert(t, strings.Contains(log.String(), `"value_not_stored"`) && strings.Contains(log.String(), fleetKey), log.String())
}
