package main

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// startSmall starts three model engines, which hold the whole model together, one plain engine and the daemons, and waits
// until requests of both services are served at each daemon.
func (w *world) startSmall() (models []*engine, plain *engine, err error) {
	if err = w.configure([]string{apiKey}, 0); err != nil {
		return nil, nil, err
	}
	for _, id := range []string{"i-7f3a91c2", "i-91c27f3a", "i-c27f3a91"} {
		model, err := w.startEngine(id, "a100")
		if err != nil {
			return nil, nil, err
		}
		models = append(models, model)
	}
	if plain, err = w.startEngine("i-02d9e6b4", ""); err != nil {
		return nil, nil, err
	}
	if err = w.startDaemons(); err != nil {
		return nil, nil, err
	}
	for _, d := range w.daemons {
		served := eventually(20*time.Second, func() bool {
			return w.send(d.front(), http.MethodPost, "/draft/1", 20*time.Second, "hello").Complete &&
				w.send(d.front(), http.MethodGet, "/read/1", 2*time.Second, "").Status == http.StatusOK
		})
		if !served {
			return nil, nil, errors.New("the deployment serves no requests at the start")
		}
	}
	return models, plain, nil
}

// runsOf returns the runs of a request at any of some engines.
func runsOf(engines []*engine, id string) []run {
	var runs []run
	for _, e := range engines {
		runs = append(runs, e.runsOf(id)...)
	}
	return runs
}

// shape sets the length of the streams of model engines.
func shape(engines []*engine, events int, interval time.Duration) {
	for _, e := range engines {
		e.mu.Lock()
		e.events, e.eventInterval = events, interval
		e.mu.Unlock()
	}
}

// visitNotes is the body of a request.
const visitNotes = "Visit notes of the household at the end of the road: nobody at home, come again on Monday.\n"

// lateRequest stops a daemon as planned. A client connects 1.9 s later, while the balancer may still send it there,
// and the second half of its request's body comes 1.5 s after the first.
func lateRequest(w *world) error {
	models, _, err := w.startSmall()
	if err != nil {
		return err
	}
	const connectAfter, bodyTime, deadline = 1900 * time.Millisecond, 1500 * time.Millisecond, 20 * time.Second
	shape(models, 50, 100*time.Millisecond)
	d := w.daemons[0]
	began := time.Now()
	if w.trouble {
		d.signal(syscall.SIGTERM)
	}
	time.Sleep(connectAfter)
	id, text := requestText(apiKey, http.MethodPost, "/draft/2", int(deadline.Milliseconds()), visitNotes)
	conn, err := net.DialTimeout("tcp", d.front(), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	cut := len(text) - len(visitNotes)/2
	a := w.exchange(conn, id, http.MethodPost, deadline, []string{text[:cut], text[cut:]}, bodyTime)
	w.record.printf("the last byte was sent %.2f s after the signal, and the answer ended %.2f s after it", a.SentAt.Sub(began).Seconds(), a.EndedAt.Sub(began).Seconds())
	runs := runsOf(models, id)
	switch {
	case len(runs) > 0 && !a.Complete && a.EndedAt.Sub(began) < 9*time.Second:
		w.record.breaks("LOST: request %s was sent %.2f s after SIGTERM, was passed on to %s and got no complete answer", id, a.SentAt.Sub(began).Seconds(), runs[0].Server)
	case len(runs) == 0 && a.Status == 0 && a.EndedAt.Sub(a.SentAt) > 200*time.Millisecond:
		w.record.breaks("LOST: request %s was held for %.2f s and its connection closed without an answer", id, a.EndedAt.Sub(a.SentAt).Seconds())
	}
	return nil
}
