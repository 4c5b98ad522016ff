package main

import (
	"net/http"
	"time"
)

// strangerKey is a key that no configuration holds.
const strangerKey = "k-stranger-9"

// lastKey takes the only tenant's only key away. Clients book with that key, with one that no configuration ever held and
// without any, later than configApplyMs after the acknowledgement.
func lastKey(w *world) error {
	_, plain, err := w.startSmall()
	if err != nil {
		return err
	}
	const settle, waits, timeout, rounds = 4 * time.Second, 3 * time.Second, 2500 * time.Millisecond, 3
	time.Sleep(settle)
	if w.trouble {
		if err := w.configure(nil, 0); err != nil {
			return err
		}
	}
	time.Sleep(waits)
	taken, never := 0, 0
	for range rounds {
		for _, d := range w.daemons {
			for _, key := range []string{apiKey, strangerKey, ""} {
				a := w.sendWithKey(key, d.front(), http.MethodPost, "/book/4", timeout, visitNotes)
				runs := len(plain.runsOf(a.ID))
				w.record.printf("%s at %s with the key %q: status %d, %d runs", a.ID, d.name, key, a.Status, runs)
				switch {
				case runs == 0:
				case key == apiKey:
					taken++
				default:
					never++
				}
			}
		}
	}
	if never > 0 {
		w.record.breaks("ROUTE: %d bookings ran whose key no configuration ever held", never)
	}
	if w.trouble && taken > 0 {
		w.record.breaks("CONFIG: %d bookings ran with a key that had been taken away over %s before", taken, waits)
	}
	return nil
}
