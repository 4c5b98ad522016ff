// Package fakes provides fakes of the external systems: the platform's services, model engines
// and a plain service. Tests use them in memory; the dev command and cmd/standin serve them
// over HTTP.
package fakes

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// watchTimeout is when a watch without a change returns the unchanged entry.
	watchTimeout = 20 * time.Second
	// watchPollInterval bounds how late a watch notices that a lease has expired, as expiry
	// doesn't notify watches.
	watchPollInterval = 50 * time.Millisecond
)

//go:generate enumer -type=Fault -transform=snake -text -output=fault_enumer.go

// Fault is a kind of failure of the fake key-value service.
type Fault uint8

const (
	// Healthy serves every call.
	Healthy Fault = iota
	// Outage refuses every call.
	Outage
	// LostAnswers carries out writes and lease calls but loses their responses.
	LostAnswers
	// Slow delays every call by SlowBy.
	Slow
)

// KVCounts holds the number of calls by kind.
type KVCounts struct {
	Gets, Writes, Watches, Leases int
}

// KV is an in-memory key-value service. It implements plat.KV.
type KV struct {
	mu    sync.Mutex
	store *Store
	// changed is closed, and replaced, to notify watches.
	changed chan struct{}
	fault   Fault
	// SlowBy is the delay of each call under the Slow fault.
	SlowBy time.Duration
	// writeLimiter limits the rate of writes; nil means no limit.
	writeLimiter *rate.Limiter
	counts       KVCounts
}

// NewKV returns an empty service without a fault.
func NewKV() *KV {
	return &KV{
		store:   NewStore(),
		changed: make(chan struct{}),
		SlowBy:  time.Second,
	}
}

// SetFault sets the fault that applies to calls from now on.
func (k *KV) SetFault(f Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	k.notifyWatches()
}

// LimitWrites makes the service refuse writes above a rate, with bursts of up to one second.
func (k *KV) LimitWrites(perSecond int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writeLimiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Counts returns the number of calls served so far.
func (k *KV) Counts() KVCounts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// applyFault applies the current fault to a call and returns it. The call may go on only if the
// outcome is model.Done.
func (k *KV) applyFault(ctx context.Context) (Fault, model.Outcome) {
	k.mu.Lock()
	fault, delay := k.fault, k.SlowBy
	k.mu.Unlock()
	switch fault {
	case Outage:
		return fault, model.Refused
	case Slow:
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return fault, model.Unknown
		}
	case Healthy, LostAnswers:
	}
	return fault, model.Done
}

// Get implements plat.KV.
func (k *KV) Get(ctx context.Context, key string) (model.Entry, model.Outcome) {
	if _, outcome := k.applyFault(ctx); outcome != model.Done {
		return model.Entry{}, outcome
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Gets++
	return k.store.Get(time.Now(), key), model.Done
}

// CAS implements plat.KV.
func (k *KV) CAS(ctx context.Context, op model.CAS) (uint64, model.Outcome) {
	fault, out := k.applyFault(ctx)
	if out != model.Done {
		return 0, out
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Writes++
	if k.writeLimiter != nil && !k.writeLimiter.Allow() {
		return 0, model.Refused
	}
	rev, out := k.store.CAS(time.Now(), op)
	k.notifyWatches()
	if fault == LostAnswers {
		return 0, model.Unknown
	}
	return rev, out
}

// Watch implements plat.KV. It returns once the entry's revision differs from after, or after
// watchTimeout.
func (k *KV) Watch(ctx context.Context, key string, after uint64) (model.Entry, model.Outcome) {
	timeout := time.NewTimer(watchTimeout)
	defer timeout.Stop()
	for {
		if _, out := k.applyFault(ctx); out != model.Done {
			return model.Entry{}, out
		}
		k.mu.Lock()
		k.counts.Watches++
		entry, changed := k.store.Get(time.Now(), key), k.changed
		k.mu.Unlock()
		if entry.Revision != after {
			return entry, model.Done
		}
		select {
		case <-changed:
		case <-time.After(watchPollInterval):
		case <-timeout.C:
			return entry, model.Done
		case <-ctx.Done():
			return model.Entry{}, model.Unknown
		}
	}
}

// Grant implements plat.KV.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (model.LeaseID, model.Outcome) {
	fault, out := k.applyFault(ctx)
	if out != model.Done {
		return 0, out
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Leases++
	id := k.store.Grant(time.Now(), ttl)
	if fault == LostAnswers {
		return 0, model.Unknown
	}
	return id, model.Done
}

// KeepAlive implements plat.KV.
func (k *KV) KeepAlive(ctx context.Context, id model.LeaseID) model.Outcome {
	fault, out := k.applyFault(ctx)
	if out != model.Done {
		return out
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Leases++
	out = k.store.KeepAlive(time.Now(), id)
	if fault == LostAnswers {
		return model.Unknown
	}
	return out
}

// notifyWatches makes all watches read their entries again. The caller holds mu.
func (k *KV) notifyWatches() {
	close(k.changed)
	k.changed = make(chan struct{})
}
