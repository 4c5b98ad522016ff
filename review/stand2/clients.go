package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Limits of clients, as the pages state them.
const (
	// deadline is how long a client waits in all.
	deadline = 20 * time.Second
	// patience is how long it waits for the next event.
	patience = 2 * time.Second
	// maxTries is how often it sends its request.
	maxTries = 3
	// retryPause is how long it waits after a broken connection.
	retryPause = 1200 * time.Millisecond
)

// client is a client with one stream, which it resumes if its connection breaks.
type client struct {
	rig    *rig
	number int
	// events is the number of events that it has, and complete is set once it has all.
	events   int
	complete bool
}

// run sends the request until the stream is complete.
func (c *client) run() {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	for try := 1; try <= maxTries && !c.complete && ctx.Err() == nil; try++ {
		if try > 1 {
			time.Sleep(retryPause)
		}
		c.send(ctx, try)
	}
}

// send sends the request once, each time to another daemon.
func (c *client) send(ctx context.Context, try int) {
	id := fmt.Sprintf("c%03d-%d", c.number, try)
	d := c.rig.daemons[(c.number+try)%len(c.rig.daemons)]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	until, _ := ctx.Deadline()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front()+"/draft/x", strings.NewReader(fmt.Sprintf("draft a roster for team %d", c.number)))
	if err != nil {
		return
	}
	req.Host = host
	for name, value := range map[string]string{
		"Request-Id": id, "Model": "m0", "Token-Usage": "760,260", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:720", c.number+1),
		"Deadline-Ms": strconv.FormatInt(time.Until(until).Milliseconds(), 10),
	} {
		req.Header.Set(name, value)
	}
	if c.events > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(c.events))
	}
	c.rig.sent.add(id, d.name)
	left := time.AfterFunc(patience, cancel)
	defer left.Stop()
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		c.rig.record.add("%s to %s: no answer: %v", id, d.name, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			left.Reset(patience)
			c.events++
		}
	}
	c.complete = resp.StatusCode == http.StatusOK && lines.Err() == nil
	c.rig.record.add("%s to %s: status %d, %d events in all, complete %t, %v", id, d.name, resp.StatusCode, c.events, c.complete, lines.Err())
}
