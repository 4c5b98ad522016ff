package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// pauseSeconds is the Retry-After of the server that turns a request away.
	pauseSeconds = 90
	// pauseSlack is the time after the answer within which requests may still arrive.
	pauseSlack = 500 * time.Millisecond
	// maxArrivals is how many requests may arrive in the rest of the pause.
	maxArrivals = 2
)

// runPause lets one server of the booking application turn a request away and ask for a pause.
func runPause(r *rig, trouble bool) (bool, error) {
	var asked atomic.Pointer[time.Time]
	var wanted atomic.Bool
	first, err := r.startServer("i-a0", false, func(s *server) {
		s.decline = func(w http.ResponseWriter, req *http.Request) bool {
			if !wanted.CompareAndSwap(true, false) {
				return false
			}
			w.Header().Set("Not-Executed", "1")
			w.Header().Set("Retry-After", strconv.Itoa(pauseSeconds))
			w.WriteHeader(http.StatusServiceUnavailable)
			now := time.Now()
			asked.Store(&now)
			r.note("i-a0 turns %s away: 503, Not-Executed, Retry-After %d", req.Header.Get("Request-Id"), pauseSeconds)
			return true
		}
	})
	if err != nil {
		return false, err
	}
	for i := 1; i < 3; i++ {
		if _, err := r.startServer(fmt.Sprintf("i-a%d", i), false, nil); err != nil {
			return false, err
		}
	}
	if err := r.configure(false, "alfa"); err != nil {
		return false, err
	}
	if err := r.startDaemons(1); err != nil {
		return false, err
	}
	c := newClients(r)
	c.flow(lookups, "alfa", 100*time.Millisecond, time.Now().Add((pauseSeconds+8)*time.Second))
	time.Sleep(3 * time.Second)
	wanted.Store(trouble)
	c.wg.Wait()
	sent, served := c.tally(func(outcome) bool { return true })
	r.note("%d of %d lookups served", served, sent)
	at := asked.Load()
	if at == nil {
		return false, nil
	}
	arrived := 0
	for _, arrival := range first.arrivals {
		if since := arrival.Sub(*at); since > pauseSlack && since < pauseSeconds*time.Second {
			if arrived++; arrived <= 10 {
				r.note("a request arrived at i-a0 %.3f s after it had asked for %d s", since.Seconds(), pauseSeconds)
			}
		}
	}
	r.note("%d requests arrived at i-a0 from the daemon in the pause; at most %d may", arrived, maxArrivals)
	return arrived > maxArrivals, nil
}
