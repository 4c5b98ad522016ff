package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link is a TCP proxy on loopback that injects faults. They apply to open and new connections.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	// refusing resets every connection.
	refusing bool
	// toTarget and toCaller are the faults of each direction.
	toTarget, toCaller directionFault
	open               map[*connPair]struct{}
	closed             bool
	// cut keeps the connections of one daemon from passing; nil if there is none.
	cut *cut
}

// directionFault is the fault of one direction.
type directionFault struct {
	// stalled holds all bytes back while it is set; delay is added to each read.
	stalled bool
	delay   time.Duration
}

// connPair is a caller's connection and the matching connection to the target.
type connPair struct {
	caller, target *net.TCPConn
	// cutOff is set while the connection is silent because of a cut; guarded by the link's mu.
	cutOff bool
}

// stallPollInterval is how often a stalled direction checks whether the stall is over.
const stallPollInterval = 5 * time.Millisecond

// newLink starts a link to the address target.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, open: map[*connPair]struct{}{}}
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.handle(c.(*net.TCPConn))
	}
}

// handle proxies a new connection until both directions have ended.
func (l *link) handle(caller *net.TCPConn) {
	for l.evalLocked(func() bool { return l.toTarget.stalled && !l.closed }) {
		time.Sleep(stallPollInterval)
	}
	passes := l.awaitCut(caller)
	l.mu.Lock()
	address, refusing := l.target, l.refusing || l.closed || !passes
	l.mu.Unlock()
	var p connPair
	if !refusing {
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			p = connPair{caller: caller, target: c.(*net.TCPConn)}
		}
	}
	if p.target == nil {
		reset(caller)
		return
	}
	l.mu.Lock()
	l.open[&p] = struct{}{}
	l.mu.Unlock()
	copied := make(chan struct{}, 2)
	go func() { l.copyDirection(&p, p.caller, p.target, &l.toTarget); copied <- struct{}{} }()
	go func() { l.copyDirection(&p, p.target, p.caller, &l.toCaller); copied <- struct{}{} }()
	<-copied
	<-copied
	l.mu.Lock()
	delete(l.open, &p)
	l.mu.Unlock()
	_, _ = p.caller.Close(), p.target.Close()
}

// copyDirection copies one direction of a connection. It propagates a half-close and a reset.
func (l *link) copyDirection(p *connPair, from, to *net.TCPConn, injected *directionFault) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for l.evalLocked(func() bool { return (injected.stalled || p.cutOff) && !l.closed }) {
			time.Sleep(stallPollInterval)
		}
		l.mu.Lock()
		delay := injected.delay
		l.mu.Unlock()
		time.Sleep(delay)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				p.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			p.reset()
			return
		}
	}
}

func (p *connPair) reset() {
	reset(p.caller)
	reset(p.target)
}

// reset closes a connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// evalLocked returns the value of cond, evaluated under mu.
func (l *link) evalLocked(cond func() bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return cond()
}

// setFaults sets the faults of both directions.
func (l *link) setFaults(toTarget, toCaller directionFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toTarget, l.toCaller = toTarget, toCaller
}

// setRefusing starts to reset all open and new connections, or stops that.
func (l *link) setRefusing(refusing bool) {
	l.mu.Lock()
	l.refusing = refusing
	l.mu.Unlock()
	if refusing {
		l.resetAll()
	}
}

// resetAll resets all open connections.
func (l *link) resetAll() {
	l.mu.Lock()
	open := make([]*connPair, 0, len(l.open))
	for p := range l.open {
		open = append(open, p)
	}
	l.mu.Unlock()
	for _, p := range open {
		p.reset()
	}
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close()
	l.resetAll()
}
