package boot

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// TestEdgeStoreRestore checks that daemons keep the newest configuration when the key-value
// service comes back from an older copy, twice in a row, that they follow it again afterwards
// although revisions are given out again, and that engines accept the orders of the next owner
// of the placement.
func TestEdgeStoreRestore(t *testing.T) {
	env := newTestEnvironment(t, 2)
	time.Sleep(copyAge)
	env.configure(fakes.Config{Keys: map[string][]string{"north": {"key-n"}}, Public: true})
	inForce := func(i int) bool { return env.call(i, http.MethodGet, "/open/x", "", "").code == http.StatusOK }
	for i := range env.daemons {
		env.waitUntil("the new route is in force", func() bool { return inForce(i) })
	}
	for range 2 {
		restored := make(chan struct{})
		go func() {
			defer close(restored)
			env.platform.Restore(copyAge, time.Second)
		}()
		for waiting := true; waiting; {
			select {
			case <-restored:
				waiting = false
			case <-time.After(20 * time.Millisecond):
			}
			for i := range env.daemons {
				assert.Assert(t, inForce(i), "daemon %d went back to the older configuration", i)
				assert.Assert(t, env.stream(i, "/draft/x").complete)
			}
		}
	}
	env.configure(fakes.Config{Keys: map[string][]string{"north": {"key-n"}}})
	for i := range env.daemons {
		env.waitUntil("the route is removed", func() bool { return !inForce(i) })
	}
	for _, e := range env.platform.Servers() {
		if e.Kind != "" {
			e.Crash()
			e.RemoveEntry()
		}
	}
	for i := range 4 {
		_, err := env.platform.Start(fmt.Sprintf("n%d", i), "a", "card")
		assert.NilError(t, err)
	}
	for i := range env.daemons {
		env.waitUntil("a stream completes on engines that started after the restore", func() bool { return env.stream(i, "/draft/x").complete })
	}
}

// copyAge is the age of the copy from which the key-value service is restored.
const copyAge = 800 * time.Millisecond

// TestEdgeStartAfterStoreRestore checks that a daemon that starts just after a restore serves,
// and takes over the newest configuration as soon as the operators have written it again.
func TestEdgeStartAfterStoreRestore(t *testing.T) {
	env := newTestEnvironment(t, 1)
	time.Sleep(copyAge)
	env.configure(fakes.Config{Keys: map[string][]string{"north": {"key-n"}}, Public: true})
	env.platform.Store.Restore(copyAge)
	env.start(nil)
	env.waitUntil("the new daemon completes a stream", func() bool { return env.stream(1, "/draft/x").complete })
	env.platform.Restore(0, 0)
	env.waitUntil("the new route is in force", func() bool { return env.call(1, http.MethodGet, "/open/x", "", "").code == http.StatusOK })
}
