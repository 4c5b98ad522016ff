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
)

// protocol is the ALPN name; a daemon of another protocol version is refused.
const protocol = "bulrushpond/1"

const (
	idleTimeout      = 15 * time.Second
	handshakeTimeout = 2 * time.Second
	maxStreams       = 1024
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Server answers questions of other daemons.
type Server struct {
	listener *quic.Listener
	handler  Handler
	// active counts the questions that were not answered yet.
	active atomic.Int64
}

// Listen opens the server at an IP number and port.
func Listen(address string, conf *tls.Config, h Handler) (*Server, error) {
	conf = conf.Clone()
	conf.NextProtos = []string{protocol}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, trace.BadParameter("peer address %s: %s", address, err.Error())
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l, err := quic.Listen(conn, conf, quicConfig())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Server{listener: l, handler: h}, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Idle reports whether every question that arrived was answered.
func (s *Server) Idle() bool { return s.active.Load() == 0 }

// Serve answers until the context ends. It implements suture.Service.
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
		wg.Go(func() { s.serveStream(stream) })
	}
}

// questionTimeout bounds how slowly a question may arrive.
const questionTimeout = 10 * time.Second

func (s *Server) serveStream(stream *quic.Stream) {
	s.active.Add(1)
	defer s.active.Add(-1)
	defer func() { _ = stream.Close() }()
	if err := stream.SetReadDeadline(time.Now().Add(questionTimeout)); err != nil {
		return
	}
	raw, err := readAll(stream)
	if err != nil {
		stream.CancelRead(1)
		return
	}
	q, err := DecodeQuestion(raw)
	if err != nil {
		return
	}
	// The stream's own context ends when the asking daemon gives up.
	_ = writeMessage(stream, s.handler.Answer(stream.Context(), q))
}
