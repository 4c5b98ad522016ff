package engine

import (
	"bufio"
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

	jsonv2 "github.com/go-json-experiment/json"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	maxLineBytes   = 1 << 20
	maxAnswerBytes = 8 << 20
	dialTimeout    = time.Second
)

// HTTP is the adapter to engines and plain services over HTTP and JSON.
type HTTP struct {
	client *http.Client
}

// NewHTTP returns the adapter. Connections are kept per server.
func NewHTTP() *HTTP {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &HTTP{client: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
	}}}
}

// Line is one line of an engine's answer: a token, or the failure of a stage.
type Line struct {
	model.Token
	// Error is set on the last line of a stream that failed.
	Error string `json:"error,omitempty"`
	// Server is the stage that failed.
	Server model.ServerID `json:"server,omitempty"`
}

// Open implements Engine.
func (h *HTTP) Open(ctx context.Context, s Stream, sink func(model.Token)) error {
	head := s.Route.Hops[0]
	resp, err := h.post(ctx, "http://"+head.Address+"/v1/stream", s)
	if err != nil {
		return failureOf(err, string(head.Server))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return verdt.New(verdictOf(resp.StatusCode), verdt.StageFailed, fmt.Sprintf("engine answered %d", resp.StatusCode), verdt.Server(string(head.Server)))
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 4096), maxLineBytes)
	for lines.Scan() {
		var l Line
		if err := jsonv2.Unmarshal(lines.Bytes(), &l); err != nil {
			return verdt.New(verdt.MayHaveRun, verdt.StageFailed, "engine sent a malformed line", verdt.Server(string(head.Server)))
		}
		if l.Error != "" {
			return verdt.New(verdt.MayHaveRun, verdt.StageFailed, l.Error, verdt.Server(string(l.Server)))
		}
		sink(l.Token)
		if l.End {
			return nil
		}
	}
	return verdt.New(verdt.MayHaveRun, verdt.StageFailed, "engine ended the stream early", verdt.Server(string(head.Server)))
}

// verdictOf reads an engine's refusal: only one that blames the question says
// that nothing ran.
func verdictOf(status int) verdt.Verdict {
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return verdt.NotRun
	}
	return verdt.MayHaveRun
}

// CancelOrder is the body of a cancel call.
type CancelOrder struct {
	Request model.RequestID `json:"request"`
	Epoch   model.Epoch     `json:"epoch"`
}

// Cancel implements Engine.
func (h *HTTP) Cancel(ctx context.Context, server string, request model.RequestID, epoch model.Epoch) error {
	return h.expectOK(ctx, "http://"+server+"/v1/cancel", CancelOrder{Request: request, Epoch: epoch}, server)
}

// Order implements Engine.
func (h *HTTP) Order(ctx context.Context, server string, o Order) error {
	return h.expectOK(ctx, "http://"+server+"/v1/order", o, server)
}

// Report implements Engine.
func (h *HTTP) Report(ctx context.Context, server string) (model.Report, error) {
	var r model.Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server+"/v1/report", nil)
	if err != nil {
		return r, verdt.New(verdt.NotRun, verdt.Internal, err.Error())
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return r, failureOf(err, server)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLineBytes)).Decode(&r); err != nil {
		return r, verdt.New(verdt.Ran, verdt.StageFailed, "engine sent a malformed report", verdt.Server(server))
	}
	return r, nil
}

func (h *HTTP) expectOK(ctx context.Context, url string, question any, server string) error {
	resp, err := h.post(ctx, url, question)
	if err != nil {
		return failureOf(err, server)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return verdt.New(verdictOf(resp.StatusCode), verdt.StageFailed, fmt.Sprintf("engine answered %d", resp.StatusCode), verdt.Server(server))
	}
	return nil
}

func (h *HTTP) post(ctx context.Context, url string, question any) (*http.Response, error) {
	raw, err := json.Marshal(question)
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

// onceBody reports whether the transport has read any of the body, and has no
// way to be rewound.
type onceBody struct {
	io.Reader
	read *atomic.Bool
}

func (b onceBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.Reader.Read(p)
}

func (onceBody) Close() error { return nil }

// keyHeader is deliberately not in canonical form: net/http repeats a POST by
// itself when it finds the canonical Idempotency-Key header, and a repetition
// that the router does not know of would break at-most-once.
const keyHeader = "idempotency-key"

// Do implements Service. It never sends a call twice.
func (h *HTTP) Do(ctx context.Context, c Call) (Answer, error) {
	var read atomic.Bool
	body := onceBody{Reader: bytes.NewReader(c.Body), read: &read}
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
		req.Header[keyHeader] = []string{c.Key}
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return Answer{}, failureOf(err, c.Address)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil || len(raw) > maxAnswerBytes {
		return Answer{}, verdt.New(verdt.Ran, verdt.StageFailed, "the service's answer was cut or too large", verdt.Server(c.Address))
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: raw}, nil
}

// failureOf says NotRun only where no connection was made.
func failureOf(err error, server string) *verdt.Error {
	v := verdt.MayHaveRun
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial") {
		v = verdt.NotRun
	}
	return verdt.New(v, verdt.StageFailed, "backend server failed: "+err.Error(), verdt.Server(server))
}
