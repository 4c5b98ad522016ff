package route

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/internal/core/table"
)

// evenAll runs all fleets, ages of news and policies of the tests of even load.
var evenAll = flag.Bool("even.all", false, "run all combinations of the tests of even load")

func withEven() ChainsOption { return WithBalance(even.NewPaces()) }

// loadFleets returns the numbers of daemons, engines and the ages of news that a test runs.
func loadFleets() (daemons, engines []int, ages []time.Duration) {
	if *evenAll {
		return []int{7, 34, 72, 195, 390}, []int{90, 205}, []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond}
	}
	return []int{7, 72}, []int{90}, []time.Duration{250 * time.Millisecond, 500 * time.Millisecond}
}

// settled returns what the daemons' own picker with even load shows after it had time to settle.
func settled(daemons, engines int, age time.Duration) (*loadFleet, loadResult) {
	f := newLoadFleet(daemons, engines, age, chainsPolicy, withEven)
	f.run(4 * time.Second)
	f.run(8 * time.Second)
	return f, f.result()
}

// eachLoadFleet runs a test with each number of daemons and engines and each age of news.
func eachLoadFleet(t *testing.T, test func(t *testing.T, daemons, engines int, age time.Duration)) {
	t.Helper()
	daemons, engines, ages := loadFleets()
	for _, e := range engines {
		for _, d := range daemons {
			for _, age := range ages {
				t.Run(fmt.Sprintf("daemons=%d/engines=%d/age=%s", d, e, age), func(t *testing.T) { test(t, d, e, age) })
			}
		}
	}
}

// TestEvenLoadFromOldNews answers many daemons that choose at the same moment between engines whose speeds differ
// sevenfold, by old news: no engine is used far more than the mean.
func TestEvenLoadFromOldNews(t *testing.T) {
	const maxUse = 1.25
	eachLoadFleet(t, func(t *testing.T, daemons, engines int, age time.Duration) {
		if *evenAll {
			compareLoads(t, daemons, engines, age)
		}
		_, r := settled(daemons, engines, age)
		t.Logf("even: %s", r)
		assert.Assert(t, r.p99 <= maxUse*r.mean, "p99 %.3f, mean %.3f", r.p99, r.mean)
	})
}

// TestLoadDoesNotSwingWithTheNews answers the same load: engines are not overrun in turns.
func TestLoadDoesNotSwingWithTheNews(t *testing.T) {
	const maxSwing = 0.15
	eachLoadFleet(t, func(t *testing.T, daemons, engines int, age time.Duration) {
		_, r := settled(daemons, engines, age)
		t.Logf("even: %s", r)
		assert.Assert(t, r.swing <= maxSwing, "swing %.3f", r.swing)
	})
}

// TestNoDeclineBesideRoom answers the same load: no engine declines work while others of its layers have room.
func TestNoDeclineBesideRoom(t *testing.T) {
	eachLoadFleet(t, func(t *testing.T, daemons, engines int, age time.Duration) {
		_, r := settled(daemons, engines, age)
		assert.Equal(t, r.avoidable, 0, "of %d requests", r.sent)
	})
}

// TestEvenLoadWithoutNews answers a hub that is gone: the load is no less even than by random choice.
func TestEvenLoadWithoutNews(t *testing.T) {
	for _, daemons := range []int{7, 72} {
		t.Run(fmt.Sprintf("daemons=%d", daemons), func(t *testing.T) {
			f, _ := settled(daemons, 90, 250*time.Millisecond)
			f.hubGone = true
			f.run(1500 * time.Millisecond)
			f.run(8 * time.Second)
			random := newLoadFleet(daemons, 90, 250*time.Millisecond, eachGroup(byShare))
			random.run(4 * time.Second)
			random.run(8 * time.Second)
			r, want := f.result(), random.result()
			t.Logf("even: %s; random: %s", r, want)
			assert.Check(t, r.p99/r.mean <= want.p99/want.mean, "%.3f, random %.3f", r.p99/r.mean, want.p99/want.mean)
			assert.Check(t, r.failed <= want.failed, "%d requests not served, random %d", r.failed, want.failed)
		})
	}
}

// TestNewEngineIsNotRushed answers an engine that comes back while all daemons see that it is idle: it is sent at
// most twice its share.
func TestNewEngineIsNotRushed(t *testing.T) {
	for _, daemons := range []int{7, 72} {
		t.Run(fmt.Sprintf("daemons=%d", daemons), func(t *testing.T) {
			f := newLoadFleet(daemons, 90, 250*time.Millisecond, chainsPolicy, withEven)
			back := f.engines[62]
			setListed := func(listed bool) {
				for _, d := range f.daemons {
					d.servers.Get(back.server).Listed = listed
					d.servers.Version++
				}
			}
			setListed(false)
			f.run(6 * time.Second)
			setListed(true)
			f.run(500 * time.Millisecond)
			room := 0.0
			for _, e := range f.engines {
				if e.group == back.group {
					room += e.room
				}
			}
			fair := float64(f.sent) * back.room / room
			// Three standard deviations are chance.
			most := 2*fair + 3*math.Sqrt(2*fair)
			assert.Check(t, back.held <= most, "%.0f requests in half a second, its share are %.0f", back.held, fair)
			assert.Check(t, back.held >= 0.5*fair, "%.0f requests in half a second, its share are %.0f", back.held, fair)
			assert.Check(t, back.held <= back.room, "%.0f requests in a room for %.0f", back.held, back.room)
		})
	}
}

// compareLoads logs what other policies do with the same load.
func compareLoads(t *testing.T, daemons, engines int, age time.Duration) {
	t.Helper()
	for _, p := range []struct {
		name   string
		policy loadPolicy
	}{
		{"cheapest", chainsPolicy},
		{"random by share", eachGroup(byShare)},
		{"round robin", eachGroup(inTurn)},
		{"least reported", eachGroup(leastReportedUse)},
		{"two of share", eachGroup(twoOfShare)},
	} {
		f := newLoadFleet(daemons, engines, age, p.policy)
		f.run(4 * time.Second)
		f.run(8 * time.Second)
		t.Logf("%s: %s", p.name, f.result())
	}
}

// TestBalanceOfReturningServers guards against uses that are those of other servers: a server returns after a
// pause without any change of the table, and the models of two requests have different servers.
func TestBalanceOfReturningServers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	servers := table.NewServers()
	for i := range 4 {
		addEngine(servers, fmt.Sprintf("e%d", i), "a", 0, chainLayers, 1e6)
	}
	addEngine(servers, "other", "a", 0, chainLayers, 1e6).Report.Model = "n"
	servers.Get("e3").AvoidUntil = now.Add(time.Second)
	servers.SetOthers(now.Add(board.StatusTTL), board.View{Loads: []board.Load{{Server: "e0", Tokens: 900_000, Streams: 7}}})
	c := NewChains("a", 1, withEven())
	pick := func(at time.Time, modelName string) {
		r := newRequest()
		r.Model = modelName
		_, result := c.Pick(at, servers, Query{Request: r, Layers: chainLayers, Daemons: 2})
		assert.Equal(t, result, Found)
	}
	pick(now, "m")
	pick(now, "n")
	pick(now.Add(time.Second), "m")
	assert.Equal(t, len(c.usable), 4)
}
