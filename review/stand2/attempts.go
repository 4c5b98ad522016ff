package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// maxAttempts is that of the route, and allowedOver how many requests may run on more engines.
	maxAttempts = 2
	allowedOver = 3
	// lostPeriod is how long engines lose answers, and leaveGap the time between two engines that leave.
	lostPeriod = 4 * time.Second
	leaveGap   = 970 * time.Millisecond
	// half is the number of engines that lose answers at one time, and of those that leave.
	half = engineCount / 2
)

// attempts lets engines lose answers and leave, and others lose answers after that.
func attempts(recordPath string, trouble bool) (broken bool, seen string, err error) {
	r, err := newRig(recordPath)
	if err != nil {
		return false, "", err
	}
	defer r.close()
	engines, err := startSite(r)
	if err != nil {
		return false, "", err
	}
	time.Sleep(13 * time.Second)
	if trouble {
		for _, e := range engines[:half] {
			e.loseAnswers(lostPeriod)
		}
	}
	clients := make([]*client, clientCount)
	var all sync.WaitGroup
	for i := range clients {
		clients[i] = &client{rig: r, number: i}
		all.Go(clients[i].run)
		time.Sleep(4 * time.Millisecond)
	}
	if trouble {
		time.Sleep(lostPeriod)
		for i, e := range engines[:half] {
			if _, err := r.startEngine(fmt.Sprintf("i-%d", engineCount+1+i), streamEvents, eventInterval); err != nil {
				return false, "", err
			}
			e.leave()
			time.Sleep(leaveGap)
		}
		for _, e := range engines[half:] {
			e.loseAnswers(lostPeriod)
		}
	}
	all.Wait()
	over, served := 0, 0
	for request, places := range r.arrivals.places() {
		if len(places) > maxAttempts {
			over++
			r.record.add("%s ran on %s", request, strings.Join(places, ", "))
		}
	}
	for _, c := range clients {
		if c.complete && c.events == streamEvents {
			served++
		}
	}
	if served < clientCount/2 {
		return false, "", fmt.Errorf("only %d of %d streams were served", served, clientCount)
	}
	seen = fmt.Sprintf("%d requests ran on more than %d engines, none of which had ended; allowed are %d (%d of %d streams were served)", over, maxAttempts, allowedOver, served, clientCount)
	r.record.add("%s", seen)
	return over > allowedOver, seen, nil
}
