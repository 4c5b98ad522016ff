package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// greyEngine lets one of three plain engines fail part of the bookings that it has run, with a signed 503 that does not
// say that they have not run. Its health check is good. Clients send a booking once more after a promise that it has not
// run, as a new request.
func greyEngine(w *world) error {
	_, plain, err := w.startSmall()
	if err != nil {
		return err
	}
	engines := []*engine{plain}
	for _, id := range []string{"i-5b91d0e7", "i-d0e75b91"} {
		e, err := w.startEngine(id, "")
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	const (
		settle, lasts, pause = 4 * time.Second, 6 * time.Second, 50 * time.Millisecond
		deadline, failEvery  = 2500 * time.Millisecond, 3
	)
	// The daemons were started over contactMs ago.
	time.Sleep(settle)
	if w.trouble {
		w.record.printf("grey  %s answers each third booking with 503 after it has run it", engines[1].id)
		engines[1].failEach(failEvery)
	}
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for i, stop := 0, time.Now().Add(lasts); time.Now().Before(stop); i++ {
		d, body := w.daemons[i%len(w.daemons)], fmt.Sprintf("household %d, Monday at nine", i)
		wg.Go(func() {
			for range 2 {
				a := w.send(d.front(), http.MethodPost, "/book/9", deadline, body)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if a.Status != http.StatusServiceUnavailable && a.Status != http.StatusTooManyRequests {
					return
				}
				seconds, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
				time.Sleep(time.Duration(max(0.1, seconds) * float64(time.Second)))
			}
		})
		time.Sleep(pause)
	}
	wg.Wait()
	refused := 0
	for _, a := range answers {
		if a.Status == http.StatusServiceUnavailable && len(runsOf(engines, a.ID)) > 0 {
			refused++
		}
	}
	booked := map[string]int{}
	for _, e := range engines {
		for _, r := range e.allRuns() {
			if strings.HasPrefix(r.Body, "household") {
				booked[r.Body]++
			}
		}
	}
	twice := 0
	for body, n := range booked {
		if n > 1 {
			twice++
			w.record.printf("twice %q was booked %d times", body, n)
		}
	}
	if refused > 0 {
		w.record.breaks("REFUSED: %d bookings were answered 503 and had run; %d households were booked twice", refused, twice)
	}
	return nil
}
