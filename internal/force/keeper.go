// Package force keeps the settings in force at a daemon: from the platform's log
// by one watch, or from a peer that has a newer revision. It never goes back.
package force

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/plat"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

const (
	// watchTimeout is longer than the service holds a watch open.
	watchTimeout = 30 * time.Second
	// retryAfter is the pause after a watch that failed.
	retryAfter = 500 * time.Millisecond
	// staleAfter is how long settings count as current after the last confirmation by
	// the platform or a peer.
	staleAfter = 45 * time.Second
)

// Keeper keeps one daemon's settings.
type Keeper struct {
	log evlog.Log
	kv  plat.KV
	// changed is told of each new revision.
	changed func(*setts.Force)

	mu       sync.Mutex
	follower rings.Follower
	// confirmed is when the platform or a peer last confirmed the revision.
	confirmed time.Time
	stale     bool
}

// NewKeeper returns a keeper without settings.
func NewKeeper(log evlog.Log, kv plat.KV, changed func(*setts.Force)) *Keeper {
	return &Keeper{log: log, kv: kv, changed: changed}
}

// Force returns the settings in force, or nil.
func (k *Keeper) Force() *setts.Force {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.follower.Force()
}

// Revision returns the revision in force.
func (k *Keeper) Revision() model.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.follower.Revision()
}

// Serve follows the platform's log. It implements suture.Service.
func (k *Keeper) Serve(ctx context.Context) error {
	seen := uint64(0)
	first := true
	for ctx.Err() == nil {
		e, out := k.wait(ctx, seen, first)
		if out != model.Done {
			pause(ctx, retryAfter)
			continue
		}
		if err := k.take(ctx, e); err != nil {
			k.log.Error(err, evlog.SettingsUnreadable)
			pause(ctx, retryAfter)
			continue
		}
		first, seen = false, e.Revision
	}
	return ctx.Err()
}

// wait reads the head at first, and then waits for it to change.
func (k *Keeper) wait(ctx context.Context, seen uint64, first bool) (model.Entry, model.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if first {
		return k.kv.Get(ctx, rings.HeadKey)
	}
	return k.kv.Watch(ctx, rings.HeadKey, seen)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// take brings the settings up to the head.
func (k *Keeper) take(ctx context.Context, e model.Entry) error {
	h, err := rings.DecodeHead(e.Value)
	if err != nil {
		return err
	}
	mine := k.Revision()
	if h.Revision < mine {
		k.log.Error(errors.New("the platform's settings went back"), evlog.SettingsOlder, "platform", h.Revision, "in_force", mine)
		return nil
	}
	if done, err := k.OfferChanges(h.Entries); done && k.Revision() >= h.Revision && k.Force() != nil {
		k.Confirm()
		return err
	}
	t, err := rings.NewLog(k.kv).Load(ctx, h)
	if err != nil {
		return err
	}
	k.OfferTree(t)
	k.Confirm()
	return nil
}

// OfferTree takes a whole tree if it is newer.
func (k *Keeper) OfferTree(t setts.Tree) {
	k.mu.Lock()
	newer := k.follower.OfferTree(t)
	f := k.follower.Force()
	k.mu.Unlock()
	if newer {
		k.announce(f)
	}
}

// OfferChanges applies changes that follow. It returns false where they leave a
// gap or cannot be applied.
func (k *Keeper) OfferChanges(changes []setts.Change) (bool, error) {
	k.mu.Lock()
	before := k.follower.Revision()
	done, err := k.follower.OfferChanges(changes)
	f := k.follower.Force()
	k.mu.Unlock()
	if f != nil && f.Revision > before {
		k.announce(f)
	}
	return done, trace.Wrap(err)
}

// Since returns the changes after a revision, or the whole tree.
func (k *Keeper) Since(r model.Revision) ([]setts.Change, *setts.Tree) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if changes, ok := k.follower.Since(r); ok {
		return changes, nil
	}
	t := k.follower.Force().Tree
	return nil, &t
}

func (k *Keeper) announce(f *setts.Force) {
	k.log.Info(evlog.SettingsInForce, "revision", f.Revision)
	k.changed(f)
}

// Confirm takes in that the platform or a peer knows nothing newer.
func (k *Keeper) Confirm() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmed = time.Now()
	if k.stale {
		k.stale = false
		k.log.Info(evlog.SettingsCurrent)
	}
}

// Current returns why the settings may not be current, or nil. The daemon keeps
// serving with them meanwhile: the balancer is told, and callers that come all
// the same are better served by the last settings than by none.
func (k *Keeper) Current() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.follower.Force() == nil {
		return trace.NotFound("no settings yet")
	}
	if time.Since(k.confirmed) < staleAfter {
		return nil
	}
	if !k.stale {
		k.stale = true
		k.log.Info(evlog.SettingsStale, "revision", k.follower.Revision())
	}
	return trace.ConnectionProblem(nil, "neither the platform nor a peer confirms the settings")
}
