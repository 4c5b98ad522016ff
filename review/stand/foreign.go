package main

import (
	"fmt"
	"net"
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
		w.record.printf("no daemon gives %s the layers that were lost", last.id)
	}
	plain.workLonger()
	return w.stopAndBook(w.daemons[0], plain)
}

// keptConns is the number of connections that clients keep open over the planned stop.
const keptConns = 100

// stopAndBook stops a daemon as planned, with SIGKILL after graceS. Clients have kept their connections from bookings just
// before, and book again on them, one after the other, from 3 s after the SIGTERM on.
func (w *world) stopAndBook(d *daemon, plain *engine) error {
	const grace, first, pause, timeout = 8 * time.Second, 3 * time.Second, 50 * time.Millisecond, 2500 * time.Millisecond
	book := func(conn net.Conn) answer {
		id, text := requestText(apiKey, http.MethodPost, "/book/8", int(timeout.Milliseconds()), visitNotes)
		return w.exchange(conn, id, http.MethodPost, timeout, []string{text}, 0)
	}
	var conns []net.Conn
	for range keptConns {
		conn, err := net.DialTimeout("tcp", d.front(), time.Second)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	var wg sync.WaitGroup
	for _, conn := range conns {
		wg.Go(func() { book(conn) })
	}
	wg.Wait()
	began := time.Now()
	d.signal(syscall.SIGTERM)
	var mu sync.Mutex
	var answers []answer
	for i, conn := range conns {
		wg.Go(func() {
			time.Sleep(first + time.Duration(i)*pause)
			a := book(conn)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	select {
	case <-d.exited:
	case <-time.After(time.Until(began.Add(grace))):
		w.record.printf("%s hangs: it has not ended within graceS after SIGTERM", d.name)
		d.signal(syscall.SIGKILL)
	}
	wg.Wait()
	lost := 0
	for _, a := range answers {
		if sent := a.SentAt.Sub(began); !a.SentAt.IsZero() && !a.Complete && len(plain.runsOf(a.ID)) > 0 {
			lost++
			w.record.printf("lost  booking %s, sent %.2f s after SIGTERM, ran and got no answer", a.ID, sent.Seconds())
		}
	}
	if lost > 0 {
		w.record.breaks("LOST: %s read %d bookings on kept connections later than 3 s after SIGTERM, passed them on and did not answer them", d.name, lost)
	}
	return nil
}
