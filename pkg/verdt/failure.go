package verdt

import (
	"errors"
	"fmt"
	"time"
)

//go:generate enumer -type=Reason -transform=snake -text -output=reason_enumer.go

// Reason names the cause of a failure. Callers may rely on the names.
type Reason uint8

const (
	// Internal is a fault of the router itself.
	Internal Reason = iota
	// BadRequest is a request that cannot be understood.
	BadRequest
	// TooLarge is a body over the limit in force.
	TooLarge
	// Unauthorized is a missing or unknown API key.
	Unauthorized
	// Forbidden is a team that may not use the model or service.
	Forbidden
	// UnknownModel is a model that the settings do not name.
	UnknownModel
	// UnknownService is a plain service that the settings do not name.
	UnknownService
	// Overloaded is a request that cannot be served in time, or a full queue.
	Overloaded
	// RateLimited is a team over its own limit.
	RateLimited
	// NoRoute means that no chain of live servers covers all layers.
	NoRoute
	// DeadlinePassed is a request whose deadline passed before its end.
	DeadlinePassed
	// StageFailed is a backend server that failed during the request.
	StageFailed
	// CallerGone is a caller that closed its connection.
	CallerGone
	// Stopping is a daemon that takes no new work.
	Stopping
	// JournalDown means that an intent cannot be made durable at present.
	JournalDown
	// JournalFull is a shard with no room for a further intent.
	JournalFull
	// KeyRequired is a non-idempotent call without its key.
	KeyRequired
	// KeyReused is a known key with another request body.
	KeyReused
	// KeyInProgress is a key whose first call has not ended.
	KeyInProgress
	// OutcomeUnknown is a key whose first call left no recorded outcome.
	OutcomeUnknown
	// OwnerUnknown means that no live daemon owns the shard of a key.
	OwnerUnknown
	// PeerLost is a connection to another daemon that ended before its answer.
	PeerLost
	// SettingsStale means that this daemon has no settings in force.
	SettingsStale
	// UnknownRoute is a host and path that the settings do not name.
	UnknownRoute
	// Fenced is an order whose receiver has seen a higher fencing number.
	Fenced
	// HeadersTooLarge is a request whose headers are over the limit in force.
	HeadersTooLarge
)

// Error is the error type of the router: it always says whether the request
// may have run.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the cause, stable for callers.
	Reason Reason
	// Message is one plain sentence for a person.
	Message string
	// RetryAt is when a new try makes sense; zero means that none does.
	RetryAt time.Time
	// Server is the backend server that failed, where one is known.
	Server string
}

// Option adjusts a Error under construction.
type Option func(*Error)

// RetryAt sets the moment from which a new try makes sense.
func RetryAt(t time.Time) Option { return func(f *Error) { f.RetryAt = t } }

// Server names the backend server that failed.
func Server(id string) Option { return func(f *Error) { f.Server = id } }

// New returns a Error.
func New(v Verdict, r Reason, message string, opts ...Option) *Error {
	f := &Error{Verdict: v, Reason: r, Message: message}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Error implements error.
func (f *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", f.Message, f.Reason, f.Verdict)
}

// Of finds the Error in an error chain. An unknown error becomes an Internal
// failure with the given verdict, so that no error is silently read as not run.
// No error is no failure.
func Of(err error, fallback Verdict) *Error {
	if err == nil {
		return nil
	}
	var f *Error
	if errors.As(err, &f) {
		return f
	}
	return New(fallback, Internal, err.Error())
}
