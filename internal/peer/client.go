package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"bulrushpond.example/bulrushpond/internal/answer"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/quota"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// AddressResolver returns the address of a daemon, or false if the daemon is unknown.
type AddressResolver func(model.DaemonID) (string, bool)

// Client sends requests to other daemons. It keeps one connection to each.
type Client struct {
	tlsConfig *tls.Config
	resolve   AddressResolver
	observer  answer.Observer
	// room is what long answers may take together while they are read.
	room *quota.Bytes

	mu sync.Mutex
	// conns holds the connections by address; guarded by mu.
	conns map[string]*quic.Conn
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithObserver sets who learns of broken answers.
func WithObserver(o answer.Observer) ClientOption {
	return func(c *Client) { c.observer = o }
}

// NewClient returns a client that connects with a TLS configuration and looks up daemons
// with resolve.
func NewClient(tlsConfig *tls.Config, resolve AddressResolver, opts ...ClientOption) *Client {
	tlsConfig = tlsConfig.Clone()
	tlsConfig.NextProtos = []string{alpnProtocol}
	c := &Client{tlsConfig: tlsConfig, resolve: resolve, observer: answer.NoObserver{}, room: quota.New(maxAnswersBytes), conns: map[string]*quic.Conn{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.CloseWithError(0, "")
	}
	clear(c.conns)
}

// Ask sends a request to a daemon and returns its response. The error's verdict is
// NotRun only if no byte of the request was sent.
func (c *Client) Ask(ctx context.Context, to model.DaemonID, q Request) (Answer, error) {
	address, ok := c.resolve(to)
	if !ok {
		return Answer{}, peerLostError(verdt.NotRun, "the membership list does not name daemon "+string(to))
	}
	return c.AskAddress(ctx, address, q)
}

// AskAddress is Ask for the daemon at an address.
func (c *Client) AskAddress(ctx context.Context, address string, q Request) (Answer, error) {
	stream, conn, err := c.openStream(ctx, address)
	if err != nil {
		return Answer{}, peerLostError(verdt.NotRun, "no connection to daemon at "+address)
	}
	probeContext, stopProbing := context.WithCancel(ctx)
	probingEnded := make(chan struct{})
	go func() {
		defer close(probingEnded)
		c.probeUntilDone(probeContext, address, conn)
	}()
	defer func() {
		stopProbing()
		<-probingEnded
	}()
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(1)
		stream.CancelWrite(1)
	})
	defer stop()
	a, err := c.roundTrip(stream, q)
	if err != nil {
		// What the daemon still sends is not kept.
		stream.CancelRead(1)
		answer.Observe(c.observer, address, err)
		return Answer{}, peerLostError(verdt.MayHaveRun, "daemon at "+address+" gave no answer")
	}
	return a, nil
}

const (
	// probeInterval is how long a request waits for its response before its connection is
	// probed, and the pause between two probes.
	probeInterval = time.Second
	// maxAnswersBytes bounds what all answers that are being read take beyond what each may take whatever others do: three of the
	// longest.
	maxAnswersBytes = 3 * maxMessageBytes
	// probeTimeout bounds a probe. A daemon answers probes at once, whatever it executes.
	probeTimeout = 3 * time.Second
)

// probeUntilDone probes the connection of a request until ctx ends, and closes the connection
// if a probe gets no response. The idle timeout does not notice a connection that is cut in
// this direction only: every packet of the peer, retransmissions included, restarts it.
func (c *Client) probeUntilDone(ctx context.Context, address string, conn *quic.Conn) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := c.probe(ctx, conn); err != nil && ctx.Err() == nil {
			c.dropConn(address, conn)
			return
		}
	}
}

// probe sends an empty request on a connection.
func (c *Client) probe(ctx context.Context, conn *quic.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(1)
		stream.CancelWrite(1)
	})
	defer stop()
	_, err = c.roundTrip(stream, Request{})
	return err
}

// peerLostError returns a PeerLost failure that may be retried after a second.
func peerLostError(verdict verdt.Verdict, message string) *verdt.Error {
	return verdt.New(verdict, verdt.PeerLost, message, verdt.RetryAt(time.Now().Add(time.Second)))
}

// roundTrip writes the request and reads the response of one stream.
func (c *Client) roundTrip(stream *quic.Stream, q Request) (Answer, error) {
	var a Answer
	if err := writeMessage(stream, q); err != nil {
		return a, err
	}
	if err := stream.Close(); err != nil {
		return a, trace.Wrap(err)
	}
	raw, err := answer.ReadLong(stream, maxMessageBytes, c.room)
	if err != nil {
		return a, trace.Wrap(err)
	}
	codec, err := sharedCodec()
	if err != nil {
		return a, err
	}
	if err := codec.dec.Unmarshal(raw, &a); err != nil {
		return a, &answer.BrokenError{Fault: answer.Malformed, Err: err}
	}
	return a, nil
}

// openStream opens a stream on the cached connection, or on a new one if the cached
// connection is closed.
func (c *Client) openStream(ctx context.Context, address string) (*quic.Stream, *quic.Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		stream, err := conn.OpenStreamSync(ctx)
		if err == nil {
			return stream, conn, nil
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			// The caller has left; others use the connection.
			return nil, nil, trace.Wrap(err)
		}
		c.dropConn(address, conn)
	}
	conn, err := quic.DialAddr(ctx, address, c.tlsConfig, quicConfig())
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	c.mu.Lock()
	c.conns[address] = conn
	c.mu.Unlock()
	stream, err := conn.OpenStreamSync(ctx)
	return stream, conn, trace.Wrap(err)
}

// dropConn closes a connection and removes it from the cache unless already replaced.
func (c *Client) dropConn(address string, conn *quic.Conn) {
	_ = conn.CloseWithError(0, "")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// Forward implements drive.Forwarder.
func (c *Client) Forward(ctx context.Context, to model.DaemonID, call drive.CallRequest) (rings.StoredAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	a, err := c.Ask(ctx, to, Request{Call: &call})
	if err != nil {
		return rings.StoredAnswer{}, err
	}
	switch {
	case a.Failure != nil:
		return rings.StoredAnswer{}, a.Failure
	case a.Stored != nil:
		if err := answer.CheckHead(a.Stored.Status, nil); err != nil {
			answer.Observe(c.observer, string(to), err)
			return rings.StoredAnswer{}, peerLostError(verdt.MayHaveRun, "daemon "+string(to)+" gave a broken answer")
		}
		return *a.Stored, nil
	}
	return rings.StoredAnswer{}, peerLostError(verdt.MayHaveRun, "daemon "+string(to)+" gave an empty answer")
}
