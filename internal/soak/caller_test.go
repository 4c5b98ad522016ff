package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// Kinds of requests. Each is the first segment of the request path.
const (
	kindStream  = "draft"
	kindBooking = "book"
	kindLookup  = "read"
)

const (
	// deadline is the time that callers allow a request.
	deadline = 5 * time.Second
	// callerTimeout is when a caller without a complete response disconnects.
	callerTimeout = 2 * deadline
	// thinkTime is the mean pause between a caller's requests.
	thinkTime = 40 * time.Millisecond
	// readyInterval is the pause between readiness probes. Two failed probes in a row take a
	// daemon out.
	readyInterval = 250 * time.Millisecond
	readyTimeout  = 200 * time.Millisecond
	// reconnectShare is the share of requests after which a caller picks a new daemon although
	// its connection works.
	reconnectShare = 0.1
)

// request is a request of a caller with its response. KeyNumber is the number of the API key
// used, Daemon the index of the daemon.
type request struct {
	ID        string
	Kind      string
	Team      string
	KeyNumber int
	Daemon    int
	// LengthHint is the caller's estimate of the length of the answer; empty if it gave none.
	LengthHint string
	// Process is the number of the daemon's process when the request was sent, EndProcess when
	// it ended.
	Process, EndProcess int
	SentAt, EndedAt     time.Time
	// Code is the status, or 0 without a response.
	Code   int
	Header http.Header
	Body   string
	// Complete is set if the response body ended as its framing says.
	Complete bool
	Err      error
}

// callers generates the load and records all requests with their responses.
type callers struct {
	daemons []*daemon
	// newestKey returns the number of the newest API key that must already be in force.
	newestKey func() int

	mu       sync.Mutex
	ready    []bool
	recorded []request
	lastID   int
}

// watchReady probes the readiness of all daemons, as the platform's balancer does.
func (c *callers) watchReady(ctx context.Context) {
	client := http.Client{Timeout: readyTimeout}
	failedProbes := make([]int, len(c.daemons))
	for ctx.Err() == nil {
		for i, d := range c.daemons {
			failedProbes[i]++
			if resp, err := client.Get(d.readyURL()); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					failedProbes[i] = 0
				}
			}
			c.mu.Lock()
			c.ready[i] = failedProbes[i] < 2
			c.mu.Unlock()
		}
		time.Sleep(readyInterval)
	}
}

// pickDaemon returns the index of a random ready daemon, or of any daemon if none is ready.
func (c *callers) pickDaemon(rnd *rand.Rand) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := rnd.IntN(len(c.ready))
	for i := range c.ready {
		if at := (first + i) % len(c.ready); c.ready[at] {
			return at
		}
	}
	return first
}

// run sends random requests of one caller, which reuses its connection as long as it works.
func (c *callers) run(ctx context.Context, rnd *rand.Rand) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	daemonIndex := c.pickDaemon(rnd)
	for ctx.Err() == nil {
		kind := []string{kindStream, kindStream, kindBooking, kindLookup}[rnd.IntN(4)]
		team := []string{"north", "south"}[rnd.IntN(2)]
		r := c.send(transport, daemonIndex, request{Kind: kind, Team: team, KeyNumber: c.newestKey(), LengthHint: drawHint(rnd)})
		if r.Err != nil || !r.Complete || rnd.Float64() < reconnectShare {
			transport.CloseIdleConnections()
			daemonIndex = c.pickDaemon(rnd)
		}
		time.Sleep(time.Duration(rnd.ExpFloat64() * float64(thinkTime)))
	}
}

// send sends one request to a daemon and records it.
func (c *callers) send(transport http.RoundTripper, daemonIndex int, r request) request {
	d := c.daemons[daemonIndex]
	c.mu.Lock()
	c.lastID++
	r.ID, r.Daemon = fmt.Sprintf("q%d", c.lastID), daemonIndex
	c.mu.Unlock()
	r.Process = d.currentProcess()
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r.SentAt = time.Now()
	r.Err = r.roundTrip(ctx, transport, d.callerLink.address())
	r.EndedAt = time.Now()
	r.EndProcess = d.currentProcess()
	c.mu.Lock()
	c.recorded = append(c.recorded, r)
	c.mu.Unlock()
	return r
}

// roundTrip sends the request and reads the response into r.
func (r *request) roundTrip(ctx context.Context, transport http.RoundTripper, address string) error {
	req, err := fakes.Call{
		ID: r.ID, Method: r.method(), Path: r.path(), Body: r.requestBody(), Key: apiKey(r.Team, r.KeyNumber), Timeout: deadline, LengthHint: r.LengthHint,
	}.Request(ctx, address)
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	r.Code, r.Header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	r.Body, r.Complete = string(body), err == nil
	return err
}

func (r *request) method() string {
	if r.Kind == kindLookup {
		return http.MethodGet
	}
	return http.MethodPost
}

func (r *request) path() string { return "/" + r.Kind + "/" + r.ID + "?n=" + r.ID }

func (r *request) requestBody() string {
	if r.Kind == kindLookup {
		return ""
	}
	return "text of " + r.ID
}

// apiKey returns a team's API key with a number.
func apiKey(team string, number int) string { return fmt.Sprintf("%s-%d", team, number) }

// records returns the requests recorded so far.
func (c *callers) records() []request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]request(nil), c.recorded...)
}
