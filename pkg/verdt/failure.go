package verdt

import (
	"errors"
	"fmt"
	"time"
)

//go:generate enumer -type=Reason -transform=snake -text -output=reason_enumer.go

// Reason is the cause of an error. Its names are part of the API for callers.
type Reason uint8

const (
	// Internal means that the router itself failed.
	Internal Reason = iota
	// BadRequest means that the request is malformed.
	BadRequest
	// TooLarge means that the request body is over the configured limit.
	TooLarge
	// Unauthorized means that the API key is missing or unknown.
	Unauthorized
	// Forbidden means that the team may not use the model or service.
	Forbidden
	// UnknownModel means that the settings do not list the requested model.
	UnknownModel
	// UnknownService means that no plain service has the requested name.
	UnknownService
	// Overloaded means that the queue is full or the request cannot be served in
	// time.
	Overloaded
	// RateLimited means that the team is over its own limit.
	RateLimited
	// NoRoute means that no chain of live engines covers all layers of the model.
	NoRoute
	// DeadlinePassed means that the deadline passed before the request completed.
	DeadlinePassed
	// StageFailed means that a backend server failed during the request.
	StageFailed
	// CallerGone means that the caller closed its connection.
	CallerGone
	// Stopping means that the daemon is shutting down and takes no new requests.
	Stopping
	// JournalDown means that the journal is unavailable, so the intent to run the
	// request cannot be made durable.
	JournalDown
	// JournalFull means that the journal shard has no room for another intent.
	JournalFull
	// KeyRequired means that a non-idempotent call has no idempotency key.
	KeyRequired
	// KeyReused means that the idempotency key was used before with another request
	// body.
	KeyReused
	// KeyInProgress means that the first call with the idempotency key is still
	// running.
	KeyInProgress
	// OutcomeUnknown means that no outcome is recorded for the first call with the
	// idempotency key.
	OutcomeUnknown
	// OwnerUnknown means that no live daemon owns the journal shard of the
	// idempotency key.
	OwnerUnknown
	// PeerLost means that the connection to another daemon closed before it answered.
	PeerLost
	// SettingsStale means that this daemon has not loaded any settings yet.
	SettingsStale
	// UnknownRoute means that no route matches the host and path.
	UnknownRoute
	// Fenced means that the receiver of an order has seen a higher fencing token.
	Fenced
	// HeadersTooLarge means that the request headers are over the configured limit.
	HeadersTooLarge
	// PromptBlocked means that backend servers crash on a part of the prompt.
	PromptBlocked
	// RequestBlocked means that backend servers crash on this very request.
	RequestBlocked
	// Unreachable means that this daemon has no connection to the backend servers.
	Unreachable
)

// Error is the router's error type. It always says whether the request may have
// run.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// Message is one sentence for people to read.
	Message string
	// RetryAt is the earliest useful time for a retry; zero means that retrying does
	// not help.
	RetryAt time.Time
	// Server is the ID of the backend server that failed; empty if unknown.
	Server string
}

// Option sets an optional field of an Error.
type Option func(*Error)

// RetryAt sets the earliest useful time for a retry.
func RetryAt(t time.Time) Option { return func(e *Error) { e.RetryAt = t } }

// Server sets the ID of the backend server that failed.
func Server(id string) Option { return func(e *Error) { e.Server = id } }

// New returns an Error.
func New(v Verdict, r Reason, message string, opts ...Option) *Error {
	e := &Error{Verdict: v, Reason: r, Message: message}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Reason, e.Verdict)
}

// AsError returns the first Error in err's chain, or nil if err is nil. Any other error
// becomes an Internal Error with the fallback verdict, so that no error counts as
// NotRun by accident.
func AsError(err error, fallback Verdict) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(fallback, Internal, err.Error())
}
