package boot

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// pathMode is the state of a daemon's path to backend servers.
type pathMode int

const (
	// pathOpen lets everything through.
	pathOpen pathMode = iota
	// pathHangs holds up what is sent on open connections, and new connections get no answer.
	pathHangs
	// pathResets ends open connections and refuses new ones.
	pathResets
	// pathRefusesNew leaves open connections alone and refuses new ones.
	pathRefusesNew
)

// serverPath is the network path between one daemon and some backend servers.
type serverPath struct {
	mu   sync.Mutex
	mode pathMode
	// affects reports whether a server's address is behind the path; nil for all.
	affects func(address string) bool
	conns   map[*pathConn]struct{}
}

func newServerPath() *serverPath { return &serverPath{conns: map[*pathConn]struct{}{}} }

// set changes the state of the path to the servers for which affects is true; nil for all.
func (p *serverPath) set(mode pathMode, affects func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.affects = mode, affects
	for c := range p.conns {
		if affects == nil || affects(c.address) {
			c.apply(mode)
		}
	}
}

// dial opens a connection over the path.
func (p *serverPath) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	mode := p.mode
	if p.affects != nil && !p.affects(address) {
		mode = pathOpen
	}
	p.mu.Unlock()
	switch mode {
	case pathHangs:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	case pathResets, pathRefusesNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case pathOpen:
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &pathConn{Conn: conn, path: p, address: address, open: make(chan struct{}), closed: make(chan struct{})}
	close(c.open)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return c, nil
}

// pathConn is a connection over a serverPath.
type pathConn struct {
	net.Conn
	path    *serverPath
	address string
	closing sync.Once
	closed  chan struct{}

	mu sync.Mutex
	// open is closed while the path is open; heldUp holds what was written meanwhile.
	open   chan struct{}
	heldUp []byte
	reset  bool
}

// apply changes the state of the connection.
func (c *pathConn) apply(mode pathMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.open:
		if mode == pathHangs {
			c.open = make(chan struct{})
		}
	default:
		if mode != pathHangs {
			close(c.open)
			_, _ = c.Conn.Write(c.heldUp)
			c.heldUp = nil
		}
	}
	if mode == pathResets {
		c.reset = true
		_ = c.Conn.Close()
	}
}

// state returns the channel that is closed while the path is open, and whether the connection was reset.
func (c *pathConn) state() (open chan struct{}, reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.reset
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	open, reset := c.state()
	if err != nil && reset {
		return n, &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	}
	select {
	case <-open:
		return n, err
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.open:
		return c.Conn.Write(b)
	default:
		c.heldUp = append(c.heldUp, b...)
		return len(b), nil
	}
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.Conn.Close()
}

// tally counts the requests to a daemon, by the name of their load, and how they ended.
type tally struct {
	name         string
	sent, served atomic.Int64
}

const (
	// cutContact is the time from the start of a cut after which requests are counted.
	cutContact = 3 * time.Second
	// cutInterval is the interval between two requests of the load.
	cutInterval = 50 * time.Millisecond
	// cutEvents is the number of events of a stream.
	cutEvents = 5
	// maxFailedShare is the share of the requests that may fail, of some 60; the guarantee is 10 and one in 50.
	maxFailedShare = 1.0 / 12
)

// cutLoad sends streams, bookings and lookups to one daemon until stop is closed. Requests sent before the
// measured span are not counted.
func (env *testEnvironment) cutLoad(daemon int, from time.Time, stop <-chan struct{}, counts *tally, ids *sync.Map) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(cutInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		call := fakes.Call{ID: fmt.Sprintf("%s%d-%d", counts.name, daemon, n), Key: "key-n", Timeout: 4 * time.Second, Method: http.MethodPost, Path: "/draft/x", Body: fmt.Sprintf("draft %d", n)}
		switch n % 5 {
		case 3:
			call.Path, call.Timeout = "/book/visit", 600*time.Millisecond
		case 4:
			call.Method, call.Path, call.Body, call.Timeout = http.MethodGet, fmt.Sprintf("/read/%d", n), "", 600*time.Millisecond
		}
		measured := time.Now().After(from)
		wg.Go(func() {
			if measured {
				counts.sent.Add(1)
			}
			resp := env.send(daemon, call)
			if measured && resp.complete {
				counts.served.Add(1)
			}
			if call.Path == "/book/visit" {
				ids.Store(call.ID, resp.code)
			}
		})
	}
}

// TestEdgeServesWhileCutOffFromServers guards against a daemon that reaches no backend server and lets its callers
// wait or refuses them, while the other daemons serve. Of the requests from cutContact after the start of the cut
// on, at most maxFailedShare may fail, and no booking may run twice or run although it was refused.
func TestEdgeServesWhileCutOffFromServers(t *testing.T) {
	type scenario struct {
		name string
		mode pathMode
		// service is the only service behind the cut; empty for all.
		service string
		// hub lets the daemon be cut off that owns the placement.
		hub bool
	}
	for _, tc := range []scenario{
		{name: "connections hang", mode: pathHangs},
		{name: "connections are reset", mode: pathResets},
		{name: "new connections are refused", mode: pathRefusesNew},
		{name: "the hub's connections hang", mode: pathHangs, hub: true},
		{name: "the engines' connections hang", mode: pathHangs, service: fakes.EngineService},
		{name: "the plain servers' connections are reset", mode: pathResets, service: fakes.PlainService},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnvironment(t, 0)
			for _, s := range env.platform.Servers() {
				s.Events = cutEvents
			}
			paths := make([]*serverPath, 3)
			for i := range paths {
				paths[i] = newServerPath()
				env.start(nil, WithServerDialer(paths[i].dial))
			}
			cut := -1
			env.waitUntil("there is a hub and each daemon serves", func() bool {
				for i, d := range env.daemons {
					if isHub := d.duty.FencingToken() > 0; isHub == tc.hub && cut < 0 {
						cut = i
					}
				}
				return cut >= 0 && env.stream(0, "/draft/x").complete && env.stream(1, "/draft/x").complete && env.stream(2, "/draft/x").complete
			})
			var behindCut func(string) bool
			if tc.service != "" {
				behindCut = env.addressesOf(tc.service)
			}
			stop := make(chan struct{})
			var wg sync.WaitGroup
			began := time.Now().Add(time.Second)
			cutCounts, otherCounts, laterCounts := &tally{name: "cut"}, &tally{name: "others"}, &tally{name: "later"}
			var bookings sync.Map
			for i := range env.daemons {
				counts := otherCounts
				if i == cut {
					counts = cutCounts
				}
				wg.Go(func() { env.cutLoad(i, began.Add(cutContact), stop, counts, &bookings) })
			}
			time.Sleep(time.Until(began))
			paths[cut].set(tc.mode, behindCut)
			time.Sleep(2 * cutContact)
			close(stop)
			wg.Wait()
			if tc.hub {
				owners := 0
				for i, d := range env.daemons {
					if d.duty.FencingToken() > 0 {
						owners++
						assert.Check(t, i != cut, "the placement is still owned by the daemon that reaches no engine")
					}
				}
				assert.Check(t, owners == 1, "the placement has %d owners", owners)
			}
			paths[cut].set(pathOpen, nil)
			time.Sleep(cutContact)
			stop = make(chan struct{})
			wg.Go(func() { env.cutLoad(cut, time.Now(), stop, laterCounts, &bookings) })
			time.Sleep(time.Second)
			close(stop)
			wg.Wait()
			t.Logf("served: %d of %d at the cut daemon, %d of %d at the others, %d of %d after the cut", cutCounts.served.Load(), cutCounts.sent.Load(),
				otherCounts.served.Load(), otherCounts.sent.Load(), laterCounts.served.Load(), laterCounts.sent.Load())
			for _, c := range []*tally{cutCounts, otherCounts, laterCounts} {
				failed := c.sent.Load() - c.served.Load()
				assert.Check(t, float64(failed) <= maxFailedShare*float64(c.sent.Load()), "%s: %d of %d failed", c.name, failed, c.sent.Load())
			}
			bookings.Range(func(id, code any) bool {
				runs, _ := env.platform.Runs(id.(string))
				assert.Check(t, runs <= 1, "booking %s ran %d times", id, runs)
				assert.Check(t, runs == 0 || code != http.StatusServiceUnavailable, "booking %s ran, but was refused as not run", id)
				return true
			})
			assert.Equal(t, len(env.platform.InvalidChains()), 0)
		})
	}
}

// addressesOf returns a function that reports whether an address is that of a server of a service.
func (env *testEnvironment) addressesOf(service string) func(string) bool {
	addresses := map[string]bool{}
	for _, s := range env.platform.Servers() {
		if (s.Kind != "") == (service == fakes.EngineService) {
			addresses[s.Address()] = true
		}
	}
	return func(address string) bool { return addresses[address] }
}
