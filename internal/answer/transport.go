package answer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"bulrushpond.example/bulrushpond/internal/quota"
)

// Transport is the http.RoundTripper of clients that tell broken answers from whole ones. The answers that it returns have a status from 200 to
// 599. Its errors, and those of reading a body, wrap a *BrokenError if an answer had begun, unless the request's context ended.
type Transport struct {
	// Base does the transport. Its connections are of type *Conn, or embed one.
	Base *http.Transport
}

// NewTransport returns a Transport. It changes how base dials, and sets the bound of heads. Heads of answers take what room allows.
func NewTransport(base *http.Transport, room *quota.Bytes) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = Dialer(dial, room)
	base.MaxResponseHeaderBytes = MaxHeadBytes
	return &Transport{Base: base}
}

// exchangeConn is what a Transport needs of a connection; Conn implements it.
type exchangeConn interface {
	net.Conn
	expectHead()
	readFailure() *BrokenError
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn exchangeConn
	var begun atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn:              func(info httptrace.GotConnInfo) { conn = info.Conn.(exchangeConn) },
		GotFirstResponseByte: func() { begun.Store(true) },
		// net/http calls this from the goroutine that reads the connection, before it reads on.
		PutIdleConn: func(err error) {
			if err == nil {
				conn.expectHead()
			}
		},
	}
	resp, err := t.Base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if begun.Load() {
			err = asBroken(req.Context(), conn, err)
		}
		return nil, err
	}
	resp.Body = &bodyCheck{ReadCloser: resp.Body, ctx: req.Context(), resp: resp, conn: conn}
	return resp, nil
}

// bodyCheck is the body of an answer. Its reads return io.EOF only if the trailer that ends a chunked body is one.
type bodyCheck struct {
	io.ReadCloser
	// ctx is that of the request.
	ctx  context.Context
	resp *http.Response
	conn exchangeConn
}

// Read implements io.Reader.
func (b *bodyCheck) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case !errors.Is(err, io.EOF):
		err = asBroken(b.ctx, b.conn, err)
	case !hasFieldNames(b.resp.Trailer):
		// net/http may have kept the connection for the next request.
		_ = b.conn.Close()
		err = ErrFieldName
	}
	return n, err
}

// CloseIdleConnections closes the connections that are not in use. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// DropConn closes the connection of an answer that is malformed though it is whole by its length, so that no request uses it again.
func DropConn(resp *http.Response) {
	if body, ok := resp.Body.(*bodyCheck); ok {
		_ = body.conn.Close()
	}
}
