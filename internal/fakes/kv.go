// Package fakes holds small stand-ins for the outside systems: the platform's
// services, the model engines and a plain service. Tests use them in memory;
// the dev command and cmd/standin serve them over HTTP.
package fakes

import (
	"context"
	"sync"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	maxValueBytes = 1 << 20
	watchLimit    = 20 * time.Second
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

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// KV is an in-memory key-value service.
type KV struct {
	mu      sync.Mutex
	entries map[string]model.Entry
	leases  map[model.LeaseID]lease
	last    uint64
	changed chan struct{}
	fault   Fault
	// SlowBy is the delay of each call under the Slow fault.
	SlowBy time.Duration
	counts KVCounts
}

// NewKV returns an empty healthy service.
func NewKV() *KV {
	return &KV{
		entries: map[string]model.Entry{},
		leases:  map[model.LeaseID]lease{},
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
	return k.read(key), model.Done
}

// CAS implements plat.KV.
func (k *KV) CAS(ctx context.Context, op model.CAS) (uint64, model.Outcome) {
	if len(op.Value) > maxValueBytes {
		return 0, model.Refused
	}
	fault, out := k.enter(ctx)
	if out != model.Done {
		return 0, out
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Writes++
	rev, out := k.write(op)
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
		e, changed := k.read(key), k.changed
		k.mu.Unlock()
		if e.Revision != after {
			return e, model.Done
		}
		select {
		case <-changed:
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
	k.last++
	id := model.LeaseID(k.last)
	k.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
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
	k.expire()
	l, ok := k.leases[id]
	if !ok {
		return model.Conflict
	}
	l.expires = time.Now().Add(l.ttl)
	k.leases[id] = l
	if fault == LostAnswers {
		return model.Unknown
	}
	return model.Done
}

// read returns the live entry of a key. The caller holds mu.
func (k *KV) read(key string) model.Entry {
	k.expire()
	e, ok := k.entries[key]
	if !ok {
		return model.Entry{Key: key}
	}
	return e
}

// write carries out a conditional write. The caller holds mu.
func (k *KV) write(op model.CAS) (uint64, model.Outcome) {
	if k.read(op.Key).Revision != op.Expect {
		return 0, model.Conflict
	}
	if op.Lease != 0 {
		if _, ok := k.leases[op.Lease]; !ok {
			return 0, model.Conflict
		}
	}
	k.last++
	if op.Delete {
		delete(k.entries, op.Key)
	} else {
		k.entries[op.Key] = model.Entry{Key: op.Key, Value: append([]byte(nil), op.Value...), Revision: k.last, Lease: op.Lease}
	}
	k.wake()
	return k.last, model.Done
}

// expire drops lapsed leases with their keys. The caller holds mu.
func (k *KV) expire() {
	now := time.Now()
	for id, l := range k.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(k.leases, id)
		for key, e := range k.entries {
			if e.Lease == id {
				delete(k.entries, key)
			}
		}
		k.wake()
	}
}

func (k *KV) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}
