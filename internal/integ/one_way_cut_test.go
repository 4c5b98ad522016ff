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

// The links to one daemon are cut and its own links to the others are not: it is
// heard by all and reached by none. Its shards move to daemons that can be
// reached, bookings go on, and none runs twice.
func TestOneWayCut(t *testing.T) {
	s := newSite(t)
	s.engines(1)
	service := s.standin("service")
	s.list(model.Member{ID: "bookings-0", Address: service, Role: model.Service, Service: "bookings"})
	names := []string{"d0", "d1", "d2"}
	for _, name := range names {
		s.start(name)
	}
	gate := newGate(t, s.daemons["d1"].file.Peers)
	s.list(model.Member{ID: "d1", Address: gate.address(), Role: model.Daemon})
	s.apply()
	book := func(i int) bool {
		name := fmt.Sprintf("visit-%d", i)
		status, _ := s.post("d0", "/v1/services/bookings/visits", `"`+name+`"`, name)
		return status == http.StatusOK
	}
	const bookings = 30
	for i := range bookings {
		s.eventually("booking before the cut", func() bool { return book(i) })
	}
	gate.cut.Store(true)
	for i := range bookings {
		s.eventually("booking after the cut", func() bool { return book(bookings + i) })
	}
	for i := range 2 * bookings {
		assert.Equal(t, runsOf(t, service, fmt.Sprintf("visit-%d", i)), 1, "booking %d", i)
	}
}

// gate forwards datagrams to one daemon until it is cut.
type gate struct {
	cut    atomic.Bool
	front  net.PacketConn
	target net.Addr
	mu     sync.Mutex
	backs  map[string]net.PacketConn
}

func newGate(t *testing.T, target string) *gate {
	t.Helper()
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	to, err := net.ResolveUDPAddr("udp", target)
	assert.NilError(t, err)
	g := &gate{front: front, target: to, backs: map[string]net.PacketConn{}}
	go g.run()
	t.Cleanup(func() {
		_ = front.Close()
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, back := range g.backs {
			_ = back.Close()
		}
	})
	return g
}

func (g *gate) address() string { return g.front.LocalAddr().String() }

func (g *gate) run() {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := g.front.ReadFrom(buf)
		if err != nil {
			return
		}
		if !g.cut.Load() {
			_, _ = g.back(from).WriteTo(buf[:n], g.target)
		}
	}
}

// back returns the socket that stands for a sender, and carries answers to it.
func (g *gate) back(from net.Addr) net.PacketConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if back := g.backs[from.String()]; back != nil {
		return back
	}
	back, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return g.front
	}
	g.backs[from.String()] = back
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, _, err := back.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = g.front.WriteTo(buf[:n], from)
		}
	}()
	return back
}
