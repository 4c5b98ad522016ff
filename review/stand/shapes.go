package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Sizes of longEvents: the events of a stream grow by a byte each, from firstLine bytes in their longest line.
const (
	longEventCount = 40
	usualLine      = 100
	firstLine      = 1005
)

// longEvents lets the engines send streams whose events have lines of about a kilobyte, one byte longer in each event.
// Without trouble, the lines are of about 100 bytes.
func longEvents(w *world) error {
	models, _, err := w.startSmall()
	if err != nil {
		return err
	}
	first := usualLine
	if w.trouble {
		first = firstLine
	}
	for _, m := range models {
		m.shapeEvents(longEventCount, first)
	}
	const streams, deadline = 5, 20 * time.Second
	for i := range streams {
		a := w.send(w.daemons[i%len(w.daemons)].front(), http.MethodPost, "/draft/9", deadline, visitNotes)
		for _, m := range models {
			for _, r := range m.runsOf(a.ID) {
				w.judgeStream(a, r)
			}
		}
	}
	return nil
}

// judgeStream compares what a client got with what the engine sent.
func (w *world) judgeStream(a answer, r run) {
	sent, got := strings.Split(r.Sent, "\n\n"), strings.Split(a.Body, "\n\n")
	w.record.printf("the engine sent %d bytes in %d events, the client of %s got %d bytes in %d events, as complete: %t",
		len(r.Sent), len(sent)-1, a.ID, len(a.Body), len(got)-1, a.Complete)
	if !a.Complete || a.Status != http.StatusOK || a.Body == r.Sent {
		return
	}
	for i := range got {
		if i >= len(sent) || got[i] != sent[i] {
			w.record.printf("event %d as the client got it: %s", i+1, brief(got[i]))
			break
		}
	}
	w.record.breaks("MIXED and ORDER: the answer to %s is complete and signed, but not the engine's whole body: %d events were sent and %d arrived", a.ID, len(sent)-1, len(got)-1)
}

// brief shortens the long runs of one character in a text.
func brief(text string) string {
	return fmt.Sprintf("%q", strings.ReplaceAll(text, strings.Repeat("x", usualLine/2), "x.."))
}

// twoSlashes sends requests whose path begins with two slashes, on a route with the prefix "/".
func twoSlashes(w *world) error {
	w.rootRoute = true
	_, plain, err := w.startSmall()
	if err != nil {
		return err
	}
	path := "/visits/17?day=monday"
	if w.trouble {
		path = "/" + path
	}
	const requests, deadline = 5, 2500 * time.Millisecond
	for i := range requests {
		a := w.send(w.daemons[i%len(w.daemons)].front(), http.MethodPost, path, deadline, visitNotes)
		for _, r := range plain.runsOf(a.ID) {
			w.record.printf("%s was sent for %q and ran as %q at the host %q", a.ID, path, r.Path, r.Host)
			if r.Path != path {
				w.record.breaks("UNASKED: %s was sent for the path %q at %s and ran with %q at %s", a.ID, path, callersHost, r.Path, r.Host)
			}
		}
	}
	return nil
}
