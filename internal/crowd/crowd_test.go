//go:build linux && !race

package crowd

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// crowdTime is how long a crowd is there at least.
	crowdTime = 3 * time.Second
	// reconnectPause is the time after which a client whose connection has ended opens the next one.
	reconnectPause = 50 * time.Millisecond
	// maxLogBytes bounds what a process logs beside a crowd that sends no whole request, in bytes.
	maxLogBytes = 256 << 10
)

// crowd is a number of clients that do the same on connections to an address, again and again.
type crowd struct {
	clients int
	address string
	// receiveBuffer is the size of the clients' receive buffers in bytes; 0 for the usual one.
	receiveBuffer int
	// proper is set if the clients send whole requests, each of which is logged.
	proper bool
	// behave uses one connection, which is closed when ctx ends and when behave returns.
	behave func(ctx context.Context, conn *net.TCPConn)
}

// withstandUntil runs a crowd for crowdTime and until meanwhile has returned.
func (p *process) withstandUntil(c crowd, meanwhile func()) {
	p.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range c.clients {
		wg.Go(func() { c.runClient(ctx) })
	}
	time.Sleep(crowdTime)
	meanwhile()
	cancel()
	wg.Wait()
	if !c.proper {
		assert.Check(p.t, p.logBytes.Load() <= maxLogBytes, "logged %d bytes, %d are allowed", p.logBytes.Load(), maxLogBytes)
	}
}

// runClient opens one connection after the other until ctx ends.
func (c crowd) runClient(ctx context.Context) {
	for ctx.Err() == nil {
		c.useConn(ctx)
		wait(ctx, reconnectPause)
	}
}

// useConn opens one connection and uses it.
func (c crowd) useConn(ctx context.Context) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if c.receiveBuffer > 0 && tcp.SetReadBuffer(c.receiveBuffer) != nil {
		return
	}
	c.behave(ctx, tcp)
}

// wait waits for a duration or until ctx ends, and reports whether ctx has not ended.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// readToEnd reads and discards what comes until the connection ends.
func readToEnd(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// sendAndHold returns a behavior that sends a text and then holds the connection.
func sendAndHold(text string) func(context.Context, *net.TCPConn) {
	return func(_ context.Context, conn *net.TCPConn) {
		if _, err := io.WriteString(conn, text); err == nil {
			readToEnd(conn)
		}
	}
}

// sendEndlessly returns a behavior that sends a text, and then another one again and again, with a pause after each.
func sendEndlessly(first, then string, pause time.Duration) func(context.Context, *net.TCPConn) {
	return func(ctx context.Context, conn *net.TCPConn) {
		go readToEnd(conn)
		_, err := io.WriteString(conn, first)
		for err == nil && wait(ctx, pause) {
			_, err = io.WriteString(conn, then)
		}
	}
}

// sendUnread returns a behavior that sends a text after a random part of half of crowdTime, and reads nothing.
func sendUnread(text string) func(context.Context, *net.TCPConn) {
	return func(ctx context.Context, conn *net.TCPConn) {
		wait(ctx, rand.N(crowdTime/2))
		if _, err := io.WriteString(conn, text); err == nil {
			<-ctx.Done()
		}
	}
}

// smallFields returns header fields with different short names and no values, of about size bytes together.
func smallFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.Write([]byte{letters[i%26], letters[i/26%36], letters[i/26/36%36], ':', '\r', '\n'})
	}
	return b.String()
}

// requestHead returns the beginning of a proper head, without the blank line at its end.
func requestHead(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer %s\r\nRequest-Id: crowd\r\nToken-Usage: 20,%d\r\nDeadline-Ms: 20000\r\n", method, path, apiKey, maxTokens)
}
