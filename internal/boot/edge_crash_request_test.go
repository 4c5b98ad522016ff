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
	// requestCrashesBeforeBound is the number of servers that a request may crash after which, and learnBound the
	// time from the last of them after which, it may reach servers at most maxLateArrivals times.
	requestCrashesBeforeBound = 3
	// repeatInterval is the interval at which the crashing request comes again.
	repeatInterval = 400 * time.Millisecond
	// repeatRestartDelay is the time after which a crashed server is back.
	repeatRestartDelay = time.Second
)

// lateArrivals returns how many crashing requests reached servers later than learnBound after the third crash.
func lateArrivals(p *fakes.Platform) int {
	arrivals, crashes := p.CrashingArrivals()
	if len(crashes) < requestCrashesBeforeBound {
		return 0
	}
	late := 0
	for _, at := range arrivals {
		if at.After(crashes[requestCrashesBeforeBound-1].Add(learnBound)) {
			late++
		}
	}
	return late
}

// TestEdgeRequestCrashesServers guards against one request that crashes server after server: it came again at all
// daemons, with the same path, caller and body, and was sent on each time. Sound requests of the same caller and of
// the same path are served.
func TestEdgeRequestCrashesServers(t *testing.T) {
	type scenario struct {
		name, method, path, body string
		// soundPath and soundBody are those of sound requests; the path may end in a number.
		soundPath, soundBody string
	}
	for _, tc := range []scenario{
		{"lookup", http.MethodGet, "/read/bad", "", "/read/sound%d", ""},
		{"booking", http.MethodPost, "/book/bad", "room 9", "/book/bad", "room %d"},
		{"stream", http.MethodPost, "/draft/bad", "draft 9", "/draft/bad", "draft a roster %d"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnvironment(t, 3)
			env.configure(fakes.Config{Keys: map[string][]string{"north": {"key-n"}, "south": {"key-s"}}})
			_, err := env.platform.Start("b2", "a", "")
			assert.NilError(t, err)
			send := func(daemon int, id, path, key, body string) response {
				return env.send(daemon, fakes.Call{ID: id, Method: tc.method, Path: path, Body: body, Key: key, Timeout: 4 * time.Second})
			}
			for i := range env.daemons {
				env.waitUntil("each daemon serves both teams", func() bool {
					return send(i, "w", tc.path, "key-n", "warm").complete && send(i, "w", tc.path, "key-s", "warm").complete
				})
			}
			env.platform.CrashOnRequest(fakes.CrashingRequest{Path: tc.path, Team: "north", Body: tc.body, RestartDelay: repeatRestartDelay})
			var wg sync.WaitGroup
			var sound, complete atomic.Int64
			began := time.Now()
			for n := 0; time.Since(began) < 5*learnBound; n++ {
				time.Sleep(soundInterval)
				daemon := n % len(env.daemons)
				if n%int(repeatInterval/soundInterval) == 0 {
					wg.Go(func() { send(daemon, fmt.Sprintf("bad%d", n), tc.path, "key-n", tc.body) })
				}
				measured := time.Since(began) > 4*learnBound
				wg.Go(func() {
					key, path, body := "key-n", tc.soundPath, tc.soundBody
					if body == "" {
						path = fmt.Sprintf(path, n)
					} else {
						body = fmt.Sprintf(body, n%9)
					}
					if n%2 == 0 {
						// The same request of another caller.
						key, path, body = "key-s", tc.path, tc.body
					}
					resp := send(daemon, fmt.Sprintf("sound%d", n), path, key, body)
					if measured {
						sound.Add(1)
						if resp.complete {
							complete.Add(1)
						}
					}
				})
			}
			wg.Wait()
			_, crashes := env.platform.CrashingArrivals()
			late := lateArrivals(env.platform)
			t.Logf("%d crashes, %d late arrivals, %d of %d sound requests complete", len(crashes), late, complete.Load(), sound.Load())
			assert.Check(t, len(crashes) >= 2, "%d crashes", len(crashes))
			assert.Check(t, late <= maxLateArrivals, "the request reached servers %d times later than %s after the third crash", late, learnBound)
			assert.Check(t, complete.Load() == sound.Load(), "%d of %d sound requests complete", complete.Load(), sound.Load())
		})
	}
}

// TestEdgeBlockedRequestOutlivesRestartOfAllDaemons guards against a loss of power that ends all daemons at one time,
// after which they would let servers crash again to learn which request does it.
func TestEdgeBlockedRequestOutlivesRestartOfAllDaemons(t *testing.T) {
	type scenario struct{ name, method, path, body string }
	for _, tc := range []scenario{
		{"lookup", http.MethodGet, "/read/bad", ""},
		{"stream", http.MethodPost, "/draft/bad", "draft 9"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnvironment(t, 2)
			_, err := env.platform.Start("b2", "a", "")
			assert.NilError(t, err)
			env.platform.CrashOnRequest(fakes.CrashingRequest{Path: tc.path, Team: "north", Body: tc.body, RestartDelay: repeatRestartDelay})
			crashing := func(daemon int) response { return env.call(daemon, tc.method, tc.path, "key-n", tc.body) }
			blocked := func(daemon int) bool {
				refused, _ := env.daemons[daemon].edge.BlockedRequests()
				env.daemons[daemon].streams.View(func(c *core.Core) { refused += c.CrashMetrics().RequestBlocksNow })
				return refused == 1
			}
			env.waitUntil("the request is blocked", func() bool {
				crashing(0)
				time.Sleep(repeatInterval)
				return blocked(0) && blocked(1)
			})
			// The block is stored within a second or two.
			time.Sleep(learnBound)
			for _, stop := range env.stops {
				assert.NilError(t, stop())
			}
			before, _ := env.platform.CrashingArrivals()
			env.daemons = nil
			env.start(nil)
			env.start(nil)
			for i := range env.daemons {
				env.waitUntil("a new daemon completes a stream", func() bool { return env.stream(i, "/draft/x").complete })
				assert.Equal(t, crashing(i).code, http.StatusServiceUnavailable)
			}
			after, _ := env.platform.CrashingArrivals()
			assert.Equal(t, len(after), len(before))
		})
	}
}
