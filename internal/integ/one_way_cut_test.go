package integ

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// A one-way partition drops all datagrams to one daemon, while those it sends still arrive. Guards
// against shards that stay with an unreachable owner because its messages make it look live:
// they must move to reachable daemons, so that bookings succeed and none runs twice.
func TestOneWayCut(t *testing.T) {
	s := newSite(t)
	s.startEngines(1)
	serviceAddress := s.startFake("service")
	s.putMember(model.Member{ID: "bookings-0", Address: serviceAddress, Role: model.Service, Service: "bookings"})
	names := []string{"d0", "d1", "d2"}
	for _, name := range names {
		s.startDaemon(name)
	}
	proxy := newUDPProxy(t, s.daemons["d1"].settings.Peers)
	s.putMember(model.Member{ID: "d1", Address: proxy.address(), Role: model.Daemon})
	s.applySettings()
	book := func(i int) bool {
		name := fmt.Sprintf("visit-%d", i)
		status, _ := s.post("d0", "/v1/services/bookings/visits", `"`+name+`"`, name)
		return status == http.StatusOK
	}
	const bookings = 30
	for i := range bookings {
		s.eventually("booking before the cut", func() bool { return book(i) })
	}
	proxy.cut.Store(true)
	for i := range bookings {
		s.eventually("booking after the cut", func() bool { return book(bookings + i) })
	}
	for i := range 2 * bookings {
		assert.Equal(t, bookingRuns(t, serviceAddress, fmt.Sprintf("visit-%d", i)), 1, "booking %d", i)
	}
}

// udpProxy forwards datagrams to one daemon, and drops them while cut is set.
type udpProxy struct {
	cut       atomic.Bool
	listener  net.PacketConn
	target    net.Addr
	mu        sync.Mutex
	upstreams map[string]net.PacketConn
}

func newUDPProxy(t *testing.T, target string) *udpProxy {
	t.Helper()
	listener, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	assert.NilError(t, err)
	p := &udpProxy{listener: listener, target: targetAddr, upstreams: map[string]net.PacketConn{}}
	go p.run()
	t.Cleanup(func() {
		_ = listener.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, conn := range p.upstreams {
			_ = conn.Close()
		}
	})
	return p
}

func (p *udpProxy) address() string { return p.listener.LocalAddr().String() }

func (p *udpProxy) run() {
	buf := make([]byte, 1<<16)
	for {
		n, sender, err := p.listener.ReadFrom(buf)
		if err != nil {
			return
		}
		if !p.cut.Load() {
			_, _ = p.upstream(sender).WriteTo(buf[:n], p.target)
		}
	}
}

// upstream returns the socket through which a sender's datagrams are forwarded. Replies to that
// socket are sent back to the sender.
func (p *udpProxy) upstream(sender net.Addr) net.PacketConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.upstreams[sender.String()]; conn != nil {
		return conn
	}
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return p.listener
	}
	p.upstreams[sender.String()] = conn
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, _, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = p.listener.WriteTo(buf[:n], sender)
		}
	}()
	return conn
}
