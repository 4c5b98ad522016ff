package conns

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startServer serves HTTP with limits, and returns the address and the listener.
func startServer(t *testing.T, limits Limits, handler http.HandlerFunc, opts ...ListenerOption) (string, *Listener) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := Limit(inner, limits, opts...)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	l.Attach(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String(), l
}

// exchange sends a text and returns the status line of the answer; empty if there is none.
func exchange(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

// ok answers with status 200 once the body was read.
func ok(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.WriteHeader(http.StatusOK)
}

const lineEnd = "\r\n"

// TestLongHeadIsRefused checks the limit for heads: an endless one gets 431, and one at the limit is served.
func TestLongHeadIsRefused(t *testing.T) {
	const maxBytes = 10_000
	address, l := startServer(t, Limits{Clients: 10, Bytes: 1 << 30}, ok, WithHeadLimit(func() int { return maxBytes }))
	field := "x: " + strings.Repeat("y", 95) + lineEnd
	start := "GET / HTTP/1.1" + lineEnd + "Host: h" + lineEnd
	assert.Equal(t, exchange(t, address, start+strings.Repeat(field, (maxBytes-len(start))/len(field))+lineEnd), "HTTP/1.1 200 OK")
	assert.Equal(t, exchange(t, address, start+strings.Repeat(field, 3*maxBytes/len(field))), "HTTP/1.1 431 Request Header Fields Too Large")
	assert.Equal(t, l.Counts().LongHeads, uint64(1))
}

// TestHeadWithoutRoomIsRefused checks that a head of many small fields is refused as not run when there is no memory for it.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	address, l := startServer(t, Limits{Clients: 10, Bytes: 200_000}, ok)
	start := "GET / HTTP/1.1" + lineEnd + "Host: h" + lineEnd
	assert.Equal(t, exchange(t, address, start+strings.Repeat("a:"+lineEnd, 4000)), "HTTP/1.1 503 Service Unavailable")
	assert.Assert(t, l.Counts().OutOfMemory > 0)
	assert.Equal(t, exchange(t, address, start+lineEnd), "HTTP/1.1 200 OK")
}

// TestRequestsOnOneConnection checks that each request's memory is counted until its answer was sent.
func TestRequestsOnOneConnection(t *testing.T) {
	var held int64
	var l *Listener
	address, l := startServer(t, Limits{Clients: 10, Bytes: math.MaxInt64}, func(w http.ResponseWriter, r *http.Request) {
		ok(w, r)
		held = l.Counts().HeldBytes
	})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var first int64
	for i := range 5 {
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1%sHost: h%sContent-Length: 5%s%shello", lineEnd, lineEnd, lineEnd, lineEnd)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		if i == 0 {
			first = held
		}
		// net/http may read the first byte of the next request while it ends the one before.
		assert.Assert(t, held <= first && held >= first-headCopies*bytesPerHeadByte, "%d, %d at first", held, first)
	}
	assert.Assert(t, first > connBytes+requestBytes)
}

// TestFullServerSaysSo checks that a request that finds no room is refused as not run, and that there is room again later.
func TestFullServerSaysSo(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{}, 2)
	address, _ := startServer(t, Limits{Clients: 1, Refused: 1, Bytes: math.MaxInt64}, func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-release
		w.WriteHeader(http.StatusOK)
	})
	const request = "GET / HTTP/1.1" + lineEnd + "Host: h" + lineEnd + "Connection: close" + lineEnd + lineEnd
	first := make(chan string, 1)
	go func() { first <- exchange(t, address, request) }()
	<-entered
	assert.Equal(t, exchange(t, address, request), "HTTP/1.1 503 Service Unavailable")
	close(release)
	assert.Equal(t, <-first, "HTTP/1.1 200 OK")
}

// TestFullServerSharesConnections checks that a client which keeps sending requests loses its connection after an answer when
// there is no room for others.
func TestFullServerSharesConnections(t *testing.T) {
	address, _ := startServer(t, Limits{Clients: 1, Bytes: math.MaxInt64}, ok)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	const request = "GET / HTTP/1.1" + lineEnd + "Host: h" + lineEnd + lineEnd
	_, err = io.WriteString(conn, strings.Repeat(request, 10))
	assert.NilError(t, err)
	answers, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(answers), "HTTP/1.1 200 OK"), 1)
	assert.Assert(t, strings.Contains(string(answers), "Connection: close"))
}
