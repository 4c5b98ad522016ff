// Package fakes holds small stand-ins for the outside systems: the platform's
// services, the model engines and a plain service. Tests use them in memory;
// the dev command and cmd/standin serve them over HTTP.
package fakes

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	watchLimit = 20 * time.Second
	// watchPoll is how soon a watch sees that a lease has lapsed.
	watchPoll = 50 * time.Millisecond
)

//go:generate enumer -type=Fault -transform=snake -text -output=fault_enumer.go

// Fault is how the key-value stand-in misbehaves.
type Fault uint8

const (
	// Healthy serves every call.
	Healthy Fault = iota
	// Outage refuses every call.
	Outage
	// LostAnswers carries out writes and loses their answers.
	LostAnswers
	// Slow delays every call by SlowBy.
	Slow
)

// KVCounts counts the calls by kind.
type KVCounts struct {
	Gets, Writes, Watches, Leases int
}

// KV is an in-memory key-value service.
type KV struct {
	mu      sync.Mutex
	store   *Store
	changed chan struct{}
	fault   Fault
	// SlowBy is the delay of each call under the Slow fault.
	SlowBy time.Duration
	// writes bounds the writes a second; nil is no bound.
	writes *rate.Limiter
	counts KVCounts
}

// NewKV returns an empty healthy service.
func NewKV() *KV {
	return &KV{
		store:   NewStore(),
		changed: make(chan struct{}),
		SlowBy:  time.Second,
	}
}

// SetFault changes how the service misbehaves from now on.
func (k *KV) SetFault(f Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	k.wake()
}

// LimitWrites refuses writes beyond a number a second.
func (k *KV) LimitWrites(perSecond int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writes = rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Counts returns the calls served so far.
func (k *KV) Counts() KVCounts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// enter applies the fault in force and reports whether the call may go on.
func (k *KV) enter(ctx context.Context) (Fault, model.Outcome) {
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
	if _, out := k.enter(ctx); out != model.Done {
		return model.Entry{}, out
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Gets++
	return k.store.Get(time.Now(), key), model.Done
}

// CAS implements plat.KV.
func (k *KV) CAS(ctx context.Context, op model.CAS) (uint64, model.Outcome) {
	fault, out := k.enter(ctx)
	if out != model.Done {
		return 0, out
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Writes++
	if k.writes != nil && !k.writes.Allow() {
		return 0, model.Refused
	}
	rev, out := k.store.CAS(time.Now(), op)
	k.wake()
	if fault == LostAnswers {
		return 0, model.Unknown
	}
	return rev, out
}

// Watch implements plat.KV.
func (k *KV) Watch(ctx context.Context, key string, after uint64) (model.Entry, model.Outcome) {
	limit := time.NewTimer(watchLimit)
	defer limit.Stop()
	for {
		if _, out := k.enter(ctx); out != model.Done {
			return model.Entry{}, out
		}
		k.mu.Lock()
		k.counts.Watches++
		e, changed := k.store.Get(time.Now(), key), k.changed
		k.mu.Unlock()
		if e.Revision != after {
			return e, model.Done
		}
		select {
		case <-changed:
		case <-time.After(watchPoll):
		case <-limit.C:
			return e, model.Done
		case <-ctx.Done():
			return model.Entry{}, model.Unknown
		}
	}
}

// Grant implements plat.KV.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (model.LeaseID, model.Outcome) {
	fault, out := k.enter(ctx)
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
	fault, out := k.enter(ctx)
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

func (k *KV) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}
