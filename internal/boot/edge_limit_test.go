package boot

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

const (
	// limitWindow is the window in which a server with a limit may get limitTolerance times what the
	// limit allows, and limitSlack requests more. limitLearnBound is how long after the server has
	// first named its limit that holds.
	limitWindow     = 4 * time.Second
	limitTolerance  = 1.5
	limitSlack      = 5
	limitLearnBound = 3 * time.Second
	// limitLoadInterval is the interval between two requests of limitLoad, and limitLoadDuration its
	// length.
	limitLoadInterval = 30 * time.Millisecond
	limitLoadDuration = 10 * time.Second
	// warmUpRequests is the number of requests to each daemon that show which servers it prefers.
	warmUpRequests = 10
	// refusalBound is how long a refusal of a request may take that servers would accept only later: the
	// time within which the callers of the routes expect the answer to begin.
	refusalBound = 500 * time.Millisecond
)

// mostInWindow returns the largest number of times that lie within limitWindow, among those windows
// that end at the given time or later.
func mostInWindow(times []time.Time, from time.Time) int {
	most, begin := 0, 0
	for end, at := range times {
		for at.Sub(times[begin]) > limitWindow {
			begin++
		}
		if !at.Before(from) {
			most = max(most, end-begin+1)
		}
	}
	return most
}

// limitedLoad sends requests to all daemons in turn and returns the responses with the time that
// each took.
func limitedLoad(env *testEnvironment, method, path string) (responses []response, took []time.Duration) {
	var wg sync.WaitGroup
	n := int(limitLoadDuration / limitLoadInterval)
	responses, took = make([]response, n), make([]time.Duration, n)
	for i := range n {
		wg.Go(func() {
			began := time.Now()
			responses[i] = env.send(i%len(env.daemons), fakes.Call{ID: fmt.Sprintf("l%d", i), Method: method, Path: path, Key: "key-n", Timeout: 5 * time.Second, Body: "x"})
			took[i] = time.Since(began)
		})
		time.Sleep(limitLoadInterval)
	}
	wg.Wait()
	return responses, took
}

// TestEdgeServerLimits guards against servers that get more requests from all daemons together than
// they say they take. What they do not take goes to other servers, or is refused at once, as not run, with
// the time after which it can be served.
func TestEdgeServerLimits(t *testing.T) {
	type scenario struct {
		name, kind, method, path string
		limit                    float64
		// all is set if all servers that requests reach first are limited, so that some are refused.
		all bool
	}
	for _, tc := range []scenario{
		{"one first engine", "card", http.MethodPost, "/draft/x", 1, false},
		{"all first engines", "card", http.MethodPost, "/draft/x", 2.5, true},
		{"one plain server", "", http.MethodGet, "/read/x", 1, false},
		{"all plain servers", "", http.MethodGet, "/read/x", 2.5, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnvironment(t, 3)
			var limited []*fakes.Server
			for range warmUpRequests {
				for i := range env.daemons {
					env.call(i, tc.method, tc.path, "key-n", "x")
				}
			}
			for _, s := range env.serversOf(tc.kind) {
				if from, _ := s.Span(); from == 0 {
					limited = append(limited, s)
				}
			}
			if !tc.all {
				// The one that daemons prefer: a server that they avoid would never name its limit to them.
				limited = []*fakes.Server{slices.MaxFunc(limited, func(a, b *fakes.Server) int { return cmp.Compare(a.Requests(), b.Requests()) })}
			}
			for _, s := range limited {
				s.Limit(strconv.FormatFloat(tc.limit, 'f', -1, 64))
			}
			began := time.Now()
			responses, took := limitedLoad(env, tc.method, tc.path)
			allowed := limitTolerance*limitWindow.Seconds()*tc.limit + limitSlack
			arrivals := 0
			for _, s := range limited {
				most := mostInWindow(s.LimitedArrivals(), began.Add(limitLearnBound))
				arrivals += len(s.LimitedArrivals())
				t.Logf("%s: %d arrivals, at most %d in %s", s.ID, len(s.LimitedArrivals()), most, limitWindow)
				assert.Check(t, float64(most) <= allowed, "%s got %d requests in %s, allowed %v", s.ID, most, limitWindow, allowed)
			}
			assert.Check(t, arrivals > 0)
			served := 0
			for i, resp := range responses {
				if resp.complete {
					served++
					continue
				}
				assert.Equal(t, resp.code, http.StatusServiceUnavailable, "%s", resp.status)
				retryAfter, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Check(t, retryAfter > 0)
				assert.Check(t, took[i] < refusalBound, "refused after %s", took[i])
			}
			t.Logf("%d of %d served", served, len(responses))
			if tc.all {
				assert.Check(t, served > 0)
			} else {
				assert.Equal(t, served, len(responses))
			}
		})
	}
}
