package peer

import (
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"bulrushpond.example/bulrushpond/internal/answer"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/quota"
)

const (
	// proxyOpenTimeout bounds the time to open a stream to another daemon, with a new connection if needed.
	proxyOpenTimeout = 400 * time.Millisecond
	// proxyWriteTimeout bounds the time to send a request with its body.
	proxyWriteTimeout = time.Second
	// firstFrameTimeout is how long the first frame of an answer may take. The other daemon sends one as soon as it
	// has the request, so that a connection to a daemon that has gone is noticed.
	firstFrameTimeout = 500 * time.Millisecond
	// lostConnProbeTimeout bounds the probe of a connection on which a daemon sent no frame.
	lostConnProbeTimeout = 300 * time.Millisecond
)

// proxyStream is the answer to a proxied request. It implements drive.ProxyStream.
type proxyStream struct {
	client  *Client
	address string
	conn    *quic.Conn
	stream  *quic.Stream
	frames  *frameReader
	decoder *cbor.Decoder
	// started is set once the first frame has come.
	started bool
	closing sync.Once
}

// OpenProxy implements drive.ProxyClient.
func (c *Client) OpenProxy(ctx context.Context, address string, q drive.ProxyRequest) (drive.ProxyStream, error) {
	openContext, cancel := context.WithTimeout(ctx, proxyOpenTimeout)
	defer cancel()
	codec, err := sharedCodec()
	if err != nil {
		return nil, err
	}
	stream, conn, err := c.openStream(openContext, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	frames := &frameReader{stream: stream, holder: c.room.Holder(quota.ShortBodyBytes)}
	p := &proxyStream{client: c, address: address, conn: conn, stream: stream, frames: frames, decoder: codec.dec.NewDecoder(frames)}
	if err = stream.SetWriteDeadline(time.Now().Add(proxyWriteTimeout)); err == nil {
		err = writeMessage(stream, Request{Proxy: &q})
	}
	if err == nil {
		err = trace.Wrap(stream.Close())
	}
	if err != nil {
		// A request of which the end is missing is not run.
		p.Close()
		return nil, err
	}
	return p, nil
}

// Next implements drive.ProxyStream.
func (p *proxyStream) Next(deadline time.Time) (drive.ProxyFrame, error) {
	if limit := time.Now().Add(firstFrameTimeout); !p.started && limit.Before(deadline) {
		deadline = limit
	}
	var frame drive.ProxyFrame
	if err := p.stream.SetReadDeadline(deadline); err != nil {
		return frame, trace.Wrap(err)
	}
	err := p.decoder.Decode(&frame)
	p.frames.begin()
	if err == nil {
		err = checkFrame(&frame)
	}
	if err != nil {
		answer.Observe(p.client.observer, p.address, err)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			p.dropLostConn()
		}
		return drive.ProxyFrame{}, trace.Wrap(err)
	}
	p.started = true
	return frame, nil
}

// checkFrame returns what is wrong with the answer of a server in a frame, or nil. The daemon that sent it may be of a version that passed on
// broken answers.
func checkFrame(f *drive.ProxyFrame) error {
	if f.Head != nil {
		if err := answer.CheckHead(f.Head.Status, f.Head.Header); err != nil {
			return err
		}
	}
	if f.Answer != nil {
		return answer.CheckHead(f.Answer.Status, f.Answer.Header)
	}
	return nil
}

// bufferCopies is how many times the decoder may hold the bytes of a frame: its buffer doubles.
const bufferCopies = 2

// frameReader reads the frames of a stream, within a bound for each and one for all that are being read.
type frameReader struct {
	stream io.Reader
	// holder holds the memory of the current frame, and size is the number of its bytes.
	holder *quota.Holder
	size   int
}

// begin begins the next frame.
func (r *frameReader) begin() {
	r.holder.Release()
	r.size = 0
}

// Read implements io.Reader.
func (r *frameReader) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	if r.size += n; r.size > maxMessageBytes {
		return 0, answer.ErrTooLong
	}
	if r.holder.Take(bufferCopies*int64(n)) != nil {
		return 0, answer.ErrNoRoom
	}
	return n, err
}

// dropLostConn closes the connection if the other daemon does not answer on it any more, as after a restart.
func (p *proxyStream) dropLostConn() {
	ctx, cancel := context.WithTimeout(p.conn.Context(), lostConnProbeTimeout)
	defer cancel()
	if p.client.probe(ctx, p.conn) != nil {
		p.client.dropConn(p.address, p.conn)
	}
}

// Close implements drive.ProxyStream.
func (p *proxyStream) Close() {
	p.closing.Do(func() {
		p.stream.CancelRead(1)
		p.stream.CancelWrite(1)
	})
}
