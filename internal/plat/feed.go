package plat

import (
	"context"
	"errors"
	"time"

	"bulrushpond.example/bulrushpond/internal/mirror"
)

// ErrCompacted means that the service has discarded the history asked for, so that
// all keys have to be read again.
var ErrCompacted = errors.New("the history is no longer available")

// Feed reads many keys of the platform's key-value service at once.
type Feed interface {
	// Read returns all keys below a prefix.
	Read(ctx context.Context, prefix string) (mirror.Delta, error)
	// Changes returns what changed below a prefix after a revision. It waits for
	// at most the given time until something has, and then returns an empty delta.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (mirror.Delta, error)
}
