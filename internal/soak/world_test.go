package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// Sizes of a run.
const (
	daemonCount      = 4
	engineCount      = 5
	plainServerCount = 2
	callerCount      = 24
	streamEvents     = 40
	eventInterval    = 15 * time.Millisecond
	plainServiceTime = 20 * time.Millisecond
	// tokenBytes is small enough that any engine's memory fits the streams of all callers.
	tokenBytes = 1e4
)

const (
	// hangTimeout keeps a failed run from hanging; it isn't a guarantee.
	hangTimeout = 40 * time.Second
	// recoveryLimit is the time after the last fault until all daemons must serve again. It is
	// checked in timed runs.
	recoveryLimit = 12 * time.Second
	// quietRounds is the number of consecutive rounds of requests that must be served then.
	quietRounds = 5
)

// testbed is a fake platform, daemon processes, callers, and the links between them that inject
// faults.
type testbed struct {
	t *testing.T
	// runNumber makes the addresses of parallel runs distinct.
	runNumber  int
	checkTimes bool
	platform   *fakes.Platform
	daemons    []*daemon
	callers    *callers
	violations violationLog

	mu           sync.Mutex
	links        map[string]*link
	lastServer   int
	configs      []configVersion
	faultWindows []faultWindow
	limited      []limitedServer
	// limitNamed holds the IDs of the servers that have named a limit.
	limitNamed []string
	// crashing is set once a request that crashes servers was sent.
	crashing atomic.Bool
	// cut is the daemon that reaches no server; nil if all do.
	cut *cut
}

// newTestbed starts the platform, the servers and the daemons of a run.
// With several builds, the daemons' processes run them in turn.
func newTestbed(t *testing.T, builds []string, dir string, runNumber int, checkTimes bool) *testbed {
	tb := &testbed{t: t, runNumber: runNumber, checkTimes: checkTimes, links: map[string]*link{}}
	var err error
	tb.platform, err = fakes.New(fakes.WithAnnouncedAddress(tb.addServerLink), fakes.WithServerSetup(func(s *fakes.Server) {
		s.Events, s.EventInterval, s.ServiceTime = streamEvents, eventInterval, plainServiceTime
	}))
	assert.NilError(t, err)
	t.Cleanup(tb.platform.Close)
	for range engineCount {
		tb.startServer(true)
	}
	for range plainServerCount {
		tb.startServer(false)
	}
	tb.writeConfig()
	tb.callers = &callers{newestKey: tb.callerKey, ready: make([]bool, daemonCount)}
	for i := range daemonCount {
		d := &daemon{
			name: fmt.Sprintf("d%d", i), ip: tb.daemonIP(i), dir: dir, builds: rotate(builds, i),
			reportViolation: tb.violations.add, done: make(chan struct{}),
		}
		d.callerLink, err = newLink(d.callersAddress())
		assert.NilError(t, err)
		d.storeLink, err = newLink(tb.platform.Address())
		assert.NilError(t, err)
		tb.daemons = append(tb.daemons, d)
		tb.writeSettings(d, i)
		go d.supervise()
		t.Cleanup(d.killAndWait)
	}
	tb.callers.daemons = tb.daemons
	return tb
}

// loopbackNet returns the second byte of this process's loopback addresses. It depends on the
// process ID, so that two test processes on one machine rarely use the same addresses.
func loopbackNet() int {
	const first, count = 64, 128
	return first + os.Getpid()%count
}

// daemonIP returns the loopback address of the daemon with an index.
func (tb *testbed) daemonIP(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", loopbackNet(), tb.runNumber, index+1)
}

// writeSettings writes a daemon's settings file. The index sets its zone and its seeds, which are
// the two daemons after that index.
func (tb *testbed) writeSettings(d *daemon, index int) {
	var seeds []string
	for i := range 2 {
		seeds = append(seeds, net.JoinHostPort(tb.daemonIP((index+1+i)%daemonCount), strconv.Itoa(callersPort)))
	}
	if err := d.writeSettings([]string{"a", "b"}[index%2], seeds); err != nil {
		tb.violations.add("settings file: %v", err)
	}
}

// addServerLink starts a link to a server and returns the link's address.
func (tb *testbed) addServerLink(id, address string) (string, error) {
	l, err := newLink(address)
	if err != nil {
		return "", err
	}
	tb.t.Cleanup(l.close)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	l.setCut(tb.cut)
	tb.links[id] = l
	return l.address(), nil
}

func (tb *testbed) link(id string) *link {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.links[id]
}

// startServer starts an engine, or a plain server.
func (tb *testbed) startServer(engine bool) {
	tb.mu.Lock()
	tb.lastServer++
	number := tb.lastServer
	tb.mu.Unlock()
	id, kind := fmt.Sprintf("b%d", number), ""
	if engine {
		id, kind = fmt.Sprintf("e%d", number), "card"
	}
	if _, err := tb.platform.Start(id, []string{"a", "b"}[number%2], kind); err != nil {
		tb.violations.add("server %s: %v", id, err)
	}
}

// withRandomServer calls do with a random engine or plain server that is serving, if there is one.
func (tb *testbed) withRandomServer(rnd *rand.Rand, engine bool, do func(*fakes.Server)) {
	var live []*fakes.Server
	for _, s := range tb.platform.Servers() {
		if (s.Kind != "") == engine && s.Serving() {
			live = append(live, s)
		}
	}
	if len(live) > 0 {
		do(live[rnd.IntN(len(live))])
	}
}

// writeConfig writes the next version of the configuration, with the API keys of its own number
// and of the number before.
func (tb *testbed) writeConfig() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	number := len(tb.configs) + 1
	keys := map[string][]string{}
	for _, team := range []string{"north", "south"} {
		keys[team] = []string{apiKey(team, number), apiKey(team, number-1)}
	}
	tb.configs = append(tb.configs, configVersion{Number: number, WrittenAt: time.Now()})
	if _, err := tb.platform.Configure(fakes.Config{
		Keys: keys, TokenBytes: tokenBytes, RoutePriorities: routePriorities(), TeamPriorities: teamPriorities(),
	}); err != nil {
		tb.violations.add("configuration: %v", err)
	}
}

// callerKey returns the number of the API key that callers use: the newest one that must already
// be in force.
func (tb *testbed) callerKey() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	last := tb.configs[len(tb.configs)-1]
	if time.Since(last.WrittenAt) < applyLimit {
		return last.Number - 1
	}
	return last.Number
}

// runFault runs do and records its duration as the window of a fault.
func (tb *testbed) runFault(name string, daemonIndex int, planned bool, do func()) {
	from := time.Now()
	tb.mu.Lock()
	index := len(tb.faultWindows)
	tb.faultWindows = append(tb.faultWindows, faultWindow{Name: name, Daemon: daemonIndex, Planned: planned, From: from, To: from.Add(hangTimeout)})
	tb.mu.Unlock()
	do()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.faultWindows[index].To = time.Now()
}

// restart sends a signal to a daemon and waits until its next process is ready.
func (tb *testbed) restart(d *daemon, s syscall.Signal) {
	process := d.currentProcess()
	d.signal(s)
	tb.waitFor(d.name+" serves again", hangTimeout, func() bool {
		return d.currentProcess() != process && d.isReady()
	})
}

func (d *daemon) isReady() bool {
	resp, err := (&http.Client{Timeout: readyTimeout}).Get(d.readyURL())
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitFor polls a condition and records a violation if it isn't met within a limit.
func (tb *testbed) waitFor(condition string, limit time.Duration, met func() bool) {
	for endAt := time.Now().Add(limit); !met(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(endAt) {
			tb.violations.add("not within %s: %s", limit, condition)
			return
		}
	}
}

// servesAllKinds reports whether a daemon serves every kind of request with the newest API key,
// and refuses a withdrawn one.
func (tb *testbed) servesAllKinds(daemonIndex int) bool {
	tb.mu.Lock()
	newest := len(tb.configs)
	tb.mu.Unlock()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for _, kind := range []string{kindStream, kindBooking, kindLookup} {
		if r := tb.callers.send(transport, daemonIndex, request{Kind: kind, Team: "north", KeyNumber: newest}); r.Code != http.StatusOK || !r.Complete {
			return false
		}
	}
	r := tb.callers.send(transport, daemonIndex, request{Kind: kindLookup, Team: "south", KeyNumber: newest - 2})
	return r.Code == http.StatusUnauthorized
}

// run puts load on the daemons while it calls faults, checks that the daemons recover, stops them
// with SIGTERM, and returns the history.
func (tb *testbed) run(faults func()) *history {
	tb.runFault("start", allDaemons, false, func() {
		for i := range tb.daemons {
			tb.waitFor(fmt.Sprintf("d%d serves after the start", i), hangTimeout, func() bool { return tb.servesAllKinds(i) })
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { tb.callers.watchReady(ctx) })
	time.Sleep(2 * readyInterval)
	for i := range callerCount {
		running.Go(func() { tb.callers.run(ctx, rand.New(rand.NewPCG(uint64(i), 0))) })
	}
	faults()
	tb.checkRecovery()
	stop()
	running.Wait()
	for _, d := range tb.daemons {
		d.signalLast(syscall.SIGTERM)
	}
	for _, d := range tb.daemons {
		select {
		case <-d.done:
		case <-time.After(hangTimeout):
			tb.violations.add("%s did not stop", d.name)
		}
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	arrivals, crashes := tb.platform.CrashingArrivals()
	seen := &history{
		Limited: tb.limited, Crashing: crashingRequest{Arrivals: arrivals, Crashes: crashes},
		Requests: tb.callers.records(), Runs: tb.platform.AllRuns(), Teams: map[string]string{}, Priorities: tb.platform.Priorities(), BadChains: tb.platform.InvalidChains(),
		Configs: tb.configs, FaultWindows: tb.faultWindows, StreamEvents: streamEvents, CheckTimes: tb.checkTimes,
	}
	for id := range seen.Runs {
		_, seen.Teams[id] = tb.platform.Runs(id)
	}
	return seen
}

// checkRecovery waits until every daemon serves again, and then checks that it keeps serving.
func (tb *testbed) checkRecovery() {
	limit := hangTimeout
	if tb.checkTimes {
		limit = recoveryLimit
	}
	for i, d := range tb.daemons {
		tb.waitFor(d.name+" serves after the last fault", limit, func() bool { return tb.servesAllKinds(i) })
	}
	for range quietRounds {
		var all sync.WaitGroup
		for i, d := range tb.daemons {
			all.Go(func() {
				if !tb.servesAllKinds(i) {
					tb.violations.add("%s does not serve although no fault is active", d.name)
				}
			})
		}
		all.Wait()
	}
}

// keepFailedLogs removes the logs of a successful run, and prints the path of a failed run's.
func keepFailedLogs(t *testing.T, dir string) {
	if t.Failed() {
		t.Logf("logs: %s", dir)
		return
	}
	assert.NilError(t, os.RemoveAll(dir))
}
