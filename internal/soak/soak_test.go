// Package soak runs the real program as several processes on one machine under load, injects
// random faults from outside, and checks what callers and servers observe against the router's
// guarantees.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	firstSeed   = flag.Uint64("soak.first", 1, "the first seed")
	seedCount   = flag.Uint64("soak.seeds", 2, "how many seeds to run")
	checkTimes  = flag.Bool("soak.timed", false, "check time limits as well; for a machine without other load")
	faultPeriod = flag.Duration("soak.span", 10*time.Second, "how long new faults are started")
	faultFilter = flag.String("soak.faults", "", "inject only faults whose names contain this text")
	oldProgram  = flag.String("soak.old", "", "program of an earlier build, to run two builds side by side")
)

// regressions are seeds that once violated a guarantee, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// TestSoak injects random faults, one after the other and overlapping, into daemons under load.
// Guards against violated guarantees during faults, and against daemons that don't recover.
func TestSoak(t *testing.T) {
	builds := []string{buildBinary(t)}
	if *oldProgram != "" {
		builds = append(builds, *oldProgram)
	}
	forEachSeed(t, func(t *testing.T, seed uint64, runNumber int) {
		runSeed(t, builds, seed, runNumber, func(tb *testbed, rnd *rand.Rand) { tb.injectFaults(rnd) })
	})
}

// forEachSeed runs a test for each seed, in parallel.
func forEachSeed(t *testing.T, test func(t *testing.T, seed uint64, runNumber int)) {
	runSeeds := []uint64{}
	for i := range *seedCount {
		runSeeds = append(runSeeds, *firstSeed+i)
	}
	for _, r := range regressions {
		runSeeds = append(runSeeds, r.seed)
	}
	for i, seed := range runSeeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			test(t, seed, i)
		})
	}
}

// buildBinary builds the program under test.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "bulrushpond")
	out, err := exec.Command("go", "build", "-o", binary, "bulrushpond.example/bulrushpond").CombinedOutput()
	assert.NilError(t, err, string(out))
	return binary
}

// maxParallelRuns is the number of runs with distinct addresses; the run number is one byte of
// the address.
const maxParallelRuns = 250

// runSeed runs one seed and fails the test if a guarantee was violated.
func runSeed(t *testing.T, builds []string, seed uint64, runNumber int, faults func(*testbed, *rand.Rand)) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	assert.NilError(t, err)
	t.Cleanup(func() { keepFailedLogs(t, dir) })
	tb := newTestbed(t, builds, dir, runNumber%maxParallelRuns, *checkTimes)
	seen := tb.run(func() { faults(tb, rand.New(rand.NewPCG(seed, 0))) })
	codes := map[int]int{}
	for _, r := range seen.Requests {
		codes[r.Code]++
	}
	t.Logf("%d faults, requests by status: %v", len(seen.FaultWindows), codes)
	found := append(tb.violations.all(), seen.violations()...)
	if len(found) == 0 {
		return
	}
	for _, f := range seen.FaultWindows {
		t.Logf("%s to %s: %s (daemon %d)", f.From.Format(clockFormat), f.To.Format(clockFormat), f.Name, f.Daemon)
	}
	const maxPrinted = 20
	t.Fatalf("seed %d violates %d guarantees:\n%s", seed, len(found), strings.Join(found[:min(len(found), maxPrinted)], "\n"))
}

// maxFaultPause is the longest pause between the starts of two faults.
const maxFaultPause = 1500 * time.Millisecond

// injectFaults starts random faults for faultPeriod and waits until all are over.
func (tb *testbed) injectFaults(rnd *rand.Rand) {
	var selected []fault
	for _, f := range faults {
		// The cut shows a fault that KNOWN-RED.txt lists, and has a test of its own.
		if strings.Contains(f.name, *faultFilter) && (f.name != cutFault || *faultFilter != "") {
			selected = append(selected, f)
		}
	}
	var running sync.WaitGroup
	for endAt := time.Now().Add(*faultPeriod); time.Now().Before(endAt); {
		f, faultRand := selected[rnd.IntN(len(selected))], rand.New(rand.NewPCG(rnd.Uint64(), 0))
		running.Go(func() { f.inject(tb, faultRand) })
		sleepBetween(rnd, 0, maxFaultPause)
	}
	running.Wait()
}
