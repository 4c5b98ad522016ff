package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

// kind is a kind of request.
type kind struct {
	name, method, prefix, usage string
	deadline                    time.Duration
}

var (
	drafts   = kind{name: "draft", method: http.MethodPost, prefix: "/draft/", usage: "760,172", deadline: 20 * time.Second}
	bookings = kind{name: "book", method: http.MethodPost, prefix: "/book/", deadline: 2500 * time.Millisecond}
	lookups  = kind{name: "read", method: http.MethodGet, prefix: "/read/", deadline: 2500 * time.Millisecond}
)

// outcome is how one request ended: the last status, and whether it was a whole answer of a server.
type outcome struct {
	kind, tenant string
	status       int
	served       bool
	sentAt       time.Time
	took         time.Duration
}

// clients sends requests and collects their outcomes.
type clients struct {
	rig    *rig
	client *http.Client
	lastID atomic.Int64
	wg     sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

func newClients(r *rig) *clients {
	return &clients{rig: r, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request of a kind to a daemon, once more on a new connection if it was refused as not run and the client is
// told when to come back within a third of its time.
func (c *clients) send(d *daemon, k kind, tenant string) {
	sentAt := time.Now()
	end := sentAt.Add(k.deadline)
	status, served, retryAfter := c.attempt(d, k, tenant, end)
	if status == http.StatusServiceUnavailable && retryAfter <= time.Until(end)/3 {
		time.Sleep(retryAfter)
		status, served, _ = c.attempt(d, k, tenant, end)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, outcome{kind: k.name, tenant: tenant, status: status, served: served, sentAt: sentAt, took: time.Since(sentAt)})
}

// attempt sends one attempt of a request and reads its answer.
func (c *clients) attempt(d *daemon, k kind, tenant string, end time.Time) (status int, served bool, retryAfter time.Duration) {
	id := fmt.Sprintf("%016x", c.lastID.Add(1))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var body io.Reader
	if k.method == http.MethodPost {
		body = bytes.NewReader([]byte(strings.Repeat("x", 600)))
	}
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+d.address()+k.prefix+id, body)
	if err != nil {
		return 0, false, 0
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer key-"+tenant)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	if k.usage != "" {
		req.Header.Set("Model", "m0")
		req.Header.Set("Token-Usage", k.usage)
	}
	sentAt := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		c.rig.note("%s %s of %s at %s: %s", k.name, id, tenant, d.name, reason(err))
		return 0, false, 0
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	served = err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("Response-Signature") != "" && len(answer) > 0
	if served && k.usage != "" {
		served = strings.Contains(string(answer), "of "+id)
	}
	seconds := 0.0
	_, _ = fmt.Sscanf(resp.Header.Get("Retry-After"), "%g", &seconds)
	c.rig.note("%s %s of %s at %s: %d after %d ms, %d bytes, whole %t, Retry-After %q", k.name, id, tenant, d.name, resp.StatusCode,
		time.Since(sentAt).Milliseconds(), len(answer), err == nil, resp.Header.Get("Retry-After"))
	return resp.StatusCode, served, time.Duration(seconds * float64(time.Second))
}

func reason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer by the deadline"
	}
	return err.Error()
}

// flow sends requests of a kind to all daemons in turn, with a pause between two, until a time.
func (c *clients) flow(k kind, tenant string, pause time.Duration, until time.Time) {
	c.wg.Go(func() {
		for i := 0; time.Now().Before(until); i++ {
			d := c.rig.daemons[i%len(c.rig.daemons)]
			c.wg.Go(func() { c.send(d, k, tenant) })
			time.Sleep(pause)
		}
	})
}

// tally returns how many of the requests that match were sent and served.
func (c *clients) tally(match func(outcome) bool) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outcomes {
		if match(o) {
			sent++
			if o.served {
				served++
			}
		}
	}
	return sent, served
}
