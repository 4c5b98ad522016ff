// Package front is the HTTP API for callers: it authenticates and validates requests,
// passes them to drive.StreamExecutor and drive.CallExecutor and writes their results as HTTP
// responses. It makes no routing decisions.
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

	"bulrushpond.example/bulrushpond/internal/conns"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// headerTimeout bounds the time to read a request's headers.
	headerTimeout = 5 * time.Second
	// defaultBodyTimeout bounds the time to read a request's body.
	defaultBodyTimeout = 30 * time.Second
	// idleTimeout closes keep-alive connections without requests.
	idleTimeout = 2 * time.Minute
	// MaxHeaderBytes bounds a request's headers.
	MaxHeaderBytes = 32 << 10
	// noRoomPause is how long a caller should wait whose body found no room.
	noRoomPause = time.Second
	// writeTimeout bounds each write of a streamed response.
	writeTimeout = 30 * time.Second
)

// Header names of the router's API.
const (
	verdictHeader        = "Bulrushpond-Verdict"
	timeoutHeader        = "Request-Timeout"
	idempotencyKeyHeader = "Idempotency-Key"
)

// Front is the HTTP API for callers.
type Front struct {
	log        evlog.Log
	streams    *drive.StreamExecutor
	calls      *drive.CallExecutor
	settings   func() *setts.EffectiveSettings
	observer   drive.Observer
	checkReady func() error
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout time.Duration
}

// Option configures a Front.
type Option func(*Front)

// WithObserver reports latencies and outcomes to an observer, for the burn report.
func WithObserver(o drive.Observer) Option { return func(f *Front) { f.observer = o } }

// WithReady sets the readiness check of /readyz; the default is always ready.
func WithReady(check func() error) Option { return func(f *Front) { f.checkReady = check } }

// WithBodyTimeout sets the timeout for reading a request's body; the default is 30
// seconds.
func WithBodyTimeout(d time.Duration) Option { return func(f *Front) { f.bodyTimeout = d } }

// New returns the HTTP API for callers. settings returns the settings in force, or nil
// if the daemon has none yet.
func New(log evlog.Log, streams *drive.StreamExecutor, calls *drive.CallExecutor, settings func() *setts.EffectiveSettings, opts ...Option) *Front {
	f := &Front{log: log, streams: streams, calls: calls, settings: settings, observer: noopObserver{}, checkReady: func() error { return nil }, bodyTimeout: defaultBodyTimeout}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// noopObserver is the default observer.
type noopObserver struct{}

func (noopObserver) FirstToken(model.Team, time.Duration)  {}
func (noopObserver) Gap(model.Team, time.Duration)         {}
func (noopObserver) RequestEnded(model.Team, *verdt.Error) {}

// Server returns an HTTP server with the timeouts and limits for callers.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// Handler returns the handler of all API endpoints.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", f.serveChatCompletion)
	mux.HandleFunc("POST /v1/completions", f.serveTextCompletion)
	mux.HandleFunc("/v1/services/{service}/{path...}", f.serveService)
	mux.HandleFunc("GET /v1/models", f.serveModels)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := f.checkReady(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return mux
}

// caller is the authenticated team of a request and its policy.
type caller struct {
	team   model.Team
	policy setts.Policy
}

// authenticate looks up the team and policy of a request's API key.
func (f *Front) authenticate(r *http.Request) (caller, *verdt.Error) {
	settings := f.settings()
	if settings == nil {
		return caller{}, verdt.New(verdt.NotRun, verdt.SettingsStale, "this daemon has no settings yet", verdt.RetryAt(time.Now().Add(time.Second)))
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return caller{}, verdt.New(verdt.NotRun, verdt.Unauthorized, "the Authorization header must hold 'Bearer' and an API key")
	}
	sum := sha256.Sum256([]byte(key))
	team, ok := settings.TeamOf(hex.EncodeToString(sum[:]))
	if !ok {
		return caller{}, verdt.New(verdt.NotRun, verdt.Unauthorized, "unknown API key")
	}
	return caller{team: team, policy: settings.At(string(team))}, nil
}

// deadline returns the request's deadline: from the Request-Timeout header in seconds,
// or else the policy's default.
func (c caller) deadline(r *http.Request) (time.Time, *verdt.Error) {
	now := time.Now()
	value := r.Header.Get(timeoutHeader)
	if value == "" {
		return now.Add(c.policy.Deadline), nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 || seconds > c.policy.MaxDeadline.Seconds() {
		return now, verdt.New(verdt.NotRun, verdt.BadRequest, timeoutHeader+" must be a number of seconds above 0 and at most "+strconv.FormatFloat(c.policy.MaxDeadline.Seconds(), 'f', -1, 64))
	}
	return now.Add(time.Duration(seconds * float64(time.Second))), nil
}

// readBody reads a request's body within the policy's size limit and the body timeout.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, c caller) ([]byte, *verdt.Error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(f.bodyTimeout))
	client := conns.ClientOf(r.Context())
	raw, err := io.ReadAll(client.Reader(http.MaxBytesReader(w, r.Body, int64(c.policy.MaxBodyBytes))))
	client.SetStage(conns.Serving)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, verdt.New(verdt.NotRun, verdt.TooLarge, "the body may hold at most "+strconv.Itoa(c.policy.MaxBodyBytes)+" bytes")
	case errors.Is(err, conns.ErrNoRoom):
		return nil, verdt.New(verdt.NotRun, verdt.Overloaded, err.Error(), verdt.RetryAt(time.Now().Add(noRoomPause)))
	case err != nil:
		return nil, verdt.New(verdt.NotRun, verdt.BadRequest, "the body was cut short or came too slowly")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return raw, nil
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure and whether the request may have run.
type ErrorDetail struct {
	Message string        `json:"message"`
	Reason  verdt.Reason  `json:"reason"`
	Verdict verdt.Verdict `json:"verdict"`
	// RetryAfter is in seconds; 0 means that the request shouldn't be retried unchanged.
	RetryAfter int `json:"retry_after_seconds,omitempty"`
}

// errorDetail converts a failure for an error response.
func errorDetail(failure *verdt.Error) ErrorDetail {
	return ErrorDetail{Message: failure.Message, Reason: failure.Reason, Verdict: failure.Verdict, RetryAfter: retryAfterSeconds(failure)}
}

// retryAfterSeconds returns 0 if the request shouldn't be retried, or else the seconds
// until it may be retried, at least 1.
func retryAfterSeconds(failure *verdt.Error) int {
	if failure.RetryAt.IsZero() {
		return 0
	}
	return max(1, int(math.Ceil(time.Until(failure.RetryAt).Seconds())))
}

// writeError writes a failure as the response.
func (f *Front) writeError(w http.ResponseWriter, c caller, failure *verdt.Error) {
	f.log.Debug(evlog.RequestFailed, "team", c.team, "reason", failure.Reason.String(), "verdict", failure.Verdict.String(), "server", failure.Server)
	if seconds := retryAfterSeconds(failure); seconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set(verdictHeader, failure.Verdict.String())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus(failure.Reason))
	_ = json.NewEncoder(w).Encode(ErrorBody{Error: errorDetail(failure)})
}

// httpStatus returns the HTTP status of a failure reason.
func httpStatus(reason verdt.Reason) int {
	switch reason {
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
		verdt.OwnerUnknown, verdt.SettingsStale, verdt.PromptBlocked, verdt.RequestBlocked, verdt.Unreachable:
		return http.StatusServiceUnavailable
	case verdt.Internal, verdt.CallerGone, verdt.Fenced, verdt.HeadersTooLarge:
	}
	return http.StatusInternalServerError
}

// serveModels responds with the models that the caller's team may use.
func (f *Front) serveModels(w http.ResponseWriter, r *http.Request) {
	c, failure := f.authenticate(r)
	if failure != nil {
		f.writeError(w, c, failure)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(modelList(c.policy))
}
