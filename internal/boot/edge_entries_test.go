package boot

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// TestEdgeOutlivesForeignEntries guards against entries of another writer that stop the placement for good: they name
// layers that the model does not have, or lack fields. Engines that come later must still get the layers that a crash
// left missing, and planned stops must end.
func TestEdgeOutlivesForeignEntries(t *testing.T) {
	env := newTestEnvironment(t, 2)
	const all = `"zone":"a","version":"v1","slots":8,"coldRemainingMs":0,"sequence":1,`
	for i, s := range []struct {
		fields   string
		from, to int
	}{
		{"", fakes.Layers, fakes.Layers + 4},
		{all, fakes.Layers, fakes.Layers + 4},
		{all, 0, fakes.Layers + 1},
		{all, 2, math.MaxInt},
	} {
		env.platform.Store.Put(fmt.Sprintf("servers/other%d", i), []byte(fmt.Sprintf(
			`{"service":%q,"address":"127.0.0.1:9","state":"ready",%s"routeType":"card","layers":{"source":%d,"target":%d}}`,
			fakes.EngineService, s.fields, s.from, s.to)))
	}
	env.waitUntil("a stream completes beside the entries", func() bool { return env.stream(0, "/draft/x").complete })
	// No engine holds all layers afterwards.
	for _, e := range env.platform.Servers() {
		if e.Kind != "" {
			e.Crash()
			e.RemoveEntry()
		}
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 4 {
		_, err := env.platform.Start(fmt.Sprintf("n%d", i), "a", "card")
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
	}
	for i := range env.daemons {
		env.waitUntil("streams complete on the new engines", func() bool { return env.stream(i, "/draft/x").complete })
	}
	for _, stop := range env.stops {
		began := time.Now()
		assert.NilError(t, stop())
		assert.Assert(t, time.Since(began) < 4*time.Second)
	}
}
