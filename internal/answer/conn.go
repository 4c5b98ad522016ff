// Package answer holds what all clients of HTTP servers share to tell a whole answer from a broken one, where net/http does not.
package answer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bulrushpond.example/bulrushpond/internal/quota"
)

// ErrReset is returned by reads from a connection that the server reset. It wraps ECONNRESET.
var ErrReset = fmt.Errorf("the server reset the connection: %w", syscall.ECONNRESET)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dial function whose connections are of type *Conn, or embed one. Heads of their answers take what room allows.
func Dialer(dial DialFunc, room *quota.Bytes) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if _, ok := conn.(exchangeConn); ok {
			return conn, nil
		}
		return NewConn(conn, room), nil
	}
}

// Conn is a connection to a server. Its reads fail within the head of an answer that breaks HTTP where net/http takes it.
//
// They return io.EOF only if the server ended the connection, and an error that wraps ECONNRESET if it reset it.
// The kernel reports a reset to one read or write only. If a write gets it, reads find the end of the connection, and an answer
// that ends with it seems to be whole.
type Conn struct {
	net.Conn

	// writing is held by writes.
	writing sync.Mutex
	// resetSeen is set once a write has failed since the connection was reset; guarded by writing.
	resetSeen bool
	// ended is closed, by endOnce, when a read fails or the connection is closed.
	ended   chan struct{}
	endOnce sync.Once
	// head checks what is read. Only the goroutine that reads uses it.
	head headCheck
	// failure is why reads failed, if they found a broken answer.
	failure atomic.Pointer[BrokenError]

	// holding guards the fields below: the connection may be closed during a read.
	holding sync.Mutex
	// headRoom holds headBytes, the memory of the current head and the interim ones before it.
	headRoom  *quota.Holder
	headBytes int64
	closed    bool
}

// writeFailureDelay is how long the failure of a write may be held back. What has arrived is read within milliseconds.
const writeFailureDelay = time.Second

// freeHeadBytes is the memory that a head may take whatever others take.
const freeHeadBytes = 16 << 10

// NewConn returns a connection to a server. Heads of its answers take what room allows.
func NewConn(conn net.Conn, room *quota.Bytes) *Conn {
	return &Conn{Conn: conn, ended: make(chan struct{}), headRoom: room.Holder(freeHeadBytes)}
}

// Read implements io.Reader.
func (c *Conn) Read(b []byte) (int, error) {
	if c.head.failure != nil {
		return 0, c.head.failure
	}
	n, err := c.Conn.Read(b)
	if err != nil {
		c.endOnce.Do(func() { close(c.ended) })
	}
	valid, failure := c.head.check(b[:n])
	if failure == nil {
		failure = c.takeHeadRoom()
	}
	if failure != nil {
		c.head.failure = failure
		c.failure.Store(failure)
		return valid, failure
	}
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) && c.wasReset() {
		c.failure.Store(&BrokenError{Fault: Reset, Err: ErrReset})
		err = ErrReset
	}
	return n, err
}

// readFailure returns why reads failed, nil unless they found a broken answer. The error of net/http may be a consequence of it.
func (c *Conn) readFailure() *BrokenError { return c.failure.Load() }

// expectHead prepares for the next answer. No read may be in progress.
func (c *Conn) expectHead() {
	c.head = headCheck{}
	c.holding.Lock()
	defer c.holding.Unlock()
	c.releaseHead()
}

// takeHeadRoom takes the room that the head needs, as far as it has been read.
func (c *Conn) takeHeadRoom() *BrokenError {
	if c.head.bytes <= freeHeadBytes {
		return nil
	}
	c.holding.Lock()
	defer c.holding.Unlock()
	if c.closed {
		return nil
	}
	if err := c.headRoom.Take(c.head.bytes - c.headBytes); err != nil {
		return ErrNoRoom
	}
	c.headBytes = c.head.bytes
	return nil
}

// releaseHead gives back the room of a head. The caller holds holding.
func (c *Conn) releaseHead() {
	if c.headBytes > 0 {
		c.headRoom.Release()
		c.headBytes = 0
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.holding.Lock()
	c.closed = true
	c.releaseHead()
	c.holding.Unlock()
	c.endOnce.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// Write implements io.Writer. If the server has closed the connection, it fails only once all that has arrived was read, or after
// writeFailureDelay: net/http closes a connection when a write fails, and an answer that is whole would be lost.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.write(b)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		delay := time.NewTimer(writeFailureDelay)
		defer delay.Stop()
		select {
		case <-c.ended:
		case <-delay.C:
		}
	}
	return n, err
}

// write writes to the connection, and keeps whether that found it reset.
func (c *Conn) write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	// Writes fail with EPIPE instead if the server had ended the connection before.
	c.resetSeen = c.resetSeen || errors.Is(err, syscall.ECONNRESET)
	return n, err
}

// wasReset reports, after a read has returned io.EOF, whether the connection was reset.
func (c *Conn) wasReset() bool {
	if isClosed(c.Conn) {
		// A write that is in progress ends at once.
		c.writing.Lock()
	} else if !c.writing.TryLock() {
		// A write that is in progress may take long: the server has only ended its side.
		return false
	}
	defer c.writing.Unlock()
	return c.resetSeen
}
