package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and numbers of newStream.
const (
	// noteEvents and noteInterval shape the streams of the plain service: 3 s, with pauses far below gapTargetMs.
	noteEvents, noteInterval = 30, 100 * time.Millisecond
	// appliedAfter is when clients use the new route, after its version was acknowledged.
	appliedAfter = 3 * time.Second
	// patience is the gap after which clients abandon a stream, also before its first event: two seconds, four
	// times the objective or eight times the pause of the route, which are all the same here.
	patience = 2 * time.Second
	// eachSends is how many requests of each kind are sent at each daemon, and atOnce how many at a time.
	eachSends, atOnce = 20, 2
	// leastShare is the share of the rate of the first routes below which the rule is broken, and leastRequests the number
	// of requests from which on it holds.
	leastShare, leastRequests = 0.25, 20
)

// newStream adds a streaming route to the plain service, and sends requests on it and on the first routes at all daemons.
func newStream(w *world) error {
	_, plain, err := w.startSmall()
	if err != nil {
		return err
	}
	plain.mu.Lock()
	plain.events, plain.eventInterval = noteEvents, noteInterval
	plain.mu.Unlock()
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.noteRoute = true
		if err := w.configure([]string{apiKey}, 0); err != nil {
			return err
		}
	}
	time.Sleep(appliedAfter)
	first, firstServed := w.sendOften("/draft/9")
	added, addedServed := w.sendOften("/note/9")
	w.record.printf("of %d requests on a first route %d were served, of %d on the one that was added %d", first, firstServed, added, addedServed)
	if added >= leastRequests && float64(addedServed)/float64(added) < leastShare*float64(firstServed)/float64(first) {
		w.record.breaks("CONFIG: of %d requests on a route that was added later %d were served, of %d on a first route %d", added, addedServed, first, firstServed)
	}
	return nil
}

// sendOften sends requests for a stream at all daemons. It returns how many had a route, and how many of them were served.
func (w *world) sendOften(path string) (sent, served int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, d := range w.daemons {
		for range atOnce {
			wg.Go(func() {
				for range eachSends / atOnce {
					status, complete := w.readStream(d.front(), path)
					mu.Lock()
					if status != http.StatusNotFound {
						sent++
					}
					if complete {
						served++
					}
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return sent, served
}

// readStream sends a request for a stream on a new connection, and reads it until its end or until nothing has come for
// patience. status is 0 if there was no answer.
func (w *world) readStream(address, path string) (status int, complete bool) {
	id, text := requestText(apiKey, http.MethodPost, path, 20000, visitNotes)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, false
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, false
	}
	began, events := time.Now(), 0
	w.record.printf("sent  %s", id)
	_ = conn.SetReadDeadline(began.Add(patience))
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		w.record.printf("got   %s: no answer after %.2f s: %v", id, time.Since(began).Seconds(), err)
		return 0, false
	}
	lines := bufio.NewReader(resp.Body)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			events++
		}
		if err != nil {
			complete = err == io.EOF && resp.StatusCode == http.StatusOK && resp.Header.Get("Response-Signature") != ""
			w.record.printf("got   %s: status %d, %d events, complete %t, after %.2f s", id, resp.StatusCode, events, complete, time.Since(began).Seconds())
			return resp.StatusCode, complete
		}
	}
}
