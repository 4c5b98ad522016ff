//go:build linux && !race

package crowd

import (
	"bytes"
	"context"
	"crypto/tls"
	ints "encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
)

func TestIdleReadinessConnections(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: manyClients, address: e.readiness, behave: sendAndHold("")})
}

func TestManySmallFieldsAtReadiness(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: fewClients, address: e.readiness, behave: sendAndHold("GET / HTTP/1.1\r\n" + smallFields(66_000))})
}

func TestEndlessHeadsAtReadiness(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: fewClients, address: e.readiness, behave: sendEndlessly("GET / HTTP/1.1\r\n", smallFields(4000), 10*time.Millisecond)})
}

// TestBodiesAtReadiness sends bodies, which no request there has, without end.
func TestBodiesAtReadiness(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: manyClients, address: e.readiness, behave: sendEndlessly("GET /-/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n", "x", 50*time.Millisecond)})
}

func TestIdleMetricsConnections(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: manyClients, address: e.metrics, behave: sendAndHold("")})
	e.eventually("the metrics are answered after the crowd", e.shows)
}

func TestManySmallFieldsAtMetrics(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: fewClients, address: e.metrics, behave: sendAndHold("GET / HTTP/1.1\r\n" + smallFields(66_000))})
	e.eventually("the metrics are answered after the crowd", e.shows)
}

// TestUnreadMetrics asks for metrics again and again and reads no answer.
func TestUnreadMetrics(t *testing.T) {
	e := startEdge(t)
	text := "GET /debug/vars HTTP/1.1\r\nHost: x\r\n\r\n"
	e.withstand(crowd{clients: manyClients, address: e.metrics, receiveBuffer: 4096, behave: sendUnread(text + text + text + text + text + text)})
	e.eventually("the metrics are answered after the crowd", e.shows)
}

// peerTLS is what daemons of this version offer to each other.
var peerTLS = &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"bulrushpond/1"}, ServerName: "bulrushpond"}

// newTransport returns a QUIC transport with a socket of its own, for many connections.
func newTransport(t *testing.T) *quic.Transport {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	transport := &quic.Transport{Conn: socket}
	t.Cleanup(func() {
		_ = transport.Close()
		_ = socket.Close()
	})
	return transport
}

// withstandPeers is withstand for clients at the peers' port. Each call of behave is one client.
func (e *edge) withstandPeers(clients int, behave func(ctx context.Context)) {
	e.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for ctx.Err() == nil {
				behave(ctx)
				wait(ctx, reconnectPause)
			}
		})
	}
	time.Sleep(crowdTime)
	e.eventually("an ordinary request is answered beside the crowd", e.serves)
	cancel()
	wg.Wait()
	e.eventually("an ordinary request is answered after the crowd", e.serves)
	e.eventually("a peer is answered after the crowd", e.answersPeer)
	e.check()
}

// dialPeer connects to the peers' port.
func (e *edge) dialPeer(ctx context.Context, transport *quic.Transport) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	address, err := net.ResolveUDPAddr("udp", e.peers)
	if err != nil {
		return nil, err
	}
	return transport.Dial(ctx, address, peerTLS, &quic.Config{KeepAlivePeriod: time.Second, MaxIdleTimeout: time.Minute})
}

// answersPeer reports whether a request on a new connection of another daemon is answered.
func (e *edge) answersPeer() bool {
	conn, err := e.dialPeer(e.t.Context(), newTransport(e.t))
	if err != nil {
		return false
	}
	defer func() { _ = conn.CloseWithError(0, "") }()
	stream, err := conn.OpenStreamSync(e.t.Context())
	if err != nil {
		return false
	}
	_ = stream.SetDeadline(time.Now().Add(5 * time.Second))
	// An empty map is a request without any field, which gets an empty answer.
	if _, err := stream.Write([]byte{0xa0}); err != nil || stream.Close() != nil {
		return false
	}
	answer := make([]byte, 1)
	n, _ := stream.Read(answer)
	return n == 1
}

func TestManyPeerConnections(t *testing.T) {
	e := startEdge(t)
	transport := newTransport(t)
	e.withstandPeers(2500, func(ctx context.Context) {
		conn, err := e.dialPeer(ctx, transport)
		if err != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-conn.Context().Done():
		}
		_ = conn.CloseWithError(0, "")
	})
}

// TestUnfinishedPeerMessages sends requests whose end does not come.
func TestUnfinishedPeerMessages(t *testing.T) {
	e := startEdge(t)
	transport := newTransport(t)
	part := make([]byte, 300_000)
	e.withstandPeers(30, func(ctx context.Context) { e.holdMessages(ctx, transport, 20, part) })
}

// holdMessages opens a connection and sends the part of a message on each of some streams, until ctx or the connection ends.
func (e *edge) holdMessages(ctx context.Context, transport *quic.Transport, streams int, part []byte) {
	conn, err := e.dialPeer(ctx, transport)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseWithError(0, "") })
	defer stop()
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			stream, err := conn.OpenStreamSync(ctx)
			if err != nil {
				return
			}
			if _, err := stream.Write(part); err == nil {
				<-conn.Context().Done()
			}
		})
	}
	wg.Wait()
	_ = conn.CloseWithError(0, "")
}

// TestManyPeerStreams opens all streams that a connection may have and leaves them open.
func TestManyPeerStreams(t *testing.T) {
	e := startEdge(t)
	transport := newTransport(t)
	e.withstandPeers(30, func(ctx context.Context) {
		conn, err := e.dialPeer(ctx, transport)
		if err != nil {
			return
		}
		for {
			stream, err := conn.OpenStreamSync(ctx)
			if err != nil {
				break
			}
			if _, err := stream.Write([]byte{0xa1}); err != nil {
				break
			}
		}
		_ = conn.CloseWithError(0, "")
	})
}

// TestPeerMessagesOfManyElements sends whole requests with arrays of many small elements, each of which takes much more once it is
// decoded.
func TestPeerMessagesOfManyElements(t *testing.T) {
	e := startEdge(t)
	transport := newTransport(t)
	const ranks, loads = 27, 33_000
	var message bytes.Buffer
	// A request to the hub (6) with a status (2) that has ranks (10) with loads (2).
	message.Write([]byte{0xa1, 6, 0xa1, 2, 0xa1, 10, 0x98, ranks})
	for range ranks {
		message.Write([]byte{0xa1, 2, 0x9a})
		message.Write(ints.BigEndian.AppendUint32(nil, loads))
		message.Write(bytes.Repeat([]byte{0xa1, 1, 1}, loads))
	}
	e.withstandPeers(1, func(ctx context.Context) {
		conn, err := e.dialPeer(ctx, transport)
		if err != nil {
			return
		}
		defer func() { _ = conn.CloseWithError(0, "") }()
		stop := context.AfterFunc(ctx, func() { _ = conn.CloseWithError(0, "") })
		defer stop()
		stream, err := conn.OpenStreamSync(ctx)
		if err != nil {
			return
		}
		if _, err := stream.Write(message.Bytes()); err == nil && stream.Close() == nil {
			_, _ = io.Copy(io.Discard, stream)
		}
	})
}

func TestJunkAtPeers(t *testing.T) {
	e := startEdge(t)
	e.withstandPeers(20, func(ctx context.Context) {
		conn, err := net.Dial("udp", e.peers)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		packet := make([]byte, 1200)
		for ctx.Err() == nil {
			for i := range packet {
				packet[i] = byte(rand.Uint32())
			}
			// A long header of an initial packet of version 1, every other time.
			if rand.IntN(2) == 0 {
				copy(packet, []byte{0xc3, 0, 0, 0, 1, 8})
			}
			_, _ = conn.Write(packet)
			wait(ctx, time.Millisecond)
		}
	})
}
