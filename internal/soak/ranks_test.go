package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// routePriorities returns the priorities of the routes, by prefix.
func routePriorities() map[string]int {
	return map[string]int{"/" + kindStream + "/": 1, "/" + kindBooking + "/": 0, "/" + kindLookup + "/": 4}
}

// teamPriorities returns the priorities of the teams that have one of their own.
func teamPriorities() map[string]int { return map[string]int{"south": 3} }

// priority returns the priority that the configuration gives a request.
func (r *request) priority() string {
	priority, ok := teamPriorities()[r.Team]
	if !ok {
		priority = routePriorities()["/"+r.Kind+"/"]
	}
	return strconv.Itoa(priority)
}

// drawHint returns a caller's estimate of the length of the answer: mostly a good one, none, a bad one or
// one that is no sensible number.
func drawHint(rnd *rand.Rand) string {
	hints := []string{
		"", strconv.Itoa(streamEvents), strconv.Itoa(streamEvents), strconv.Itoa(streamEvents + 5), "1", "100000",
		"-7", "many", "0", "9223372036854775807", "99999999999999999999", "1e9", strings.Repeat("9", 300),
	}
	return hints[rnd.IntN(len(hints))]
}

const (
	// surgeCallers is the number of additional callers in a surge, each with up to maxSurgeRequests.
	surgeCallers     = 60
	maxSurgeRequests = 3
)

// surge adds callers of streams of both teams for a moment, so that room is short.
func (tb *testbed) surge(rnd *rand.Rand) {
	tb.runFault("surge", allDaemons, false, func() {
		var all sync.WaitGroup
		for range surgeCallers {
			callerRand := rand.New(rand.NewPCG(rnd.Uint64(), 0))
			all.Go(func() {
				transport := &http.Transport{}
				defer transport.CloseIdleConnections()
				sleepBetween(callerRand, 0, time.Second)
				for range 1 + callerRand.IntN(maxSurgeRequests) {
					r := request{Kind: kindStream, Team: []string{"north", "south"}[callerRand.IntN(2)], KeyNumber: tb.callerKey(), LengthHint: drawHint(callerRand)}
					tb.callers.send(transport, callerRand.IntN(daemonCount), r)
				}
			})
		}
		all.Wait()
	})
}
