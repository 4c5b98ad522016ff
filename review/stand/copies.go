package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// shedAnswer is the answer of an engine that is full, as the platform's examples of messages have it.
const shedAnswer = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// maxCopyShare is the largest share of an engine's answers of which it sends a second copy.
const maxCopyShare = 0.03

// extraCopies sends second copies of the answers of an engine that is full, late: where the next answer is expected on the
// connection.
type extraCopies struct {
	mu sync.Mutex
	// answers counts the engine's answers, and copies the second copies.
	answers, copies int
	// shedOn holds the connections whose last answer said that the engine is full.
	shedOn map[net.Conn]bool
}

// noteShed records that a connection's last answer said that the engine is full.
func (x *extraCopies) noteShed(r *http.Request) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.shedOn[r.Context().Value(connKey{}).(net.Conn)] = true
}

// send sends a second copy of the last answer on a request's connection if the engine's share of copies allows it.
func (x *extraCopies) send(r *http.Request, e *engine) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answers++
	conn := r.Context().Value(connKey{}).(net.Conn)
	shed := x.shedOn[conn]
	delete(x.shedOn, conn)
	if !shed || float64(x.copies+1) > maxCopyShare*float64(x.answers) {
		return
	}
	x.copies++
	id := r.Header.Get("Request-Id")
	e.record.printf("copy  %s sends its last answer once more, where that to %s is expected; %d copies of %d answers", e.id, id, x.copies, x.answers)
	_, _ = io.WriteString(conn, shedAnswer)
}

// enter takes a slot, and reports whether there was one.
func (e *engine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active >= e.slots {
		return false
	}
	e.active++
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
}

// isFirst reports whether the engine holds the first layer, so that requests begin there.
func (e *engine) isFirst() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.from == 0 && e.to > 0
}

// shed answers that the engine is full.
func (e *engine) shed(w http.ResponseWriter, r *http.Request) {
	e.record.printf("full  %s at %s", r.Header.Get("Request-Id"), e.id)
	e.extra.noteShed(r)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// secondCopies lets one of five model engines, a first one of chains, send second copies of a few answers. Clients ask in
// bursts for streams that may not be repeated, so that the engines are full at times.
func secondCopies(w *world) error {
	const settle, bursts, perBurst, pause, timeout = 6 * time.Second, 60, 5, 600 * time.Millisecond, 5 * time.Second
	w.modelSlots, w.onceRoute = 4, true
	models, _, err := w.startSmall()
	if err != nil {
		return err
	}
	for _, id := range []string{"i-2d44c0aa", "i-c0aa2d44"} {
		more, err := w.startEngine(id, "a100")
		if err != nil {
			return err
		}
		models = append(models, more)
	}
	time.Sleep(settle)
	firsts := 0
	for _, m := range models {
		if m.isFirst() {
			firsts++
		}
	}
	w.record.printf("%d of %d engines hold the first layer", firsts, len(models))
	if w.trouble {
		for _, m := range models {
			if m.isFirst() {
				m.mu.Lock()
				m.extra = &extraCopies{shedOn: map[net.Conn]bool{}}
				m.mu.Unlock()
				break
			}
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for range bursts {
		for _, d := range w.daemons {
			for range perBurst {
				wg.Go(func() {
					a := w.send(d.front(), http.MethodPost, "/once/3", timeout, visitNotes)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, a)
				})
			}
		}
		time.Sleep(pause)
	}
	wg.Wait()
	for _, a := range answers {
		runs := 0
		for _, m := range models {
			runs += len(m.runsOf(a.ID))
		}
		switch {
		case runs > 1:
			w.record.breaks("TWICE: %s, which may not be repeated, ran %d times", a.ID, runs)
		case runs == 1 && a.Status == http.StatusServiceUnavailable:
			w.record.breaks("REFUSED: %s was answered 503 and has run", a.ID)
		}
	}
	return nil
}
