package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// testWindow, testTolerance and testSlack are the bound on a server's requests: in any window, so many
	// times what its limit allows, and so many requests more.
	testWindow    = 4 * time.Second
	testTolerance = 1.5
	testSlack     = 5
	// testLearnBound is how long after the first request all requests of all daemons count, also those of
	// daemons that got no answer with the limit themselves.
	testLearnBound = time.Second
	// testStep is the length of a step, testExchange the interval between two exchanges of a daemon, and
	// testAnswerTime the time from a request to the answer.
	testStep       = 10 * time.Millisecond
	testExchange   = 250 * time.Millisecond
	testAnswerTime = 50 * time.Millisecond
	testServer     = model.ServerID("e~1")
)

// testFleet is a number of daemons that want to send requests to one server.
type testFleet struct {
	rng       *rand.Rand
	now       time.Time
	limit     Statement
	daemons   []*State
	allocator *Allocator
	// second shares out the limit among every other daemon; nil while all report to allocator.
	second *Allocator
	// reachable reports whether a daemon reaches the allocator; nil for always.
	reachable func(daemon int) bool
	// weight is the daemon's part of the demand, relative to others; nil for 1.
	weight func(daemon int) float64
	// sent holds the times of all requests.
	sent    []time.Time
	answers []testAnswer
}

// testAnswer is an answer that is on its way to a daemon.
type testAnswer struct {
	at     time.Time
	daemon int
}

func newTestFleet(daemons int, perSecond float64, seed uint64) *testFleet {
	f := &testFleet{
		rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1_000_000, 0), allocator: NewAllocator(seed),
		limit: Statement{Server: testServer, Limited: true, PerSecond: perSecond},
	}
	for i := range daemons {
		f.start(seed<<16 + uint64(i))
	}
	return f
}

// start adds a daemon.
func (f *testFleet) start(seed uint64) {
	f.daemons = append(f.daemons, New(seed))
	for _, st := range f.daemons {
		st.SetDaemons(len(f.daemons))
	}
}

// run lets time pass while all daemons together want to send a number of requests a second.
func (f *testFleet) run(d time.Duration, demand float64) {
	known := func(model.ServerID) bool { return true }
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(testStep) {
		reachable, weights := 0, 0.0
		for i := range f.daemons {
			weights += f.weightOf(i)
			if f.reachable == nil || f.reachable(i) {
				reachable++
			}
		}
		for i, st := range f.daemons {
			phase := time.Duration(i) * testStep % testExchange
			if f.now.Add(phase).UnixNano()%int64(testExchange) == 0 && (f.reachable == nil || f.reachable(i)) {
				part := float64(reachable) / float64(len(f.daemons))
				allocator := f.allocator
				if f.second != nil {
					part /= 2
					if i%2 == 1 {
						allocator = f.second
					}
				}
				st.Apply(f.now, allocator.Exchange(f.now, model.DaemonID(strconv.Itoa(i)), st.Reports(f.now), part), known)
			}
			if f.rng.Float64() < demand*f.weightOf(i)/weights*testStep.Seconds() {
				st.CountDemand(f.now, testServer)
				if st.HasRoom(f.now, testServer) {
					st.Take(f.now, testServer)
					f.sent = append(f.sent, f.now)
					f.answers = append(f.answers, testAnswer{at: f.now.Add(testAnswerTime), daemon: i})
				}
			}
		}
		f.answers = slices.DeleteFunc(f.answers, func(a testAnswer) bool {
			if a.at.After(f.now) {
				return false
			}
			f.daemons[a.daemon].Record(f.now, f.limit)
			return true
		})
	}
}

func (f *testFleet) weightOf(daemon int) float64 {
	if f.weight == nil {
		return 1
	}
	return f.weight(daemon)
}

// mostInWindow returns the largest number of times in a window.
func mostInWindow(times []time.Time) int {
	most, begin := 0, 0
	for end, at := range times {
		for at.Sub(times[begin]) > testWindow {
			begin++
		}
		most = max(most, end-begin+1)
	}
	return most
}

// TestFleetKeepsLimits guards against servers that get more requests from all daemons together than they say
// they take, at any number of daemons, while the daemon that shares the limits out is replaced,
// stands still or is cut off, and while daemons start.
func TestFleetKeepsLimits(t *testing.T) {
	type scenario struct {
		name string
		run  func(f *testFleet, demand float64)
		// least is the least part of the limit that must be used.
		least float64
	}
	scenarios := []scenario{
		{"undisturbed", func(f *testFleet, demand float64) { f.run(25*time.Second, demand) }, 0.5},
		{"one daemon has all demand", func(f *testFleet, demand float64) {
			f.weight = func(daemon int) float64 { return float64(1 - min(1, daemon)) }
			f.run(25*time.Second, demand)
		}, 0.5},
		{"the allocator is replaced", func(f *testFleet, demand float64) {
			f.run(8*time.Second, demand)
			f.reachable = func(int) bool { return false }
			f.run(6*time.Second, demand)
			f.reachable, f.allocator = nil, NewAllocator(77)
			f.run(10*time.Second, demand)
		}, 0.25},
		{"the allocator stands still", func(f *testFleet, demand float64) {
			f.run(8*time.Second, demand)
			f.reachable = func(int) bool { return false }
			f.run(6*time.Second, demand)
			f.reachable = nil
			f.run(10*time.Second, demand)
		}, 0.25},
		{"a third is cut off from the allocator", func(f *testFleet, demand float64) {
			f.run(5*time.Second, demand)
			f.reachable = func(daemon int) bool { return daemon%3 != 0 }
			f.run(15*time.Second, demand)
		}, 0.25},
		{"two allocators that do not know of each other", func(f *testFleet, demand float64) {
			f.run(5*time.Second, demand)
			f.second = NewAllocator(78)
			f.run(15*time.Second, demand)
		}, 0.25},
		{"daemons start", func(f *testFleet, demand float64) {
			for i := range 10 {
				f.run(2*time.Second, demand)
				f.start(uint64(900 + i))
			}
		}, 0.25},
	}
	for _, daemons := range []int{1, 7, 195, 390} {
		for _, perSecond := range []float64{1, 16.2} {
			for _, s := range scenarios {
				t.Run(fmt.Sprintf("%s/%d daemons/%v a second", s.name, daemons, perSecond), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(5) {
						f := newTestFleet(daemons, perSecond, seed+1)
						began := f.now
						// Each daemon has many more requests than its part of the limit.
						s.run(f, max(20*perSecond, 2*float64(daemons)))
						allowed := testTolerance*testWindow.Seconds()*perSecond + testSlack
						sent := slices.DeleteFunc(f.sent, func(at time.Time) bool { return at.Before(began.Add(testLearnBound)) })
						most := mostInWindow(sent)
						assert.Check(t, float64(most) <= allowed, "%d requests in %s, allowed %v, seed %d", most, testWindow, allowed, seed+1)
						available := perSecond * (f.now.Sub(began) - testLearnBound).Seconds()
						assert.Check(t, float64(len(sent)) >= s.least*available, "%d requests sent of %v, seed %d", len(sent), available, seed+1)
						t.Logf("at most %d of %v, %d of %v sent", most, allowed, len(sent), available)
					}
				})
			}
		}
	}
}
