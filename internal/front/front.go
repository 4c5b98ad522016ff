// Package front is the callers' side: it translates HTTP requests into calls of
// the carriers, and their answers into HTTP. It decides nothing.
package front

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// headerTimeout is how slowly a request's headers may arrive.
	headerTimeout = 5 * time.Second
	// bodyTimeout is how slowly a request's body may arrive.
	bodyTimeout = 30 * time.Second
	// idleTimeout ends connections that no request uses.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 32 << 10
	// writeTimeout is how long a caller may take to read one piece.
	writeTimeout = 30 * time.Second
)

// Names of the headers that are the router's own.
const (
	verdictHeader = "Bulrushpond-Verdict"
	timeoutHeader = "Request-Timeout"
	keyHeader     = "Idempotency-Key"
)

// Front serves callers.
type Front struct {
	log     evlog.Log
	streams *drive.Streams
	calls   *drive.Calls
	force   func() *setts.Force
	watch   drive.Observer
	ready   func() error
	// bodyTimeout is how slowly a request's body may arrive.
	bodyTimeout time.Duration
}

// Option adjusts a Front.
type Option func(*Front)

// WithObserver counts for the burn report.
func WithObserver(o drive.Observer) Option { return func(f *Front) { f.watch = o } }

// WithReady replaces the test behind /readyz.
func WithReady(ready func() error) Option { return func(f *Front) { f.ready = ready } }

// WithBodyTimeout replaces how slowly a request's body may arrive.
func WithBodyTimeout(d time.Duration) Option { return func(f *Front) { f.bodyTimeout = d } }

// New returns the callers' side. force returns the settings in force, or nil.
func New(log evlog.Log, streams *drive.Streams, calls *drive.Calls, force func() *setts.Force, opts ...Option) *Front {
	f := &Front{log: log, streams: streams, calls: calls, force: force, watch: noObserver{}, ready: func() error { return nil }, bodyTimeout: bodyTimeout}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

type noObserver struct{}

func (noObserver) FirstToken(model.Team, time.Duration) {}
func (noObserver) Gap(model.Team, time.Duration)        {}
func (noObserver) Ended(model.Team, *verdt.Error)       {}

// Server returns an HTTP server with the limits for callers.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Handler returns the callers' paths.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", f.serveChat)
	mux.HandleFunc("POST /v1/completions", f.serveCompletion)
	mux.HandleFunc("/v1/services/{service}/{path...}", f.serveService)
	mux.HandleFunc("GET /v1/models", f.serveModels)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := f.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return mux
}

// caller is who asks, and what holds for them.
type caller struct {
	team   model.Team
	policy setts.Policy
}

// identify finds the team of a request's API key.
func (f *Front) identify(r *http.Request) (caller, *verdt.Error) {
	force := f.force()
	if force == nil {
		return caller{}, verdt.New(verdt.NotRun, verdt.SettingsStale, "this daemon has no settings yet", verdt.RetryAt(time.Now().Add(time.Second)))
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return caller{}, verdt.New(verdt.NotRun, verdt.Unauthorized, "the Authorization header must hold 'Bearer' and an API key")
	}
	sum := sha256.Sum256([]byte(key))
	team, ok := force.TeamOf(hex.EncodeToString(sum[:]))
	if !ok {
		return caller{}, verdt.New(verdt.NotRun, verdt.Unauthorized, "unknown API key")
	}
	return caller{team: team, policy: force.At(string(team))}, nil
}

// deadline reads the time that the caller gives a request.
func (c caller) deadline(r *http.Request) (time.Time, *verdt.Error) {
	now := time.Now()
	text := r.Header.Get(timeoutHeader)
	if text == "" {
		return now.Add(c.policy.Deadline), nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 || seconds > c.policy.MaxDeadline.Seconds() {
		return now, verdt.New(verdt.NotRun, verdt.BadRequest, timeoutHeader+" must be a number of seconds above 0 and at most "+strconv.FormatFloat(c.policy.MaxDeadline.Seconds(), 'f', -1, 64))
	}
	return now.Add(time.Duration(seconds * float64(time.Second))), nil
}

// readBody reads a body within the caller's limit and in time.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, c caller) ([]byte, *verdt.Error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(f.bodyTimeout))
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(c.policy.MaxBodyBytes)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, verdt.New(verdt.NotRun, verdt.TooLarge, "the body may hold at most "+strconv.Itoa(c.policy.MaxBodyBytes)+" bytes")
	case err != nil:
		return nil, verdt.New(verdt.NotRun, verdt.BadRequest, "the body was cut short or came too slowly")
	}
	_ = control.SetReadDeadline(time.Time{})
	return raw, nil
}

// ErrorBody is the body of a failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong and whether the request may have run.
type ErrorDetail struct {
	Message string        `json:"message"`
	Reason  verdt.Reason  `json:"reason"`
	Verdict verdt.Verdict `json:"verdict"`
	// RetryAfter is in seconds; 0 means that a new try makes no sense as is.
	RetryAfter int `json:"retry_after_seconds,omitempty"`
}

func detailOf(f *verdt.Error) ErrorDetail {
	return ErrorDetail{Message: f.Message, Reason: f.Reason, Verdict: f.Verdict, RetryAfter: retryAfter(f)}
}

// retryAfter returns the seconds until a new try makes sense, at least 1.
func retryAfter(f *verdt.Error) int {
	if f.RetryAt.IsZero() {
		return 0
	}
	return max(1, int(math.Ceil(time.Until(f.RetryAt).Seconds())))
}

// fail answers with a failure.
func (f *Front) fail(w http.ResponseWriter, c caller, failure *verdt.Error) {
	f.log.Debug(evlog.RequestFailed, "team", c.team, "reason", failure.Reason.String(), "verdict", failure.Verdict.String(), "server", failure.Server)
	if s := retryAfter(failure); s > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(s))
	}
	w.Header().Set(verdictHeader, failure.Verdict.String())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(failure.Reason))
	_ = json.NewEncoder(w).Encode(ErrorBody{Error: detailOf(failure)})
}

func statusOf(r verdt.Reason) int {
	switch r {
	case verdt.BadRequest, verdt.KeyRequired:
		return http.StatusBadRequest
	case verdt.TooLarge:
		return http.StatusRequestEntityTooLarge
	case verdt.Unauthorized:
		return http.StatusUnauthorized
	case verdt.Forbidden:
		return http.StatusForbidden
	case verdt.UnknownModel, verdt.UnknownService, verdt.UnknownRoute:
		return http.StatusNotFound
	case verdt.RateLimited:
		return http.StatusTooManyRequests
	case verdt.KeyReused:
		return http.StatusUnprocessableEntity
	case verdt.KeyInProgress, verdt.OutcomeUnknown:
		return http.StatusConflict
	case verdt.DeadlinePassed:
		return http.StatusGatewayTimeout
	case verdt.StageFailed, verdt.PeerLost:
		return http.StatusBadGateway
	case verdt.Overloaded, verdt.NoRoute, verdt.Stopping, verdt.JournalDown, verdt.JournalFull,
		verdt.OwnerUnknown, verdt.SettingsStale:
		return http.StatusServiceUnavailable
	case verdt.Internal, verdt.CallerGone, verdt.Fenced, verdt.HeadersTooLarge:
	}
	return http.StatusInternalServerError
}

// serveModels lists the models that the caller may use.
func (f *Front) serveModels(w http.ResponseWriter, r *http.Request) {
	c, failure := f.identify(r)
	if failure != nil {
		f.fail(w, c, failure)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(modelList(c.policy))
}
