package drive

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// maxProxyTries is how many other daemons may begin to serve a request.
	maxProxyTries = 3
	// proxySearchTimeout is how long a daemon is looked for that takes a request. When many daemons are cut off at
	// once, it takes an exchange with the hub until it is known which of them reach the servers.
	proxySearchTimeout = time.Second
	// proxySearchInterval is the time between two looks.
	proxySearchInterval = 25 * time.Millisecond
	// proxyHeartbeatInterval is how often a daemon sends a frame for a request of another daemon at least, and
	// proxySilenceTimeout how long that daemon waits for one.
	proxyHeartbeatInterval = 400 * time.Millisecond
	proxySilenceTimeout    = 1500 * time.Millisecond
	// proxyDeadlineSlack is how long after a request's deadline the daemon that serves it may still say how it ended.
	proxyDeadlineSlack = 100 * time.Millisecond
	// proxyRefusedPause is how long no requests are sent to a daemon that refused one because it reaches the servers
	// no better, or that did not answer.
	proxyRefusedPause = 500 * time.Millisecond
	// maxProxiedRequests bounds the requests of other daemons that are in progress here, and maxProxiedBytes the bytes
	// of their bodies.
	maxProxiedRequests = 1000
	maxProxiedBytes    = 32 << 20
)

// ProxyRequest is a caller's request that another daemon admitted and cannot send to the servers. The other daemon has
// applied the settings: the receiver only runs the request on the service's servers. Times are relative, as daemons'
// clocks differ.
type ProxyRequest struct {
	ID         string      `cbor:"1,keyasint"`
	Method     string      `cbor:"2,keyasint"`
	Target     string      `cbor:"3,keyasint"`
	Host       string      `cbor:"4,keyasint"`
	Header     http.Header `cbor:"5,keyasint,omitempty"`
	Body       []byte      `cbor:"6,keyasint,omitempty"`
	Team       model.Team  `cbor:"7,keyasint,omitempty"`
	Priority   int         `cbor:"8,keyasint,omitempty"`
	AtMostOnce bool        `cbor:"9,keyasint,omitempty"`
	Service    string      `cbor:"10,keyasint"`
	// Streamed is set for a request to model engines.
	Streamed     bool     `cbor:"11,keyasint,omitempty"`
	PromptTokens int      `cbor:"12,keyasint,omitempty"`
	MaxTokens    int      `cbor:"13,keyasint,omitempty"`
	Parts        []uint64 `cbor:"14,keyasint,omitempty"`
	// From is the position of the first event to send.
	From int `cbor:"15,keyasint,omitempty"`
	// MaxAttempts is how many servers the request may still be sent to, at least 1.
	MaxAttempts int `cbor:"16,keyasint"`
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration `cbor:"17,keyasint"`
	// TargetLatency is the target latency of the route.
	TargetLatency time.Duration `cbor:"18,keyasint,omitempty"`
	// Route is the name of the route, for the log.
	Route string `cbor:"19,keyasint,omitempty"`
	// LengthHint is the caller's estimate of the tokens of the answer; 0 if it gave none.
	LengthHint int `cbor:"20,keyasint,omitempty"`
}

// ProxyFrame is one part of the answer to a ProxyRequest. A frame without any field shows that the request is in
// progress. Answer, Failure and Complete end the answer.
type ProxyFrame struct {
	Head     *ProxyHead     `cbor:"1,keyasint,omitempty"`
	Events   []string       `cbor:"2,keyasint,omitempty"`
	Answer   *engine.Answer `cbor:"3,keyasint,omitempty"`
	Failure  *ProxyFailure  `cbor:"4,keyasint,omitempty"`
	Complete bool           `cbor:"5,keyasint,omitempty"`
}

// ProxyHead is the head of a streamed answer.
type ProxyHead struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
}

// ProxyFailure is a verdt.Error. RetryAfter is the time until RetryAt; 0 if there is none.
type ProxyFailure struct {
	Verdict    verdt.Verdict `cbor:"1,keyasint"`
	Reason     verdt.Reason  `cbor:"2,keyasint"`
	Message    string        `cbor:"3,keyasint"`
	Server     string        `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
}

// failure returns the failure as of now.
func (f *ProxyFailure) failure(now time.Time) *verdt.Error {
	failure := verdt.New(f.Verdict, f.Reason, f.Message, verdt.Server(f.Server))
	if f.RetryAfter > 0 {
		failure.RetryAt = now.Add(f.RetryAfter)
	}
	return failure
}

// newProxyFailure returns a failure with relative times.
func newProxyFailure(now time.Time, f *verdt.Error) *ProxyFailure {
	out := &ProxyFailure{Verdict: f.Verdict, Reason: f.Reason, Message: f.Message, Server: f.Server}
	if !f.RetryAt.IsZero() {
		out.RetryAfter = max(time.Millisecond, f.RetryAt.Sub(now))
	}
	return out
}

// ProxyStream is the answer to a ProxyRequest.
type ProxyStream interface {
	// Next returns the next frame, and fails if there is none until the deadline. The last frame ends the answer.
	Next(deadline time.Time) (ProxyFrame, error)
	// Close ends the request at the other daemon unless the answer has ended.
	Close()
}

// ProxyClient sends requests to other daemons.
type ProxyClient interface {
	// OpenProxy sends a request to the daemon at an address. If it fails, the daemon does not run the request.
	OpenProxy(ctx context.Context, address string, q ProxyRequest) (ProxyStream, error)
}

// proxies holds the daemons that serve what this one does not reach.
type proxies struct {
	client ProxyClient

	mu        sync.Mutex
	addresses []string
	// pausedUntil holds the daemons that refused a request, and inProgress the requests in progress at each; both by
	// address, guarded by mu.
	pausedUntil map[string]time.Time
	inProgress  map[string]int
}

func newProxies() *proxies {
	return &proxies{pausedUntil: map[string]time.Time{}, inProgress: map[string]int{}}
}

// set replaces the addresses and reports whether there are any now.
func (p *proxies) set(addresses []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
	return len(addresses) > 0 && p.client != nil
}

// take returns the address with the fewest requests in progress of those that were not tried, and counts one more
// there; empty if there is none now. It returns false if no daemon is known that could serve the request.
func (p *proxies) take(now time.Time, tried []string) (address string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := ""
	for _, i := range rand.Perm(len(p.addresses)) {
		address := p.addresses[i]
		if slices.Contains(tried, address) || now.Before(p.pausedUntil[address]) {
			continue
		}
		if best == "" || p.inProgress[address] < p.inProgress[best] {
			best = address
		}
	}
	if best != "" {
		p.inProgress[best]++
	}
	return best, len(p.addresses) > 0
}

// release counts the end of a request at an address. refused is set if the daemon cannot serve others either.
func (p *proxies) release(now time.Time, address string, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress[address]--; p.inProgress[address] <= 0 {
		delete(p.inProgress, address)
	}
	for other, until := range p.pausedUntil {
		if !now.Before(until) {
			delete(p.pausedUntil, other)
		}
	}
	if refused {
		p.pausedUntil[address] = now.Add(proxyRefusedPause)
	}
}
