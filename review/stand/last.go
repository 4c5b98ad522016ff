package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// lastEngine takes the only engine of a small model away: its entry is removed, it serves on for drainMs and a little
// longer, and then ends. Clients ask for streams at all daemons.
func lastEngine(w *world) error {
	const (
		drain, slack = 2 * time.Second, 100 * time.Millisecond
		servesOn     = drain + 800*time.Millisecond
		settle       = 5 * time.Second
		pause        = 50 * time.Millisecond
		watched      = 5 * time.Second
		timeout      = 20 * time.Second
	)
	w.smallModel = true
	if err := w.configure([]string{apiKey}, 0); err != nil {
		return err
	}
	only, err := w.startEngine("i-7f3a91c2", "a100")
	if err != nil {
		return err
	}
	if _, err := w.startEngine("i-02d9e6b4", ""); err != nil {
		return err
	}
	if err := w.startDaemons(); err != nil {
		return err
	}
	for _, d := range w.daemons {
		if !eventually(20*time.Second, func() bool { return w.send(d.front(), http.MethodPost, "/draft/1", timeout, "hello").Complete }) {
			return errors.New("the deployment serves no streams at the start")
		}
	}
	time.Sleep(settle)
	var mu sync.Mutex
	answers := map[string]answer{}
	var wg sync.WaitGroup
	stop := time.Now().Add(watched)
	for _, d := range w.daemons {
		wg.Go(func() {
			for ; time.Now().Before(stop); time.Sleep(pause) {
				wg.Go(func() {
					a := w.send(d.front(), http.MethodPost, "/draft/7", timeout, visitNotes)
					mu.Lock()
					defer mu.Unlock()
					answers[a.ID] = a
				})
			}
		})
	}
	time.Sleep(time.Second)
	removed := time.Now()
	if w.trouble {
		at := only.withdraw()
		removed = time.Now()
		w.record.printf("gone  the entry of %s was removed at revision %d", only.id, at)
		time.AfterFunc(servesOn, only.end)
	}
	wg.Wait()
	w.judgeLast(only, removed, drain+slack, answers)
	return nil
}

// judgeLast looks for streams that reached an engine later than allowed after its entry was removed.
func (w *world) judgeLast(only *engine, removed time.Time, allowed time.Duration, answers map[string]answer) {
	if !w.trouble {
		return
	}
	latest, late, lost := time.Duration(0), 0, 0
	for _, r := range only.allRuns() {
		after := r.Began.Sub(removed)
		latest = max(latest, after)
		if after <= allowed {
			continue
		}
		late++
		if a := answers[r.Request]; a.Status != http.StatusOK || !a.Complete {
			lost++
			w.record.printf("lost  stream %s began %.2f s after the removal; its caller got %s", r.Request, after.Seconds(), a)
		}
	}
	w.record.printf("the last stream reached %s %.2f s after the acknowledged removal of its entry", only.id, latest.Seconds())
	if late > 0 {
		w.record.breaks("DRAIN: %d streams reached %s later than drainMs after it was gone, the last after %.2f s, and %d of them were lost", late, only.id, latest.Seconds(), lost)
	}
}
