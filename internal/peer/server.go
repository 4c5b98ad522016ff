package peer

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"bulrushpond.example/bulrushpond/internal/conns"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/guard"
)

// alpnProtocol is the ALPN protocol ID with the protocol version; a daemon with another
// version is rejected in the TLS handshake.
const alpnProtocol = "bulrushpond/1"

const (
	idleTimeout      = 15 * time.Second
	handshakeTimeout = 2 * time.Second
	// maxIncomingStreams is how many requests of one daemon may be in progress. Each takes memory until both sides have ended
	// it.
	maxIncomingStreams = 256
	// maxConns is how many connections other daemons may have here: the hub of the largest fleet has 390.
	maxConns = 512
	// maxHandshakes is how many connections may be in their handshake, as when a fleet gets another hub. Above verifiedHandshakes, the addresses of new ones
	// are verified first, which takes them another round trip.
	maxHandshakes      = 512
	verifiedHandshakes = 16
	// maxRequests is how many requests of other daemons may be read or served at a time.
	maxRequests = 2048
	// maxReading is how many requests may be read from one connection at a time. A daemon sends a request at once, so one with
	// more is broken or hostile; its connection is closed.
	maxReading = 128
	// maxDropped is how many requests of one connection may be dropped for want of room before it is closed. A stream that was
	// dropped takes memory until the other side ends it, too.
	maxDropped = 16
	// requestBytes is about the memory of a request beside its message.
	requestBytes = 8 << 10
	// itemBytes is about the memory of a data item of a message that was decoded, beside its bytes.
	itemBytes = 32
	// defaultRequestMemory is what requests may take together, in bytes: two of the longest messages.
	defaultRequestMemory = 4 * maxMessageBytes
	// A connection of another daemon may send this many bytes that were not read yet, in bytes: what arrives out of order
	// is kept.
	streamWindow = 64 << 10
	connWindow   = 128 << 10
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIncomingStreams:    maxIncomingStreams,
		MaxIncomingUniStreams: -1,
	}
}

// serverConfig returns the configuration for the connections that other daemons open.
func serverConfig() *quic.Config {
	config := quicConfig()
	config.InitialStreamReceiveWindow, config.MaxStreamReceiveWindow = streamWindow, streamWindow
	config.InitialConnectionReceiveWindow, config.MaxConnectionReceiveWindow = connWindow, connWindow
	return config
}

// Server serves requests of other daemons.
type Server struct {
	listener *quic.Listener
	handler  Handler
	// onPanic gets the panics of handlers, each of which ends one request only.
	onPanic func(error)
	// inFlight counts the requests without a response yet.
	inFlight atomic.Int64
	// conns and requests limit what other daemons hold; handshakes is the number of connections in their handshake.
	conns, requests *conns.Group
	requestMemory   int64
	handshakes      atomic.Int64
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithPanicHook sets what gets the panics of handlers. By default they are not reported.
func WithPanicHook(hook func(error)) ServerOption {
	return func(s *Server) { s.onPanic = hook }
}

// WithRequestMemory sets how much memory the requests of other daemons may take together, in bytes.
func WithRequestMemory(maxBytes int64) ServerOption {
	return func(s *Server) { s.requestMemory = maxBytes }
}

// Listen returns a server that listens on an address, given as "IP:port".
func Listen(address string, tlsConfig *tls.Config, handler Handler, opts ...ServerOption) (*Server, error) {
	tlsConfig = tlsConfig.Clone()
	tlsConfig.NextProtos = []string{alpnProtocol}
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, trace.BadParameter("resolving peer address %s: %s", address, err.Error())
	}
	s := &Server{handler: handler, onPanic: func(error) {}, requestMemory: defaultRequestMemory}
	for _, opt := range opts {
		opt(s)
	}
	s.conns = conns.NewGroup(conns.Limits{Clients: maxConns, Bytes: math.MaxInt64})
	s.requests = conns.NewGroup(conns.Limits{Clients: maxRequests, Bytes: s.requestMemory})
	conn, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	transport := &quic.Transport{
		Conn: conn, ConnContext: s.beginHandshake,
		VerifySourceAddress: func(net.Addr) bool { return s.handshakes.Load() >= verifiedHandshakes },
	}
	if s.listener, err = transport.Listen(tlsConfig, serverConfig()); err != nil {
		return nil, trace.Wrap(err)
	}
	return s, nil
}

// handshakeKey is the key of the function in a connection's context that ends the counting of its handshake.
type handshakeKey struct{}

// beginHandshake counts a connection in its handshake, until that ends, and rejects it if there are too many.
func (s *Server) beginHandshake(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if s.handshakes.Add(1) > maxHandshakes {
		s.handshakes.Add(-1)
		s.conns.Reject()
		return nil, trace.LimitExceeded("too many connections of other daemons are being opened")
	}
	var once sync.Once
	end := func() { once.Do(func() { s.handshakes.Add(-1) }) }
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// Limited returns what other daemons hold in connections and in requests.
func (s *Server) Limited() (openConns, requests *conns.Group) { return s.conns, s.requests }

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
	if endHandshake, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		endHandshake()
	}
	client := s.conns.Add(func() { _ = conn.CloseWithError(0, "no room") })
	if client == nil {
		_ = conn.CloseWithError(0, "no room")
		return
	}
	defer client.Remove()
	var wg sync.WaitGroup
	defer wg.Wait()
	progress := &connProgress{client: client}
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			_ = conn.CloseWithError(0, "")
			return
		}
		guard.Go(&wg, s.onPanic, func() { s.serveStream(stream, progress) })
	}
}

// connProgress keeps the stage of a connection: that of its request that is least far.
type connProgress struct {
	client *conns.Client

	mu sync.Mutex
	// reading and serving are the numbers of requests in these stages, and dropped by how many more requests were dropped than
	// read whole, at least 0; guarded by mu.
	reading, serving, dropped int
}

// drop counts a request that was dropped for want of room.
func (p *connProgress) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dropped++; p.dropped > maxDropped {
		p.client.Drop()
	}
}

// change changes the numbers of requests.
func (p *connProgress) change(reading, serving int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reading += reading
	p.serving += serving
	if serving > 0 {
		// A daemon that sends whole requests, too, is only short of room now and then.
		p.dropped = max(0, p.dropped-1)
	}
	switch {
	case p.reading > maxReading:
		p.client.Drop()
	case p.reading > 0:
		p.client.SetStage(conns.Reading)
	case p.serving > 0:
		p.client.SetStage(conns.Serving)
	default:
		p.client.SetStage(conns.Idle)
	}
}

// requestReadTimeout bounds the time to read a request.
const requestReadTimeout = 10 * time.Second

func (s *Server) serveStream(stream *quic.Stream, progress *connProgress) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	defer func() { _ = stream.Close() }()
	cancel := func() {
		stream.CancelRead(1)
		stream.CancelWrite(1)
	}
	client := s.requests.Add(func() {
		cancel()
		progress.drop()
	})
	if client == nil {
		cancel()
		progress.drop()
		return
	}
	defer client.Remove()
	client.SetStage(conns.Reading)
	q, err := s.readRequest(stream, client, progress)
	if err != nil {
		stream.CancelRead(1)
		return
	}
	client.SetStage(conns.Serving)
	progress.change(0, 1)
	defer progress.change(0, -1)
	// The stream's context ends when the requesting daemon cancels the stream.
	if handler, ok := s.handler.(ProxyHandler); ok && q.Proxy != nil {
		handler.ServeProxied(stream.Context(), q.Proxy, func(f drive.ProxyFrame) error { return writeMessage(stream, f) })
		return
	}
	_ = writeMessage(stream, s.handler.Answer(stream.Context(), q))
}

// readRequest reads a request, whose memory counts for client.
func (s *Server) readRequest(stream *quic.Stream, client *conns.Client, progress *connProgress) (Request, error) {
	progress.change(1, 0)
	defer progress.change(-1, 0)
	if err := stream.SetReadDeadline(time.Now().Add(requestReadTimeout)); err != nil {
		return Request{}, trace.Wrap(err)
	}
	if err := client.Take(requestBytes); err != nil {
		return Request{}, trace.Wrap(err)
	}
	raw, err := readMessage(client.Reader(stream))
	if err != nil {
		return Request{}, err
	}
	// A message takes memory by its elements, and not only by its bytes.
	if err := client.Take(itemBytes * int64(countItems(raw))); err != nil {
		return Request{}, trace.Wrap(err)
	}
	return DecodeRequest(raw)
}
