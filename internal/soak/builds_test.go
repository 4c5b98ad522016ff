package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

// rotate returns a list that begins at an index of another.
func rotate(list []string, by int) []string {
	by %= len(list)
	return append(append([]string{}, list[by:]...), list[:by]...)
}

// TestBuildsAreReplaced replaces the daemons of an earlier build one after the other under load, takes some
// of them back midway, and ends with all of this build. Streams are open all the time, and priorities and, in
// every other run, a limit are in force. Guards against builds that do not work side by side; the program of
// the earlier build is given by -soak.old.
func TestBuildsAreReplaced(t *testing.T) {
	if *oldProgram == "" {
		t.Skip("-soak.old names no program")
	}
	current := buildBinary(t)
	forEachSeed(t, func(t *testing.T, seed uint64, runNumber int) {
		runSeed(t, []string{*oldProgram}, seed, runNumber, func(tb *testbed, rnd *rand.Rand) { tb.replaceBuilds(rnd, current) })
	})
}

// replaceBuilds replaces all daemons by the program next, after some were replaced and taken back.
func (tb *testbed) replaceBuilds(rnd *rand.Rand, next string) {
	orders := tb.acceptedOrders()
	var limiting sync.WaitGroup
	defer limiting.Wait()
	if rnd.IntN(2) == 0 {
		limitRand := rand.New(rand.NewPCG(rnd.Uint64(), 0))
		limiting.Go(func() { tb.nameLimit(limitRand) })
	}
	replace := func(daemons []int, program string) {
		for _, i := range daemons {
			tb.daemons[i].setBuild(program)
			tb.runFault("replacement", i, true, func() { tb.restart(tb.daemons[i], syscall.SIGTERM) })
			sleepBetween(rnd, 0, time.Second)
		}
	}
	order := rnd.Perm(daemonCount)
	replace(order[:daemonCount/2], next)
	tb.writeConfig()
	replace(order[:daemonCount/2], *oldProgram)
	replace(order, next)
	if given := tb.acceptedOrders() - orders; given > 0 {
		tb.violations.add("%d orders were given although no engine came or went", given)
	}
}

// acceptedOrders returns the number of orders that the engines have accepted.
func (tb *testbed) acceptedOrders() int {
	total := 0
	for _, s := range tb.platform.Servers() {
		total += int(s.Orders())
	}
	return total
}
