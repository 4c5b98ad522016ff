package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// entryExpiry is how long after an engine's crash its entry is removed: three heartbeats.
const entryExpiry = 3600 * time.Millisecond

// replace crashes an engine and starts another one in its place, which has no layers yet.
func (w *world) replace(old *engine, id string) (*engine, error) {
	old.end()
	w.record.printf("end   %s crashed", old.id)
	time.Sleep(entryExpiry)
	old.withdraw()
	return w.startEngine(id, "a100")
}

// foreignEntry lets another writer put an entry that lacks fields and has layers that the model does not have. Then an
// engine crashes, and another one comes in its place. Last, a daemon is stopped as planned.
func foreignEntry(w *world) error {
	models, plain, err := w.startSmall()
	if err != nil {
		return err
	}
	if w.trouble {
		entry := fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:9","state":"ready","routeType":"a100","layers":{"source":80,"target":96}}`, modelService)
		w.record.printf("entry of another writer at revision %d: %s", w.store.put("servers/i-4e0d52b7", []byte(entry)), entry)
	}
	time.Sleep(12 * time.Second)
	last, err := w.replace(models[1], "i-0aa91e6f")
	if err != nil {
		return err
	}
	served := eventually(15*time.Second, func() bool {
		a := w.send(w.daemons[0].front(), http.MethodPost, "/draft/5", 5*time.Second, visitNotes)
		return a.Complete && a.Status == http.StatusOK
	})
	w.record.printf("streams are served after the crashes: %t", served)
	if !served {
		w.record.breaks("no daemon gives %s the layers that were lost, and no stream is served any more", last.id)
	}
	plain.workLonger()
	w.stopAndBook(w.daemons[0], plain)
	return nil
}

// stopAndBook stops a daemon as planned, with SIGKILL after graceS, while a client sends it bookings.
func (w *world) stopAndBook(d *daemon, plain *engine) {
	const grace, pause, late = 8 * time.Second, 100 * time.Millisecond, 3 * time.Second
	began := time.Now()
	d.signal(syscall.SIGTERM)
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for time.Since(began) < grace {
		wg.Go(func() {
			a := w.send(d.front(), http.MethodPost, "/book/8", 2500*time.Millisecond, visitNotes)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(pause)
	}
	select {
	case <-d.exited:
	default:
		w.record.printf("%s hangs: it has not ended within graceS after SIGTERM", d.name)
		d.signal(syscall.SIGKILL)
	}
	wg.Wait()
	lost := 0
	for _, a := range answers {
		if sent := a.SentAt.Sub(began); sent > late && !a.Complete && len(plain.runsOf(a.ID)) > 0 {
			lost++
			w.record.printf("lost  booking %s, sent %.2f s after SIGTERM, ran and got no answer", a.ID, sent.Seconds())
		}
	}
	if lost > 0 {
		w.record.breaks("LOST: %s took %d bookings later than 3 s after SIGTERM, passed them on and did not answer them", d.name, lost)
	}
}
