package plat

import (
	"context"
	"errors"
	"time"

	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// ErrCompacted means that the service has compacted the requested history, so that
// all keys have to be read again.
var ErrCompacted = errors.New("key-value history after the requested revision is compacted")

// ErrTooManyChanges means that the changes after the requested revision are more than a daemon reads at once, so that the
// newest state has to be read instead.
var ErrTooManyChanges = errors.New("too many key-value changes after the requested revision")

// PrefixReader reads ranges of keys of the platform's key-value service.
type PrefixReader interface {
	// Read returns all keys with a prefix.
	Read(ctx context.Context, prefix string) (mirror.Delta, error)
	// Changes returns the changes to keys with a prefix after a position. It blocks
	// until there is a change; after the wait it returns an empty delta. If the service
	// was restored since, the delta has a later era and may lack changes. It fails with ErrCompacted or
	// ErrTooManyChanges if the changes cannot be had.
	Changes(ctx context.Context, prefix string, after model.Position, wait time.Duration) (mirror.Delta, error)
}

// LeaseStore is the part of the platform's key-value service that an election needs.
type LeaseStore interface {
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (model.LeaseID, WriteResult)
	// KeepAlive renews a lease. The outcome is Conflict if it has ended.
	KeepAlive(ctx context.Context, id model.LeaseID) WriteResult
	// CAS writes or deletes a key.
	CAS(ctx context.Context, op model.CAS) WriteResult
}

// WriteResult is the result of a write or of a call for a lease.
type WriteResult struct {
	Outcome model.Outcome
	// Position is the position of the write. Its era is that of the service when it
	// answered; its revision is 0 unless a key was written. It is zero without an answer.
	Position model.Position
}
