package main

import (
	"net/http"
	"sync"
	"time"
)

// Times and sizes of largeChanges.
const (
	extraRoutes, changes, changeGap = 1888, 25, 80 * time.Millisecond
	cutLasts                        = 4 * time.Second
	watchedFor                      = 24 * time.Second
	// leavesAfter is when an engine leaves after the last change, and servesOn how long it goes on serving.
	leavesAfter, servesOn = time.Second, 6 * time.Second
	// applyLimit is configApplyMs and drainLimit is drainMs, each with half a second for what a loaded host adds.
	applyLimit, drainLimit = 2500 * time.Millisecond, 2500 * time.Millisecond
)

// largeChanges changes a large configuration 25 times in two seconds; the last change takes a key away. Just before, the
// machine that last wrote to the store under a condition is partitioned from the store. After the changes, one of two
// plain engines leaves. Clients book at the other machines, with the key that is taken away and with the other one.
func largeChanges(w *world) error {
	_, first, err := w.startSmall()
	if err != nil {
		return err
	}
	second, err := w.startEngine("i-5b91d0e7", "")
	if err != nil {
		return err
	}
	first.workLonger()
	second.workLonger()
	if err := w.configure([]string{apiKey, otherKey}, extraRoutes); err != nil {
		return err
	}
	// The configuration is in force, and the daemons were started over contactMs ago.
	time.Sleep(5 * time.Second)
	cut := ""
	if w.trouble {
		cut = w.store.cutLeader(cutLasts)
		w.record.printf("cut   %s is partitioned from the store", cut)
	}
	time.Sleep(100 * time.Millisecond)
	if err := w.changeOften(); err != nil {
		return err
	}
	b := &bookings{revokedAt: time.Now()}
	b.send(w, second, cut)
	b.judge(w.record, second)
	return nil
}

// changeOften changes the configuration again and again; the last change takes apiKey away.
func (w *world) changeOften() error {
	keys := []string{apiKey, otherKey}
	for i, began := 0, time.Now(); i < changes; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * changeGap)))
		if i == changes-1 {
			keys = []string{otherKey}
		}
		if err := w.configure(keys, extraRoutes); err != nil {
			return err
		}
	}
	return nil
}

// bookings are those of largeChanges: with the key that was taken away, and with the one that stays.
type bookings struct {
	revokedAt, removedAt time.Time

	mu          sync.Mutex
	taken, kept []answer
}

// send books at all machines but the one that is cut off. Meanwhile, an engine leaves.
func (b *bookings) send(w *world, leaving *engine, cut string) {
	var wg sync.WaitGroup
	for i := 0; time.Since(b.revokedAt) < watchedFor; i++ {
		if b.removedAt.IsZero() && time.Since(b.revokedAt) > leavesAfter {
			at := leaving.withdraw()
			b.removedAt = time.Now()
			w.record.printf("gone  the entry of %s was removed at revision %d", leaving.id, at)
			time.AfterFunc(servesOn, leaving.end)
		}
		d := w.daemons[i%len(w.daemons)]
		if d.name == cut {
			continue
		}
		wg.Go(func() {
			taken := w.sendWithKey(apiKey, d.front(), http.MethodPost, "/book/5", 2500*time.Millisecond, visitNotes)
			kept := w.sendWithKey(otherKey, d.front(), http.MethodPost, "/book/6", 2500*time.Millisecond, visitNotes)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.taken, b.kept = append(b.taken, taken), append(b.kept, kept)
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
}

func (b *bookings) judge(rec *record, leaving *engine) {
	served, latest := 0, time.Duration(0)
	for _, a := range b.taken {
		if after := a.SentAt.Sub(b.revokedAt); a.Status == http.StatusOK && after > applyLimit {
			served, latest = served+1, max(latest, after)
		}
	}
	late, lost := 0, 0
	for _, a := range append(b.taken, b.kept...) {
		for _, r := range leaving.runsOf(a.ID) {
			if r.Began.Sub(b.removedAt) <= drainLimit {
				continue
			}
			late++
			if a.Status != http.StatusOK {
				lost++
			}
		}
	}
	rec.printf("%d bookings with the key that was taken away ran later than configApplyMs after the acknowledgement, the last %.1f s after it", served, latest.Seconds())
	rec.printf("%d bookings reached %s later than drainMs after it was gone, and %d of them were lost", late, leaving.id, lost)
	if served > 0 {
		rec.breaks("CONFIG: %d bookings ran with a key that had been taken away, the last %.1f s after the acknowledgement; besides, %d bookings reached an engine that was gone, and %d were lost", served, latest.Seconds(), late, lost)
	}
}
