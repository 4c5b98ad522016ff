package plat

import (
	"context"
	"errors"
	"time"

	"bulrushpond.example/bulrushpond/internal/mirror"
)

// ErrCompacted means that the service has compacted the requested history, so that
// all keys have to be read again.
var ErrCompacted = errors.New("key-value history after the requested revision is compacted")

// PrefixReader reads ranges of keys of the platform's key-value service.
type PrefixReader interface {
	// Read returns all keys with a prefix.
	Read(ctx context.Context, prefix string) (mirror.Delta, error)
	// Changes returns the changes to keys with a prefix after a revision. It blocks
	// until there is a change; after the wait it returns an empty delta.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (mirror.Delta, error)
}
