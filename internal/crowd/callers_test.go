//go:build linux && !race

package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// Sizes of the crowds. manyClients have more connections than the process has descriptors for.
const (
	manyClients = 500
	fewClients  = 300
	// unreadClients take large answers.
	unreadClients = 120
)

// headLimit is the operators' limit for the headers of a request in bytes.
const headLimit = 16384

// A field of smallFields is sent in sentBytes, and counts as countedBytes towards the operators' limit.
const sentBytes, countedBytes = 6, 7

func TestManySmallFields(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: fewClients, address: e.callers, behave: sendAndHold("GET / HTTP/1.1\r\n" + smallFields(66_000))})
}

// TestHeadsWithinLimits holds heads that are within the operators' limits, each with a body that does not come.
func TestHeadsWithinLimits(t *testing.T) {
	e := startEdge(t)
	head := requestHead(http.MethodPost, "/book/visit") + "Content-Length: 1000\r\n"
	head += smallFields((headLimit-len(head)-100)*sentBytes/countedBytes) + "\r\n"
	e.withstand(crowd{clients: fewClients, address: e.callers, behave: sendAndHold(head)})
}

func TestEndlessHeadLine(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: fewClients, address: e.callers, behave: sendEndlessly("GET /"+strings.Repeat("x", 60_000), "x", 50*time.Millisecond)})
}

func TestEndlessHeads(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: fewClients, address: e.callers, behave: sendEndlessly("GET / HTTP/1.1\r\n", "x: "+strings.Repeat("x", 4000)+"\r\n", 0)})
}

func TestEmptyLines(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: fewClients, address: e.callers, behave: sendEndlessly("", strings.Repeat("\r\n", 2000), 0)})
}

func TestEmptyLinesAfterRequest(t *testing.T) {
	e := startEdge(t)
	first := requestHead(http.MethodPost, "/book/visit") + "Content-Length: 1\r\n\r\nx"
	e.withstand(crowd{clients: fewClients, address: e.callers, proper: true, behave: sendEndlessly(first, strings.Repeat("\r\n", 2000), 0)})
}

func TestIdleConnections(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: manyClients, address: e.callers, behave: sendAndHold("")})
}

// TestIdleConnectionsAfterRequest holds connections after one ordinary request each.
func TestIdleConnectionsAfterRequest(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: manyClients, address: e.callers, proper: true, behave: sendAndHold(requestHead(http.MethodGet, "/nowhere") + "\r\n")})
}

func TestSlowHeads(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: manyClients, address: e.callers, behave: sendEndlessly("GET / HTTP/1.1\r\n", "x: y\r\n", 200*time.Millisecond)})
}

// TestSlowBodies announces bodies and sends them byte by byte.
func TestSlowBodies(t *testing.T) {
	e := startEdge(t)
	head := requestHead(http.MethodPost, "/book/visit") + "Content-Length: 100000\r\n\r\n"
	e.withstand(crowd{clients: manyClients, address: e.callers, behave: sendEndlessly(head, "x", 200*time.Millisecond)})
}

// TestBodiesBeforeTheirEnd holds bodies of which only the last byte is missing.
func TestBodiesBeforeTheirEnd(t *testing.T) {
	e := startEdge(t)
	text := requestHead(http.MethodPost, "/book/visit") + "Content-Length: 250001\r\n\r\n" + strings.Repeat("x", 250_000)
	e.withstand(crowd{clients: fewClients, address: e.callers, behave: sendAndHold(text)})
}

// TestShortBodiesBeforeTheirEnd is TestBodiesBeforeTheirEnd with bodies that each take little.
func TestShortBodiesBeforeTheirEnd(t *testing.T) {
	e := startEdge(t)
	text := requestHead(http.MethodPost, "/book/visit") + "Content-Length: 60001\r\n\r\n" + strings.Repeat("x", 60_000)
	e.withstand(crowd{clients: manyClients, address: e.callers, behave: sendAndHold(text)})
}

func TestChunkExtensions(t *testing.T) {
	e := startEdge(t)
	head := requestHead(http.MethodPost, "/book/visit") + "Transfer-Encoding: chunked\r\n\r\n1;x="
	e.withstand(crowd{clients: fewClients, address: e.callers, behave: sendEndlessly(head, strings.Repeat("x", 1000), 10*time.Millisecond)})
}

func TestEndlessTrailers(t *testing.T) {
	e := startEdge(t)
	head := requestHead(http.MethodPost, "/book/visit") + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
	e.withstand(crowd{clients: fewClients, address: e.callers, behave: sendEndlessly(head, smallFields(1000), 10*time.Millisecond)})
}

// TestManyRequestsAtOnce sends ordinary requests whose answers take a while, on more connections than the process has
// descriptors for.
func TestManyRequestsAtOnce(t *testing.T) {
	e := startEdge(t, withServers(func(s *fakes.Server) { s.ServiceTime = 500 * time.Millisecond }))
	text := requestHead(http.MethodPost, "/book/visit") + "Content-Length: 7\r\n\r\nat nine"
	e.withstand(crowd{clients: manyClients, address: e.callers, proper: true, behave: sendAndHold(text)})
}

// TestWaitingRequests sends whole requests with bodies that have to wait for engines.
func TestWaitingRequests(t *testing.T) {
	e := startEdge(t, withServers(func(s *fakes.Server) {
		if s.Kind != "" {
			s.EventInterval = 100 * time.Millisecond
		}
	}))
	text := requestHead(http.MethodPost, "/draft/x") + "Content-Length: 250000\r\n\r\n" + strings.Repeat("x", 250_000)
	e.withstand(crowd{clients: fewClients, address: e.callers, proper: true, behave: sendAndHold(text)})
}

func TestPipelinedRequests(t *testing.T) {
	e := startEdge(t)
	text := strings.Repeat(requestHead(http.MethodGet, "/read/x")+"\r\n", 100)
	e.withstand(crowd{clients: fewClients, address: e.callers, proper: true, receiveBuffer: 4096, behave: func(ctx context.Context, conn *net.TCPConn) {
		var err error
		for err == nil && ctx.Err() == nil {
			_, err = io.WriteString(conn, text)
		}
	}})
}

// TestBytesBehindRequests sends bytes after a request that takes a while. They arrive and are not read meanwhile.
func TestBytesBehindRequests(t *testing.T) {
	e := startEdge(t, withUnreadBytes(), withServers(func(s *fakes.Server) { s.ServiceTime = 500 * time.Millisecond }))
	text := requestHead(http.MethodGet, "/read/x") + "\r\n" + strings.Repeat("x", 1_000_000)
	e.withstand(crowd{clients: 1500, address: e.callers, proper: true, behave: sendAndHold(text)})
}

// TestServersWithManySmallFields sends ordinary requests at once to servers whose answers have heads of many small fields.
func TestServersWithManySmallFields(t *testing.T) {
	e := startEdge(t, withServers(func(s *fakes.Server) {
		if s.Kind == "" {
			s.ServiceTime, s.HeaderFields = 500*time.Millisecond, 6000
		}
	}))
	text := requestHead(http.MethodPost, "/book/visit") + "Content-Length: 7\r\n\r\nat nine"
	e.withstand(crowd{clients: manyClients, address: e.callers, proper: true, receiveBuffer: 4096, behave: sendUnread(text)})
}

// TestUnreadAnswers takes large answers of a plain service without reading them.
func TestUnreadAnswers(t *testing.T) {
	e := startEdge(t, withServers(func(s *fakes.Server) { s.AnswerBytes = 4_000_000 }))
	text := requestHead(http.MethodGet, "/read/x") + "\r\n"
	e.withstand(crowd{clients: unreadClients, address: e.callers, proper: true, receiveBuffer: 4096, behave: sendUnread(text)})
}

// TestUnreadStreams takes streams without reading them.
func TestUnreadStreams(t *testing.T) {
	e := startEdge(t, withServers(func(s *fakes.Server) {
		if s.Kind != "" {
			s.Events, s.EventInterval, s.EventBytes = 1000, time.Millisecond, 16_000
		}
	}))
	text := requestHead(http.MethodPost, "/draft/x") + "Content-Length: 5\r\n\r\ndraft"
	e.withstand(crowd{clients: unreadClients, address: e.callers, proper: true, receiveBuffer: 4096, behave: sendUnread(text)})
}

// TestHalfClosedConnections ends the direction to the process within a head, and holds the other one.
func TestHalfClosedConnections(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: manyClients, address: e.callers, behave: func(_ context.Context, conn *net.TCPConn) {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nx"); err == nil && conn.CloseWrite() == nil {
			readToEnd(conn)
		}
	}})
}

func TestConnectAndClose(t *testing.T) {
	e := startEdge(t)
	e.withstand(crowd{clients: fewClients, address: e.callers, behave: func(ctx context.Context, conn *net.TCPConn) {
		_ = conn.Close()
		for ctx.Err() == nil {
			next, err := (&net.Dialer{}).DialContext(ctx, "tcp", e.callers)
			if err != nil {
				return
			}
			_ = next.Close()
			wait(ctx, 5*time.Millisecond)
		}
	}})
}

// TestLongIDsInUnreadLog sends requests with long IDs, which are logged, while nobody reads the log.
func TestLongIDsInUnreadLog(t *testing.T) {
	e := startEdge(t, withUnreadLog())
	text := "GET /nowhere HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + strings.Repeat("i", headLimit-200) + "\r\n\r\n"
	e.withstand(crowd{clients: 50, address: e.callers, proper: true, behave: func(ctx context.Context, conn *net.TCPConn) {
		go readToEnd(conn)
		var err error
		for err == nil && wait(ctx, 5*time.Millisecond) {
			_, err = io.WriteString(conn, text)
		}
	}})
}

// TestRefusedRequestsInLog sends whole requests that are refused at once, as many as are answered, and bounds what is logged of
// them.
func TestRefusedRequestsInLog(t *testing.T) {
	e := startEdge(t)
	text := strings.Repeat("GET /read/x HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer unknown\r\nRequest-Id: crowd\r\n\r\n", 10)
	e.withstand(crowd{clients: 100, address: e.callers, proper: true, behave: sendEndlessly("", text, time.Millisecond)})
	if logged := e.logBytes.Load(); logged > maxRefusedLogBytes {
		t.Errorf("logged %d bytes, %d are allowed", logged, maxRefusedLogBytes)
	}
}

// maxRefusedLogBytes bounds what a process logs of requests that it refuses at once, in bytes.
const maxRefusedLogBytes = 4 << 20

// TestOddRequestsWithinLimits checks that single requests at the operators' limits are served in calm.
func TestOddRequestsWithinLimits(t *testing.T) {
	e := startEdge(t)
	for name, text := range map[string]string{
		"small fields": oddHead("Content-Length: 7\r\n") + "at nine",
		"body":         requestHead(http.MethodPost, "/book/visit") + fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n\r\n", 4<<20) + strings.Repeat("x", 4<<20),
	} {
		t.Run(name, func(t *testing.T) {
			status := e.exchange(t, text)
			if !strings.HasPrefix(status, "HTTP/1.1 200 ") {
				t.Fatalf("answered %q", status)
			}
		})
	}
	e.check()
}

// oddHead returns a head of small fields that is as long as the operators allow.
func oddHead(more string) string {
	head := requestHead(http.MethodPost, "/book/visit") + "Connection: close\r\n" + more
	return head + smallFields((headLimit-len(head)-100)*sentBytes/countedBytes) + "\r\n"
}

// exchange sends a text on a new connection and returns the first line of the answer.
func (e *edge) exchange(t *testing.T, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", e.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	answer, _ := io.ReadAll(conn)
	line, _, _ := strings.Cut(string(answer), "\r\n")
	return line
}
