// Package stubs has servers for tests that answer with given bytes, whole or broken, and end their connections in a given way.
package stubs

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Tries is how often a test has a server end a connection while a client writes to it, since the client may notice that by a read or by a
// write.
const Tries = 10

// LongUploadBytes is more than the socket buffers of both sides hold, so that a server that does not read blocks its client.
const LongUploadBytes = 16 << 20

// serveDelay is the time between an answer and the end of its connection, so that the client has begun to read it.
const serveDelay = 2 * time.Millisecond

// EndFunc ends a connection. The reader stands behind what was read of the request.
type EndFunc func(r *bufio.Reader, conn *net.TCPConn)

// Serve starts a server that runs script on each connection and closes it then.
func Serve(t testing.TB, script EndFunc) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				script(bufio.NewReader(conn), conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// ServeEarly starts a server that answers a request once it has read its head, and then calls end.
func ServeEarly(t testing.TB, answer string, end EndFunc) (address string) {
	t.Helper()
	return Serve(t, func(r *bufio.Reader, conn *net.TCPConn) {
		if !readHead(r) {
			return
		}
		_, _ = io.WriteString(conn, answer)
		time.Sleep(serveDelay)
		end(r, conn)
	})
}

// readHead reads the head of a request, and reports whether it was whole.
func readHead(r *bufio.Reader) bool {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			return true
		}
	}
}

// ServeBytes starts a server that answers requests with the given bytes, whatever they are, the last ones again and again. It closes a connection
// only once the client does.
func ServeBytes(t testing.TB, answers ...string) (address string) {
	t.Helper()
	var answered atomic.Int64
	return Serve(t, func(r *bufio.Reader, conn *net.TCPConn) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			answer := answers[min(int(answered.Add(1)), len(answers))-1]
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	})
}

// Reset resets a connection.
func Reset(_ *bufio.Reader, conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// EndAndReset ends a connection, and resets it once the end has reached the client.
func EndAndReset(r *bufio.Reader, conn *net.TCPConn) {
	_ = conn.CloseWrite()
	time.Sleep(10 * serveDelay)
	Reset(r, conn)
}

// EndAndResetAtOnce ends a connection and resets it without a pause.
func EndAndResetAtOnce(r *bufio.Reader, conn *net.TCPConn) {
	_ = conn.CloseWrite()
	Reset(r, conn)
}

// EndAndRead ends the sending side of a connection and reads what is left of the request.
func EndAndRead(r *bufio.Reader, conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, r)
}

// ServePausing starts a server that answers a request with a head and some bytes, repeated the given number of times, and then keeps the connection open until the client closes it.
func ServePausing(t testing.TB, head, repeated string, times int) (address string) {
	t.Helper()
	raw := []byte(head + strings.Repeat(repeated, times))
	return Serve(t, func(r *bufio.Reader, conn *net.TCPConn) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = conn.Write(raw)
		_, _ = r.ReadByte()
	})
}

// Fields returns header lines of n bytes at least, of the smallest fields with names of their own.
func Fields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		b.WriteString("F" + strconv.Itoa(i) + ":\r\n")
	}
	return b.String()
}

// LiveHeapBytes returns the size of all reachable objects.
func LiveHeapBytes() int64 {
	// What is allocated during a collection outlives it, so the least of some counts.
	const collections = 4
	least := int64(math.MaxInt64)
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	for range collections {
		runtime.GC()
		metrics.Read(sample)
		least = min(least, int64(sample[0].Value.Uint64()))
	}
	return least
}

// HeapGrowth returns by how much the reachable objects grow at most within a second after calls were begun at once, each with a number. It then
// cancels their context and waits for them.
func HeapGrowth(ctx context.Context, calls int, call func(ctx context.Context, n int)) int64 {
	const samples, interval = 10, 100 * time.Millisecond
	ctx, cancel := context.WithCancel(ctx)
	before := LiveHeapBytes()
	var ended sync.WaitGroup
	for n := range calls {
		ended.Go(func() { call(ctx, n) })
	}
	var highest int64
	for range samples {
		time.Sleep(interval)
		highest = max(highest, LiveHeapBytes()-before)
	}
	cancel()
	ended.Wait()
	return highest
}
