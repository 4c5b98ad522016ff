// Package force keeps a daemon's settings in force up to date, by a watch on the
// platform's settings log and from peers that have a newer revision. The revision in
// force never decreases.
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
	// watchTimeout must exceed the time that the service holds a watch open.
	watchTimeout = 30 * time.Second
	// retryDelay is the delay before a failed read or watch is retried.
	retryDelay = 500 * time.Millisecond
	// staleAfter is how long settings count as current after the platform or a peer
	// last confirmed them.
	staleAfter = 45 * time.Second
)

// Keeper holds one daemon's settings in force and keeps them up to date.
type Keeper struct {
	log evlog.Log
	kv  plat.KV
	// onChange is called with each new revision.
	onChange func(*setts.EffectiveSettings)

	mu       sync.Mutex
	follower rings.Follower
	// confirmedAt is when the platform or a peer last confirmed the revision.
	confirmedAt time.Time
	stale       bool
}

// NewKeeper returns a keeper that has no settings yet.
func NewKeeper(log evlog.Log, kv plat.KV, onChange func(*setts.EffectiveSettings)) *Keeper {
	return &Keeper{log: log, kv: kv, onChange: onChange}
}

// EffectiveSettings returns the settings in force, or nil before the first revision.
func (k *Keeper) EffectiveSettings() *setts.EffectiveSettings {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.follower.EffectiveSettings()
}

// Revision returns the revision of the settings in force.
func (k *Keeper) Revision() model.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.follower.Revision()
}

// String returns the name of this suture.Service in log events.
func (k *Keeper) String() string { return "settings" }

// Serve follows the platform's settings log until ctx ends. It implements
// suture.Service.
func (k *Keeper) Serve(ctx context.Context) error {
	lastRevision := uint64(0)
	firstRead := true
	for ctx.Err() == nil {
		entry, outcome := k.nextHead(ctx, lastRevision, firstRead)
		if outcome != model.Done {
			sleep(ctx, retryDelay)
			continue
		}
		if err := k.applyHead(ctx, entry); err != nil {
			k.log.Error(err, evlog.SettingsUnreadable)
			sleep(ctx, retryDelay)
			continue
		}
		firstRead, lastRevision = false, entry.Revision
	}
	return ctx.Err()
}

// nextHead reads the head of the settings log on the first call, and otherwise waits
// until it changes.
func (k *Keeper) nextHead(ctx context.Context, lastRevision uint64, firstRead bool) (model.Entry, model.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if firstRead {
		return k.kv.Get(ctx, rings.HeadKey)
	}
	return k.kv.Watch(ctx, rings.HeadKey, lastRevision)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// applyHead brings the settings up to the head's revision: by the changes in the head
// where they suffice, otherwise by loading the whole tree.
func (k *Keeper) applyHead(ctx context.Context, entry model.Entry) error {
	head, err := rings.DecodeHead(entry.Value)
	if err != nil {
		return err
	}
	current := k.Revision()
	if head.Revision < current {
		k.log.Error(errors.New("the platform's settings are older than those in force"), evlog.SettingsOlder, "platform", head.Revision, "in_force", current)
		return nil
	}
	if applied, err := k.ApplyChanges(head.Entries); applied && k.Revision() >= head.Revision {
		k.Confirm()
		return err
	}
	tree, err := rings.NewLog(k.kv).Load(ctx, head)
	if err != nil {
		return err
	}
	k.ApplyTree(tree)
	k.Confirm()
	return nil
}

// ApplyTree puts a whole settings tree in force if it is newer.
func (k *Keeper) ApplyTree(tree setts.Tree) {
	k.mu.Lock()
	newer := k.follower.ApplyTree(tree)
	f := k.follower.EffectiveSettings()
	k.mu.Unlock()
	if newer {
		k.notifyChange(f)
	}
}

// ApplyChanges applies changes that follow the revision in force. It returns false if
// they leave a gap or cannot be applied.
func (k *Keeper) ApplyChanges(changes []setts.Change) (bool, error) {
	k.mu.Lock()
	before := k.follower.Revision()
	applied, err := k.follower.ApplyChanges(changes)
	f := k.follower.EffectiveSettings()
	k.mu.Unlock()
	if f != nil && f.Revision > before {
		k.notifyChange(f)
	}
	return applied, trace.Wrap(err)
}

// ChangesSince returns the changes after a revision, or the whole tree if not all of these
// changes are available.
func (k *Keeper) ChangesSince(revision model.Revision) ([]setts.Change, *setts.Tree) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if changes, ok := k.follower.ChangesSince(revision); ok {
		return changes, nil
	}
	tree := k.follower.EffectiveSettings().Tree
	return nil, &tree
}

// notifyChange logs a new revision and passes it to onChange.
func (k *Keeper) notifyChange(f *setts.EffectiveSettings) {
	k.log.Info(evlog.SettingsInForce, "revision", f.Revision)
	k.onChange(f)
}

// Confirm records that the platform or a peer has no newer revision.
func (k *Keeper) Confirm() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmedAt = time.Now()
	if k.stale {
		k.stale = false
		k.log.Info(evlog.SettingsCurrent)
	}
}

// Current returns an error if the settings may be stale. The daemon reports this to the
// load balancer but keeps serving: callers that still reach it are better served with
// the last settings than with none.
func (k *Keeper) Current() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.follower.EffectiveSettings() == nil {
		return trace.NotFound("no settings yet")
	}
	if time.Since(k.confirmedAt) < staleAfter {
		return nil
	}
	if !k.stale {
		k.stale = true
		k.log.Info(evlog.SettingsStale, "revision", k.follower.Revision())
	}
	return trace.ConnectionProblem(nil, "neither the platform nor a peer confirms the settings")
}
