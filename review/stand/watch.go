package main

import (
	"net/http"
	"sync"
	"time"
)

// cutWatch cuts the watches that wait at the store within a tenth of a second, and removes the entry of one of two plain
// engines, which never reports that it drains, goes on serving for drainMs and a little longer, and then ends. Clients
// book at all daemons.
func cutWatch(w *world) error {
	_, first, err := w.startSmall()
	if err != nil {
		return err
	}
	second, err := w.startEngine("i-5b91d0e7", "")
	if err != nil {
		return err
	}
	const (
		drain, slack   = 2 * time.Second, 100 * time.Millisecond
		ends           = drain + 400*time.Millisecond
		settle         = 4 * time.Second
		pause          = 50 * time.Millisecond
		bookAfter      = 3 * time.Second
		bookingTimeout = 2500 * time.Millisecond
	)
	first.workLonger()
	second.workLonger()
	// The daemons were started over contactMs ago.
	time.Sleep(settle)
	var mu sync.Mutex
	answers := map[string]answer{}
	var wg sync.WaitGroup
	stop := time.Now().Add(time.Second + ends + bookAfter)
	for _, d := range w.daemons {
		wg.Go(func() {
			for time.Now().Before(stop) {
				wg.Go(func() {
					a := w.send(d.front(), http.MethodPost, "/book/7", bookingTimeout, visitNotes)
					mu.Lock()
					defer mu.Unlock()
					answers[a.ID] = a
				})
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(time.Second)
	if w.trouble {
		w.record.printf("cut   the store cuts the watches that wait")
		w.store.cutWatches(100 * time.Millisecond)
	}
	time.Sleep(120 * time.Millisecond)
	at := second.withdraw()
	removed := time.Now()
	w.record.printf("gone  the entry of %s was removed at revision %d", second.id, at)
	time.Sleep(time.Until(removed.Add(ends)))
	second.end()
	w.record.printf("end   %s ended", second.id)
	wg.Wait()
	latest, late, lost := time.Duration(0), 0, 0
	for _, r := range second.allRuns() {
		after := r.Began.Sub(removed)
		latest = max(latest, after)
		if after <= drain+slack {
			continue
		}
		late++
		if a := answers[r.Request]; a.Status != http.StatusOK {
			lost++
			w.record.printf("lost  booking %s began at %s %.2f s after the removal; its caller got %s", r.Request, second.id, after.Seconds(), a)
		}
	}
	w.record.printf("the last booking reached %s %.2f s after the acknowledged removal of its entry", second.id, latest.Seconds())
	if late > 0 {
		w.record.breaks("DRAIN: %d bookings reached %s later than drainMs after it was gone, the last after %.2f s, and %d of them were lost", late, second.id, latest.Seconds(), lost)
	}
	return nil
}
