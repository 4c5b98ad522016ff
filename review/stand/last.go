package main

import (
	"net/http"
	"sync"
	"time"
)

// lastEngine removes the entry of the only model engine, which goes on serving for six seconds more and then ends, as
// engines do that never report that they drain. A client sends a stream every 200 ms.
func lastEngine(w *world) error {
	models, _, err := w.startSmall()
	if err != nil {
		return err
	}
	const drain, slack, servesOn, pause, deadline = 2 * time.Second, 250 * time.Millisecond, 6 * time.Second, 200 * time.Millisecond, 10 * time.Second
	shape(models, 20, 100*time.Millisecond)
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	stop := time.Now().Add(2*time.Second + servesOn)
	wg.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			address := w.daemons[i%len(w.daemons)].front()
			wg.Go(func() {
				a := w.send(address, http.MethodPost, "/draft/3", deadline, visitNotes)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
			time.Sleep(pause)
		}
	})
	time.Sleep(time.Second)
	removed := time.Now()
	if w.trouble {
		for _, model := range models {
			w.record.printf("gone  the entry of %s was removed at revision %d", model.id, model.withdraw())
		}
		removed = time.Now()
	}
	time.Sleep(time.Until(removed.Add(servesOn)))
	if w.trouble {
		for _, model := range models {
			model.end()
			w.record.printf("end   %s ended", model.id)
		}
	}
	wg.Wait()
	late, lost := 0, 0
	for _, a := range answers {
		for _, r := range runsOf(models, a.ID) {
			if r.Began.Sub(removed) > drain+slack {
				late++
				if !a.Complete {
					lost++
				}
			}
		}
	}
	w.record.printf("%d requests reached model engines more than %.2f s after the acknowledged removal of their entries; %d of them got no complete answer", late, (drain + slack).Seconds(), lost)
	if w.trouble && late > 0 {
		w.record.breaks("DRAIN: %d requests reached an engine later than drainMs after it was gone, and %d of them were lost when it ended", late, lost)
	}
	return nil
}
