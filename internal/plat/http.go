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

	"bulrushpond.example/bulrushpond/internal/answer"
	"bulrushpond.example/bulrushpond/internal/quota"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// maxResponseBytes bounds one response: the service's largest value in base64,
// plus the other fields.
const maxResponseBytes = 2 << 20

// maxLongResponsesBytes bounds what all responses that are being read take beyond what each may take whatever others do:
// 32 of the longest, as a takeover of a ring reads all its slots at once.
const maxLongResponsesBytes = 32 * maxResponseBytes

// maxIdleConns bounds the idle connections to the service: a takeover of a ring
// reads the ring's slots concurrently.
const maxIdleConns = 32

// HTTPClient is the client of the platform's services, over HTTP and JSON.
type HTTPClient struct {
	base     string
	client   *http.Client
	observer answer.Observer
	// room is what long responses, and heads with many fields, may take together while they are read.
	room *quota.Bytes

	mu sync.Mutex
	// listETag and cachedList hold the last membership list for conditional
	// requests, so that the service doesn't resend an unchanged list.
	listETag   string
	cachedList []model.Member
}

// HTTPClientOption configures an HTTPClient.
type HTTPClientOption func(*HTTPClient)

// WithObserver sets who learns of broken answers.
func WithObserver(o answer.Observer) HTTPClientOption {
	return func(h *HTTPClient) { h.observer = o }
}

// NewHTTPClient returns a client of the service at an address, given as "IP:port".
func NewHTTPClient(address string, opts ...HTTPClientOption) *HTTPClient {
	room := quota.New(maxLongResponsesBytes)
	transport := answer.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns}, room)
	h := &HTTPClient{base: "http://" + address, client: &http.Client{Transport: transport}, room: room, observer: answer.NoObserver{}}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// RevisionAnswer is the response body of a write.
type RevisionAnswer struct {
	Revision uint64 `json:"revision"`
}

// LeaseAnswer is both the request and the response body of the lease endpoints.
type LeaseAnswer struct {
	Lease model.LeaseID `json:"lease"`
	TTL   time.Duration `json:"ttl"`
}

// Get implements KV.
func (h *HTTPClient) Get(ctx context.Context, key string) (model.Entry, model.Outcome) {
	var entry model.Entry
	outcome := h.callJSON(ctx, http.MethodGet, "/kv?key="+url.QueryEscape(key), nil, &entry)
	return entry, outcome
}

// CAS implements KV.
func (h *HTTPClient) CAS(ctx context.Context, op model.CAS) (uint64, model.Outcome) {
	var answer RevisionAnswer
	outcome := h.callJSON(ctx, http.MethodPost, "/kv", op, &answer)
	return answer.Revision, outcome
}

// Watch implements KV.
func (h *HTTPClient) Watch(ctx context.Context, key string, after uint64) (model.Entry, model.Outcome) {
	var entry model.Entry
	path := "/watch?key=" + url.QueryEscape(key) + "&after=" + strconv.FormatUint(after, 10)
	outcome := h.callJSON(ctx, http.MethodGet, path, nil, &entry)
	return entry, outcome
}

// Grant implements KV.
func (h *HTTPClient) Grant(ctx context.Context, ttl time.Duration) (model.LeaseID, model.Outcome) {
	var answer LeaseAnswer
	outcome := h.callJSON(ctx, http.MethodPost, "/lease/grant", LeaseAnswer{TTL: ttl}, &answer)
	return answer.Lease, outcome
}

// KeepAlive implements KV.
func (h *HTTPClient) KeepAlive(ctx context.Context, id model.LeaseID) model.Outcome {
	var answer LeaseAnswer
	return h.callJSON(ctx, http.MethodPost, "/lease/keepalive", LeaseAnswer{Lease: id}, &answer)
}

// List implements MembershipList. It returns the cached list when the service reports by
// the ETag that the list is unchanged.
func (h *HTTPClient) List(ctx context.Context) ([]model.Member, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"/members", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	h.mu.Lock()
	etag, cached := h.listETag, h.cachedList
	h.mu.Unlock()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		answer.Observe(h.observer, h.base, err)
		return nil, trace.ConnectionProblem(err, "fetching the membership list")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return cached, nil
	case http.StatusOK:
	default:
		return nil, trace.ConnectionProblem(nil, "fetching the membership list: unexpected status %d", resp.StatusCode)
	}
	raw, err := answer.ReadLong(resp.Body, maxMemberListBytes, h.room)
	if err != nil {
		answer.Observe(h.observer, h.base, err)
		return nil, trace.ConnectionProblem(err, "reading the membership list")
	}
	var members []model.Member
	if err := answer.Decode(resp, raw, &members); err != nil {
		answer.Observe(h.observer, h.base, err)
		return nil, trace.BadParameter("decoding the membership list: %s", err.Error())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listETag, h.cachedList = resp.Header.Get("ETag"), members
	return members, nil
}

// maxMemberListBytes bounds the membership list.
const maxMemberListBytes = 16 << 20

// Reservation is both the request and the response body of the reservation endpoint.
type Reservation struct {
	Layers int       `json:"layers"`
	Start  time.Time `json:"start"`
}

// Reserve implements WeightStore.
func (h *HTTPClient) Reserve(ctx context.Context, layers int) (time.Time, error) {
	var reservation Reservation
	if outcome := h.callJSON(ctx, http.MethodPost, "/weights/reserve", Reservation{Layers: layers}, &reservation); outcome != model.Done {
		return time.Time{}, trace.ConnectionProblem(nil, "reserving a load at the weight store: %s", outcome.String())
	}
	return reservation.Start, nil
}

// callJSON sends a request with a JSON body, or none if request is nil, and decodes
// the response. A status that doesn't rule out an effect gives model.Unknown.
func (h *HTTPClient) callJSON(ctx context.Context, method, path string, request, response any) model.Outcome {
	var body io.Reader
	if request != nil {
		raw, err := json.Marshal(request)
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
		answer.Observe(h.observer, h.base, err)
		return outcomeOfTransportError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := answer.ReadLong(resp.Body, maxResponseBytes, h.room)
	if err != nil {
		answer.Observe(h.observer, h.base, err)
		return model.Unknown
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return model.Conflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return model.Refused
	default:
		return model.Unknown
	}
	if err := answer.Decode(resp, raw, response); err != nil {
		answer.Observe(h.observer, h.base, err)
		return model.Unknown
	}
	return model.Done
}

// outcomeOfTransportError returns Refused if no connection was made, so that the call
// had no effect, and Unknown if the connection failed later.
func outcomeOfTransportError(err error) model.Outcome {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return model.Refused
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return model.Refused
	}
	return model.Unknown
}
