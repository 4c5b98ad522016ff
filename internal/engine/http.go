package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"bulrushpond.example/bulrushpond/internal/answer"
	"bulrushpond.example/bulrushpond/internal/quota"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// maxReportBytes bounds a status report.
	maxReportBytes = 1 << 20
	// maxUnusedBytes bounds a body of which only the status counts.
	maxUnusedBytes = 64 << 10
	// maxLongAnswersBytes bounds what all answers that are being read take beyond what each may take whatever others do: six of
	// the longest.
	maxLongAnswersBytes = 6 * maxResponseBytes
	// maxResponseBytes bounds the response body of a plain service.
	maxResponseBytes = 8 << 20
	dialTimeout      = time.Second
)

// HTTPClient is the client of engines and plain services, over HTTP and JSON.
type HTTPClient struct {
	client   *http.Client
	observer answer.Observer
	// room is what long answers, heads with many fields and streams may take together while they are read.
	room *quota.Bytes
}

// HTTPClientOption configures an HTTPClient.
type HTTPClientOption func(*HTTPClient)

// WithObserver sets who learns of broken answers.
func WithObserver(o answer.Observer) HTTPClientOption {
	return func(h *HTTPClient) { h.observer = o }
}

// NewHTTPClient returns a client with a pool of idle connections for each server.
func NewHTTPClient(opts ...HTTPClientOption) *HTTPClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	room := quota.New(maxLongAnswersBytes)
	h := &HTTPClient{room: room, observer: answer.NoObserver{}, client: &http.Client{Transport: answer.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
	}, room)}}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Open implements Engine.
func (h *HTTPClient) Open(ctx context.Context, s Stream, sink func(model.Token)) error {
	firstHop := s.Route.Hops[0]
	resp, err := h.postJSON(ctx, "http://"+firstHop.Address+"/v1/stream", s)
	if err != nil {
		return h.transportError(err, string(firstHop.Server))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		if err := answer.Discard(resp.Body, maxUnusedBytes); err != nil {
			return h.transportError(err, string(firstHop.Server))
		}
		return statusError(resp.StatusCode, string(firstHop.Server))
	}
	err = readLines(resp.Body, s.MaxTokens, h.room, sink)
	var failed *verdt.Error
	if err != nil && !errors.As(err, &failed) {
		answer.DropConn(resp)
		return h.transportError(err, string(firstHop.Server))
	}
	return err
}

// statusError returns the error of a whole answer with another status than 200.
func statusError(status int, server string) *verdt.Error {
	return verdt.New(verdictOfStatus(status), verdt.StageFailed, fmt.Sprintf("engine answered %d", status), verdt.Server(server))
}

// verdictOfStatus returns the verdict for an engine's error status: only a 4xx status
// shows that the request didn't run.
func verdictOfStatus(status int) verdt.Verdict {
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return verdt.NotRun
	}
	return verdt.MayHaveRun
}

// CancelOrder is the request body of a cancel call.
type CancelOrder struct {
	Request model.RequestID `json:"request"`
	Epoch   model.Epoch     `json:"epoch"`
}

// Cancel implements Engine.
func (h *HTTPClient) Cancel(ctx context.Context, server string, request model.RequestID, epoch model.Epoch) error {
	return h.postExpectOK(ctx, "http://"+server+"/v1/cancel", CancelOrder{Request: request, Epoch: epoch}, server)
}

// Order implements Engine.
func (h *HTTPClient) Order(ctx context.Context, server string, o Order) error {
	return h.postExpectOK(ctx, "http://"+server+"/v1/order", o, server)
}

// Report implements Engine.
func (h *HTTPClient) Report(ctx context.Context, server string) (model.Report, error) {
	var r model.Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server+"/v1/report", nil)
	if err != nil {
		return r, verdt.New(verdt.NotRun, verdt.Internal, err.Error())
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return r, h.transportError(err, server)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := answer.ReadLong(resp.Body, maxReportBytes, h.room)
	if err != nil {
		return r, h.transportError(err, server)
	}
	if resp.StatusCode != http.StatusOK {
		return r, statusError(resp.StatusCode, server)
	}
	if err := answer.Decode(resp, raw, &r); err != nil {
		answer.Observe(h.observer, server, err)
		return r, verdt.New(verdt.Ran, verdt.StageFailed, "engine sent a malformed report", verdt.Server(server))
	}
	return r, nil
}

// postExpectOK posts a JSON payload and returns an error unless the status is 200.
func (h *HTTPClient) postExpectOK(ctx context.Context, url string, payload any, server string) error {
	resp, err := h.postJSON(ctx, url, payload)
	if err != nil {
		return h.transportError(err, server)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := answer.Discard(resp.Body, maxUnusedBytes); err != nil {
		return h.transportError(err, server)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, server)
	}
	return nil
}

// postJSON posts a JSON payload and returns the response whatever its status.
func (h *HTTPClient) postJSON(ctx context.Context, url string, payload any) (*http.Response, error) {
	raw, err := json.Marshal(payload)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return h.client.Do(req)
}

// oneShotBody is a request body that records whether the transport has read from it.
// It can't be rewound, so net/http can't resend it.
type oneShotBody struct {
	io.Reader
	read *atomic.Bool
}

func (b oneShotBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.Reader.Read(p)
}

func (oneShotBody) Close() error { return nil }

// nonCanonicalKeyHeader is deliberately not in canonical form: net/http retries a POST
// that has the canonical Idempotency-Key header, and a retry unknown to the router
// would break at-most-once delivery.
const nonCanonicalKeyHeader = "idempotency-key"

// Do implements Service. It sends a call at most once.
func (h *HTTPClient) Do(ctx context.Context, c Call) (Answer, error) {
	var read atomic.Bool
	body := oneShotBody{Reader: bytes.NewReader(c.Body), read: &read}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, body)
	if err != nil {
		return Answer{}, verdt.New(verdt.NotRun, verdt.BadRequest, err.Error())
	}
	req.ContentLength = int64(len(c.Body))
	if len(c.Body) == 0 {
		req.Body = nil
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	req.Header.Del("Idempotency-Key")
	req.Header.Del("X-Idempotency-Key")
	if c.Key != "" {
		req.Header[nonCanonicalKeyHeader] = []string{c.Key}
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return Answer{}, h.transportError(err, c.Address)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := answer.ReadLong(resp.Body, maxResponseBytes, h.room)
	if err != nil {
		answer.Observe(h.observer, c.Address, err)
		return Answer{}, verdt.New(verdt.Ran, verdt.StageFailed, "the service's answer was cut or too large", verdt.Server(c.Address))
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: raw}, nil
}

// transportError converts an error of the HTTP client, and reports a broken answer. Its verdict is NotRun only if no
// connection was made.
func (h *HTTPClient) transportError(err error, server string) *verdt.Error {
	answer.Observe(h.observer, server, err)
	verdict := verdt.MayHaveRun
	var opErr *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &opErr) && opErr.Op == "dial") {
		verdict = verdt.NotRun
	}
	return verdt.New(verdict, verdt.StageFailed, "backend server failed: "+answer.Clip(err.Error()), verdt.Server(server))
}
