// Package plat defines interfaces to the platform: the key-value service, the
// membership list and the weight store. The HTTP client in this package is an
// adapter without any routing logic.
package plat

import (
	"context"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// KV is the platform's key-value service. The router relies only on single-key
// reads, compare-and-swap, leases and watches.
type KV interface {
	// Get reads one key. An absent key yields Done and an entry with Revision 0.
	Get(ctx context.Context, key string) (model.Entry, model.Outcome)
	// CAS writes one key if its revision equals op.Expect, and returns the new
	// revision.
	CAS(ctx context.Context, op model.CAS) (uint64, model.Outcome)
	// Watch blocks until the key's revision differs from after, or until the
	// service's own timeout, and returns the entry.
	Watch(ctx context.Context, key string, after uint64) (model.Entry, model.Outcome)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (model.LeaseID, model.Outcome)
	// KeepAlive renews a lease. Conflict means that the lease has expired.
	KeepAlive(ctx context.Context, id model.LeaseID) model.Outcome
}

// MembershipList is the platform's membership list of VMs. The list may be out of date.
type MembershipList interface {
	List(ctx context.Context) ([]model.Member, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Reserve reserves the loading of a number of layers and returns when the
	// load may start. All clients of the store share its rate limit.
	Reserve(ctx context.Context, layers int) (time.Time, error)
}
