package boot

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/platform/fakes"
)

const (
	// crashingPart is the prompt part on which engines crash.
	crashingPart = "bad0bad0"
	// crashesBeforeBound is the number of crashes after which, and learnBound the time from the
	// last of them after which, at most maxLateArrivals requests with the part may reach engines.
	crashesBeforeBound = 5
	learnBound         = 3 * time.Second
	maxLateArrivals    = 3
	// crashingInterval and soundInterval are the intervals between two requests of either kind.
	crashingInterval = 200 * time.Millisecond
	soundInterval    = 50 * time.Millisecond
)

// promptLoad sends requests of which no two are alike to all daemons in turn. Some have the
// crashing part; all share the part of their caller and have one of a few other parts.
type promptLoad struct {
	env *testEnvironment
	// stop ends the load.
	stop chan struct{}
	wg   sync.WaitGroup
	// measuring is set while sound requests are counted.
	measuring                atomic.Bool
	soundSent, soundComplete atomic.Int64
}

// parts returns the prompt parts of the n-th request, with the crashing part at a varying place.
func (l *promptLoad) parts(n int, crashing bool) string {
	caller, subject, own := "ca11e4:800", fmt.Sprintf("5ub%d:400", n%5), fmt.Sprintf("%x%x:50", time.Now().UnixNano(), n)
	switch {
	case !crashing:
		return caller + "," + subject + "," + own
	case n%2 == 0:
		return caller + "," + crashingPart + ":100," + subject + "," + own
	default:
		return caller + "," + subject + "," + crashingPart + ":100," + own
	}
}

// run sends requests at an interval until the load is stopped.
func (l *promptLoad) run(name string, interval time.Duration, crashing bool) {
	l.wg.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			measured := l.measuring.Load() && !crashing
			if measured {
				l.soundSent.Add(1)
			}
			l.wg.Go(func() {
				resp := l.env.send(n%len(l.env.daemons), fakes.Call{
					ID: fmt.Sprintf("%s%d", name, n), Method: http.MethodPost, Path: "/draft/x", Body: "draft a roster", Key: "key-n",
					Timeout: 4 * time.Second, Parts: l.parts(n, crashing),
				})
				if measured && resp.complete {
					l.soundComplete.Add(1)
				}
			})
		}
	})
}

// TestEdgePromptPartCrashesEngines guards against requests with one prompt part that crash engine
// after engine: they came at all daemons, were sent again, and sound requests were not served.
func TestEdgePromptPartCrashesEngines(t *testing.T) {
	env := newTestEnvironment(t, 3)
	for i := range env.daemons {
		env.waitUntil("each daemon completes a stream", func() bool { return env.stream(i, "/draft/x").complete })
	}
	env.platform.CrashOn(fakes.CrashingPart{Part: crashingPart, RestartDelay: time.Second})
	load := &promptLoad{env: env, stop: make(chan struct{})}
	end := sync.OnceFunc(func() {
		close(load.stop)
		load.wg.Wait()
	})
	defer end()
	load.run("sound", soundInterval, false)
	time.Sleep(time.Second)
	load.run("crashing", crashingInterval, true)
	began := time.Now()
	// A router that finds the part sooner lets fewer engines crash.
	fifthCrash := func() time.Time {
		_, crashes := env.platform.CrashingArrivals()
		if len(crashes) < crashesBeforeBound {
			return time.Time{}
		}
		return crashes[crashesBeforeBound-1]
	}
	for fifthCrash().IsZero() && time.Since(began) < 2*learnBound {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * learnBound)
	load.measuring.Store(true)
	time.Sleep(learnBound)
	end()
	arrivals, crashes := env.platform.CrashingArrivals()
	late := 0
	for _, at := range arrivals {
		if fifth := fifthCrash(); !fifth.IsZero() && at.After(fifth.Add(learnBound)) {
			late++
		}
	}
	t.Logf("%d arrivals, %d late, %d crashes, %d of %d sound requests complete", len(arrivals), late, len(crashes), load.soundComplete.Load(), load.soundSent.Load())
	assert.Assert(t, len(crashes) >= 2, "%d crashes", len(crashes))
	assert.Assert(t, late <= maxLateArrivals, "%d requests with the part reached engines later than %s after the fifth crash", late, learnBound)
	assert.Assert(t, 2*load.soundComplete.Load() >= load.soundSent.Load(), "%d of %d sound requests", load.soundComplete.Load(), load.soundSent.Load())
}

// TestEdgeLossOfPowerBlocksNoPart guards against a block of common prompt parts because many engines
// end under requests with them, also at a daemon that has just started. All engines lose their power
// several times under load.
func TestEdgeLossOfPowerBlocksNoPart(t *testing.T) {
	env := newTestEnvironment(t, 2)
	env.start([]string{env.daemons[0].PeersAddress()})
	env.waitUntil("the new daemon completes a stream", func() bool { return env.stream(2, "/draft/x").complete })
	load := &promptLoad{env: env, stop: make(chan struct{})}
	end := sync.OnceFunc(func() {
		close(load.stop)
		load.wg.Wait()
	})
	defer end()
	load.run("sound", soundInterval, false)
	const losses, lossInterval = 5, 2 * time.Second
	for range losses {
		time.Sleep(lossInterval)
		env.platform.CrashEngines(lossInterval / 4)
	}
	time.Sleep(2 * lossInterval)
	load.measuring.Store(true)
	time.Sleep(lossInterval)
	end()
	var metrics core.CrashMetrics
	for _, d := range env.daemons {
		d.streams.View(func(c *core.Core) {
			m := c.CrashMetrics()
			metrics.EngineCrashes, metrics.PartsBlocked = metrics.EngineCrashes+m.EngineCrashes, metrics.PartsBlocked+m.PartsBlocked
		})
	}
	t.Logf("%+v, %d of %d requests complete", metrics, load.soundComplete.Load(), load.soundSent.Load())
	assert.Assert(t, metrics.EngineCrashes > 0)
	assert.Equal(t, metrics.PartsBlocked, uint64(0))
	assert.Assert(t, load.soundComplete.Load() > 0)
}

// TestEdgeBlockedPartOutlivesRestartOfAllDaemons guards against a loss of power that ends all daemons
// at one time, after which they would let engines crash again to learn a blocked part.
func TestEdgeBlockedPartOutlivesRestartOfAllDaemons(t *testing.T) {
	env := newTestEnvironment(t, 2)
	env.platform.CrashOn(fakes.CrashingPart{Part: crashingPart, RestartDelay: time.Second})
	load := &promptLoad{env: env, stop: make(chan struct{})}
	end := sync.OnceFunc(func() {
		close(load.stop)
		load.wg.Wait()
	})
	defer end()
	load.run("sound", soundInterval, false)
	time.Sleep(time.Second)
	load.run("crashing", crashingInterval, true)
	blockedAt := func(daemon int) bool {
		blocked := false
		env.daemons[daemon].streams.View(func(c *core.Core) { blocked = c.CrashMetrics().PartsBlockedNow == 1 })
		return blocked
	}
	for i := range env.daemons {
		env.waitUntil("the part is blocked", func() bool { return blockedAt(i) })
	}
	// The block is stored within a second or two.
	time.Sleep(3 * time.Second)
	end()
	for _, stop := range env.stops {
		assert.NilError(t, stop())
	}
	before, _ := env.platform.CrashingArrivals()
	env.daemons = nil
	env.start(nil)
	env.start(nil)
	for i := range env.daemons {
		env.waitUntil("a new daemon completes a stream", func() bool { return env.stream(i, "/draft/x").complete })
		resp := env.send(i, fakes.Call{ID: fmt.Sprintf("again%d", i), Method: http.MethodPost, Path: "/draft/x", Key: "key-n", Timeout: 4 * time.Second, Parts: load.parts(i, true)})
		assert.Equal(t, resp.code, http.StatusServiceUnavailable)
	}
	after, _ := env.platform.CrashingArrivals()
	assert.Equal(t, len(after), len(before))
}
