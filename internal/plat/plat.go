// Package plat is the router's view of the platform: the key-value service,
// the membership list and the weight store, each behind a narrow interface.
// The HTTP clients in this package are adapters and hold no decision.
package plat

import (
	"context"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// KV is the platform's key-value service. Nothing beyond single-key reads,
// compare-and-swap, leases and watches is assumed of it.
type KV interface {
	// Get reads one key. An absent key is Done with Revision 0.
	Get(ctx context.Context, key string) (model.Entry, model.Outcome)
	// CAS writes one key if its revision is as expected, and returns the new
	// revision.
	CAS(ctx context.Context, op model.CAS) (uint64, model.Outcome)
	// Watch waits until the key's revision differs from after, or until the
	// service's own time limit, and returns the entry.
	Watch(ctx context.Context, key string, after uint64) (model.Entry, model.Outcome)
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (model.LeaseID, model.Outcome)
	// KeepAlive renews a lease. Conflict means that the lease has lapsed.
	KeepAlive(ctx context.Context, id model.LeaseID) model.Outcome
}

// Members is the platform's list of VMs. It lags.
type Members interface {
	List(ctx context.Context) ([]model.Member, error)
}

// Weights is the platform's rate-limited store of model weights.
type Weights interface {
	// Reserve asks for the right to load a number of layers and returns when
	// the load may start. The store's rate is shared by all who ask.
	Reserve(ctx context.Context, layers int) (time.Time, error)
}
