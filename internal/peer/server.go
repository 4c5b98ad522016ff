package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/guard"
)

// alpnProtocol is the ALPN protocol ID with the protocol version; a daemon with another
// version is rejected in the TLS handshake.
const alpnProtocol = "bulrushpond/1"

const (
	idleTimeout        = 15 * time.Second
	handshakeTimeout   = 2 * time.Second
	maxIncomingStreams = 1024
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIncomingStreams:    maxIncomingStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Server serves requests of other daemons.
type Server struct {
	listener *quic.Listener
	handler  Handler
	// onPanic gets the panics of handlers, each of which ends one request only.
	onPanic func(error)
	// inFlight counts the requests without a response yet.
	inFlight atomic.Int64
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithPanicHook sets what gets the panics of handlers. By default they are not reported.
func WithPanicHook(hook func(error)) ServerOption {
	return func(s *Server) { s.onPanic = hook }
}

// Listen returns a server that listens on an address, given as "IP:port".
func Listen(address string, tlsConfig *tls.Config, handler Handler, opts ...ServerOption) (*Server, error) {
	tlsConfig = tlsConfig.Clone()
	tlsConfig.NextProtos = []string{alpnProtocol}
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, trace.BadParameter("resolving peer address %s: %s", address, err.Error())
	}
	conn, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	listener, err := quic.Listen(conn, tlsConfig, quicConfig())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{listener: listener, handler: handler, onPanic: func(error) {}}
	for _, opt := range opts {
		opt(s)
	}
	return s, nil
}

// Address returns the listening address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// String returns the name of this suture.Service in log events.
func (s *Server) String() string { return "peers" }

// Idle reports whether no request is in flight.
func (s *Server) Idle() bool { return s.inFlight.Load() == 0 }

// Serve accepts connections until the context ends. It implements suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		wg.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			_ = conn.CloseWithError(0, "")
			return
		}
		guard.Go(&wg, s.onPanic, func() { s.serveStream(stream) })
	}
}

// requestReadTimeout bounds the time to read a request.
const requestReadTimeout = 10 * time.Second

func (s *Server) serveStream(stream *quic.Stream) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	defer func() { _ = stream.Close() }()
	if err := stream.SetReadDeadline(time.Now().Add(requestReadTimeout)); err != nil {
		return
	}
	raw, err := readMessage(stream)
	if err != nil {
		stream.CancelRead(1)
		return
	}
	q, err := DecodeRequest(raw)
	if err != nil {
		return
	}
	// The stream's context ends when the requesting daemon cancels the stream.
	if handler, ok := s.handler.(ProxyHandler); ok && q.Proxy != nil {
		handler.ServeProxied(stream.Context(), q.Proxy, func(f drive.ProxyFrame) error { return writeMessage(stream, f) })
		return
	}
	_ = writeMessage(stream, s.handler.Answer(stream.Context(), q))
}
