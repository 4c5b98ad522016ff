package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// maxAnswerBytes bounds what is read of one answer: the service's largest
// value in base64, with room for the rest.
const maxAnswerBytes = 2 << 20

// maxIdleConns is how many connections are kept: a take-over reads the slots of
// a ring at the same time.
const maxIdleConns = 32

// HTTP is the adapter to the platform's services over HTTP and JSON.
type HTTP struct {
	base   string
	client *http.Client

	mu sync.Mutex
	// tag and members are the last list, so that an unchanged one is not sent
	// again.
	tag     string
	members []model.Member
}

// NewHTTP returns the adapter for a service at an IP number and port.
func NewHTTP(address string) *HTTP {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns}
	return &HTTP{base: "http://" + address, client: &http.Client{Transport: transport}}
}

// RevisionAnswer is the body of a write's answer.
type RevisionAnswer struct {
	Revision uint64 `json:"revision"`
}

// LeaseAnswer is the body of a lease call's question and answer.
type LeaseAnswer struct {
	Lease model.LeaseID `json:"lease"`
	TTL   time.Duration `json:"ttl"`
}

// Get implements KV.
func (h *HTTP) Get(ctx context.Context, key string) (model.Entry, model.Outcome) {
	var e model.Entry
	out := h.call(ctx, http.MethodGet, "/kv?key="+url.QueryEscape(key), nil, &e)
	return e, out
}

// CAS implements KV.
func (h *HTTP) CAS(ctx context.Context, op model.CAS) (uint64, model.Outcome) {
	var a RevisionAnswer
	out := h.call(ctx, http.MethodPost, "/kv", op, &a)
	return a.Revision, out
}

// Watch implements KV.
func (h *HTTP) Watch(ctx context.Context, key string, after uint64) (model.Entry, model.Outcome) {
	var e model.Entry
	q := "/watch?key=" + url.QueryEscape(key) + "&after=" + strconv.FormatUint(after, 10)
	out := h.call(ctx, http.MethodGet, q, nil, &e)
	return e, out
}

// Grant implements KV.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (model.LeaseID, model.Outcome) {
	var a LeaseAnswer
	out := h.call(ctx, http.MethodPost, "/lease/grant", LeaseAnswer{TTL: ttl}, &a)
	return a.Lease, out
}

// KeepAlive implements KV.
func (h *HTTP) KeepAlive(ctx context.Context, id model.LeaseID) model.Outcome {
	var a LeaseAnswer
	return h.call(ctx, http.MethodPost, "/lease/keepalive", LeaseAnswer{Lease: id}, &a)
}

// List implements Members. The service sends the list only when it has changed.
func (h *HTTP) List(ctx context.Context) ([]model.Member, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"/members", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	h.mu.Lock()
	tag, known := h.tag, h.members
	h.mu.Unlock()
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "membership list")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return known, nil
	case http.StatusOK:
	default:
		return nil, trace.ConnectionProblem(nil, "membership list: status %d", resp.StatusCode)
	}
	var members []model.Member
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&members); err != nil {
		return nil, trace.BadParameter("membership list: %s", err.Error())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tag, h.members = resp.Header.Get("ETag"), members
	return members, nil
}

// maxListBytes bounds the membership list.
const maxListBytes = 16 << 20

// Reservation is the body of a reservation's question and answer.
type Reservation struct {
	Layers int       `json:"layers"`
	Start  time.Time `json:"start"`
}

// Reserve implements Weights.
func (h *HTTP) Reserve(ctx context.Context, layers int) (time.Time, error) {
	var a Reservation
	if out := h.call(ctx, http.MethodPost, "/weights/reserve", Reservation{Layers: layers}, &a); out != model.Done {
		return time.Time{}, trace.ConnectionProblem(nil, "weight store: %s", out.String())
	}
	return a.Start, nil
}

func (h *HTTP) call(ctx context.Context, method, path string, question, answer any) model.Outcome {
	var body io.Reader
	if question != nil {
		raw, err := json.Marshal(question)
		if err != nil {
			return model.Refused
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, body)
	if err != nil {
		return model.Refused
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return outcomeOfDial(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return model.Conflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return model.Refused
	default:
		return model.Unknown
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return model.Unknown
	}
	return model.Done
}

// outcomeOfDial tells a connection that was never made, which cannot have had
// an effect, from an answer that was lost.
func outcomeOfDial(err error) model.Outcome {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return model.Refused
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return model.Refused
	}
	return model.Unknown
}
