package conns

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// connBytes is about the memory of a connection without a request: its buffers and its goroutine.
	connBytes = 8 << 10
	// requestBytes is about the memory of a request beside its head and its body: goroutines, buffers, and a connection to
	// a backend server.
	requestBytes = 16 << 10
	// A head that is being read takes bytesPerHeadByte for each byte and fieldBytes for each field: a map entry and the
	// strings. Once it was read there are headCopies of it: the one that was parsed, what is kept of it, and what is sent.
	bytesPerHeadByte = 2
	fieldBytes       = 128
	headCopies       = 3
	// headSlack is added to the limit for a head. The limit may be counted without the request line's version and blanks.
	headSlack = 4 << 10
	// maxWriteBytes bounds one write to a connection. A client makes progress with each.
	maxWriteBytes = 64 << 10
	// writeTimeout is how long a client may read nothing of an answer that is ready.
	writeTimeout = 30 * time.Second
	// refusalTimeout bounds the writing of a refusal, and the reading of what the client still sends.
	refusalTimeout = 250 * time.Millisecond
	// unreadBodyTimeout bounds how long the rest of a request's body is read after its answer.
	unreadBodyTimeout = 5 * time.Second
	// retryAfter is the time in seconds after which a client that found no room should come again.
	retryAfter = "1"
)

// Answers to requests that are refused before they were read. They promise that the request has not run.
const (
	noRoomText     = "no room for more requests; this one has not run\n"
	noRoomAnswer   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfter + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" + noRoomText
	longHeadAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nthe head of the request is too long\n"
)

// errLongHead is returned for a connection with a head that is too long.
var errLongHead = errors.New("the head of a request is too long")

// Listener bounds what the clients of an HTTP server hold.
type Listener struct {
	net.Listener
	group *Group
	// maxHeadBytes returns the limit for the head of a request in bytes.
	maxHeadBytes func() int
}

// ListenerOption configures a Listener.
type ListenerOption func(*Listener)

// WithHeadLimit sets what returns the limit for the head of a request in bytes. By default it is net/http's.
func WithHeadLimit(maxBytes func() int) ListenerOption {
	return func(l *Listener) { l.maxHeadBytes = maxBytes }
}

// Limit returns a Listener that accepts the connections of another one.
func Limit(inner net.Listener, limits Limits, opts ...ListenerOption) *Listener {
	l := &Listener{Listener: inner, group: NewGroup(limits), maxHeadBytes: func() int { return http.DefaultMaxHeaderBytes }}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Counts returns what the clients hold and what was done for want of room.
func (l *Listener) Counts() Counts { return l.group.Counts() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		client := l.group.Add(func() { _ = inner.Close() })
		if client == nil {
			_ = inner.Close()
			continue
		}
		c := &conn{Conn: inner, listener: l, client: client}
		c.inHead.Store(true)
		// If there is no memory, the client is told so once it has sent a request.
		c.noRoom.Store(client.Take(connBytes) != nil)
		return c, nil
	}
}

// Attach extends the handler and the hooks of an HTTP server that is to serve the connections.
func (l *Listener) Attach(server *http.Server) {
	next, recordState := server.Handler, server.ConnState
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(w, r, next) })
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, nc)
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok {
			c.recordState(state)
		}
		if recordState != nil {
			recordState(nc, state)
		}
	}
}

// contextKey is the key of a request's connection in its context.
type contextKey struct{}

// connOf returns the connection of a request; nil if no Listener accepted it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(contextKey{}).(*conn)
	return c
}

// ClientOf returns the client that sent the request of a context; nil if no Listener accepted its connection.
func ClientOf(ctx context.Context) *Client {
	if c := connOf(ctx); c != nil {
		return c.client
	}
	return nil
}

// serve refuses a request if there is no room, and passes it on otherwise.
func serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	c := connOf(r.Context())
	if c == nil {
		next.ServeHTTP(w, r)
		return
	}
	if c.noRoom.Load() || c.client.Refused() {
		w.Header().Set("Retry-After", retryAfter)
		w.Header().Set("Connection", "close")
		http.Error(w, noRoomText, http.StatusServiceUnavailable)
		return
	}
	if c.listener.group.Full() {
		// The next request on the connection has no better right to it than those of clients that wait for one.
		w.Header().Set("Connection", "close")
	}
	if r.Body == nil || r.Body == http.NoBody {
		c.client.SetStage(Serving)
	} else {
		defer func() {
			if c.client.isReading() {
				// net/http reads the rest of the body.
				_ = c.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
			}
		}()
	}
	next.ServeHTTP(w, r)
}

// conn is a connection that counts what is read of a request's head.
type conn struct {
	net.Conn
	listener *Listener
	client   *Client
	// inHead is set until the head of a request was read, and noRoom if there is no memory for a request that was.
	inHead, noRoom atomic.Bool
	// headBytes and headMemory are the bytes read of the head, and the memory that is counted for it. Reads come one after
	// the other.
	headBytes  int
	headMemory int64
	// refused is set once a refusal was written.
	refused atomic.Bool
}

// recordState records the new state of the connection. net/http calls it with http.StateActive once the head was read.
func (c *conn) recordState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inHead.Store(false)
		c.client.SetStage(Reading)
		if c.client.Take((headCopies-1)*c.headMemory+requestBytes) != nil {
			c.noRoom.Store(true)
		}
	case http.StateIdle:
		c.headBytes, c.headMemory = 0, 0
		c.client.Reset(connBytes)
		c.client.SetStage(Idle)
		c.inHead.Store(true)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// Read implements net.Conn. It refuses heads that are too long or that find no room.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, io.EOF
	}
	if c.inHead.Load() && c.headBytes > c.listener.maxHeadBytes()+headSlack {
		c.listener.group.count(func(counts *Counts) { counts.LongHeads++ })
		return 0, c.refuse(longHeadAnswer, errLongHead)
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.inHead.Load() {
		if takeErr := c.takeHead(p[:n]); takeErr != nil {
			return 0, c.refuse(noRoomAnswer, takeErr)
		}
	}
	return n, err
}

// takeHead counts a part of a head, which may be followed by the beginning of a body.
func (c *conn) takeHead(part []byte) error {
	if c.headBytes == 0 {
		c.client.SetStage(Reading)
	}
	if end := bytes.Index(part, []byte("\r\n\r\n")); end >= 0 {
		part = part[:end]
	}
	memory := int64(bytesPerHeadByte*len(part) + fieldBytes*bytes.Count(part, []byte{'\n'}))
	c.headBytes += max(1, len(part))
	c.headMemory += memory
	return c.client.Take(memory)
}

// refuse answers a request whose head was not read, and returns the error for the reader, which closes the connection.
func (c *conn) refuse(answer string, reason error) error {
	if !errors.Is(reason, errDropped) && c.refused.CompareAndSwap(false, true) {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.Conn, answer)
		_ = c.CloseWrite()
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: reason}
}

// CloseWrite closes the direction to the client.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Write implements net.Conn. It fails if the client reads nothing for writeTimeout.
func (c *conn) Write(p []byte) (int, error) {
	defer c.client.write()()
	for n := 0; ; {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		m, err := c.Conn.Write(p[n:min(len(p), n+maxWriteBytes)])
		n += m
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.listener.group.count(func(counts *Counts) { counts.StalledWrites++ })
		}
		if err != nil || n == len(p) {
			return n, err
		}
		c.client.SetStage(Writing)
	}
}

// Close implements net.Conn. After a refusal, it reads on for a moment: the client would not get the refusal if the
// connection were closed with unread bytes.
func (c *conn) Close() error {
	if c.refused.Load() {
		_ = c.SetReadDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, maxWriteBytes)
	}
	c.client.Remove()
	return c.Conn.Close()
}
