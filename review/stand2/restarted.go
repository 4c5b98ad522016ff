package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	// daemonCount, engineCount, burst and ratio are those of the sheet of a small deployment but for the number of engines.
	daemonCount, engineCount = 7, 6
	ratio, burst             = 0.2, 198
	window                   = 10 * time.Second
	clientCount              = 350
	// streamEvents is the number of events of a stream, eventInterval the time between two.
	streamEvents  = 66
	eventInterval = 240 * time.Millisecond
	// crashesBefore and crashesAfter are the numbers of engines that crash before and after the restart of all daemons, one at a
	// time: each is down for downTime, and the next one crashes crashInterval after it.
	crashesBefore, crashesAfter = 5, 5
	crashInterval               = 800 * time.Millisecond
	downTime                    = 500 * time.Millisecond
	// restartDelay is the time until the platform starts an ended process again.
	restartDelay = 300 * time.Millisecond
)

// restarted lets engines crash one after the other, and kills all daemons at one moment in between.
func restarted(recordPath string, trouble bool) (broken bool, seen string, err error) {
	r, err := newRig(recordPath)
	if err != nil {
		return false, "", err
	}
	defer r.close()
	engines, err := startSite(r)
	if err != nil {
		return false, "", err
	}
	// By then, the daemons know how many they are and have their shares.
	time.Sleep(13 * time.Second)
	clients := make([]*client, clientCount)
	var all sync.WaitGroup
	for i := range clients {
		clients[i] = &client{rig: r, number: i}
		all.Go(clients[i].run)
		time.Sleep(4 * time.Millisecond)
	}
	// The streams' first requests earn nothing in the windows of what follows that do not hold those of their second ones.
	time.Sleep(6 * time.Second)
	if trouble {
		crashInTurn(r, engines, crashesBefore)
		if err := restartAll(r); err != nil {
			return false, "", err
		}
		time.Sleep(1200 * time.Millisecond)
		crashInTurn(r, engines, crashesAfter)
	}
	all.Wait()
	served := 0
	for _, c := range clients {
		if c.complete && c.events == streamEvents {
			served++
		}
	}
	if served < clientCount/2 {
		return false, "", fmt.Errorf("only %d of %d streams were served", served, clientCount)
	}
	repeats, requests, allowed := worstWindow(r.arrivals.repeats(), r.sent.times())
	seen = fmt.Sprintf("in the worst %s the engines got %d arrivals beyond the first of each request, for %d requests; allowed are %.1f (%d of %d streams were served)",
		window, repeats, requests, allowed, served, clientCount)
	r.record.add("%s", seen)
	return float64(repeats) > allowed, seen, nil
}

// startSite starts the engines and the daemons, and waits until all engines have their layer.
func startSite(r *rig) ([]*engine, error) {
	var engines []*engine
	for i := range engineCount {
		e, err := r.startEngine(fmt.Sprintf("i-%d", i+1), streamEvents, eventInterval)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	routes := []map[string]any{{
		"name": "r1", "host": host, "prefix": "/draft/", "routeType": "streaming", "timeoutMs": 20000, "targetLatencyMs": 500, "priority": 1,
		"service": service, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 250,
	}}
	if err := r.configure(3, routes, engineService()); err != nil {
		return nil, err
	}
	for range daemonCount {
		r.addDaemon(r.storeAddress)
	}
	for _, d := range r.daemons {
		if err := d.start(true); err != nil {
			return nil, err
		}
	}
	for _, d := range r.daemons {
		if err := await(d.name+" is ready", 10*time.Second, d.ready); err != nil {
			return nil, err
		}
	}
	return engines, await("the engines have their layer", 15*time.Second, func() bool {
		for _, e := range engines {
			if !e.isLoaded() {
				return false
			}
		}
		return true
	})
}

// crashInTurn lets a number of engines crash, one at a time, and starts new ones in their place.
func crashInTurn(r *rig, engines []*engine, count int) {
	for n := range count {
		i := n % len(engines)
		began := time.Now()
		engines[i].crash()
		time.Sleep(downTime)
		r.started++
		e, err := r.startEngine(fmt.Sprintf("i-%d", engineCount+r.started), streamEvents, eventInterval)
		if err != nil {
			r.record.add("no new engine: %v", err)
			return
		}
		engines[i] = e
		time.Sleep(time.Until(began.Add(crashInterval)))
	}
}

// restartAll kills all daemons at one moment and starts them again.
func restartAll(r *rig) error {
	for _, d := range r.daemons {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range r.daemons {
		<-d.done
	}
	time.Sleep(restartDelay)
	for _, d := range r.daemons {
		if err := d.start(false); err != nil {
			return err
		}
	}
	return nil
}

// worstWindow returns the window with most repeats above what is allowed: a share of the requests in it, in the one before
// or in the one half a window before, whichever has most, and the burst.
func worstWindow(repeats, sent []time.Time) (worst, requests int, allowed float64) {
	count := func(times []time.Time, from time.Time) int {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		return n
	}
	allowed = burst
	for _, from := range repeats {
		n := count(repeats, from)
		q := max(count(sent, from), count(sent, from.Add(-window)), count(sent, from.Add(-window/2)))
		limit := ratio*float64(q) + burst
		if float64(n)-limit > float64(worst)-allowed {
			worst, requests, allowed = n, q, limit
		}
	}
	return worst, requests, allowed
}
