package drive

import (
	"context"
	"errors"
	"sync"
	"time"

	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/internal/plat"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// feedInterval is the pause between two reads of the service, so that changes in
	// quick succession are read together.
	feedInterval = 100 * time.Millisecond
	// longPollWait is how long the service may hold a long poll while nothing changes.
	// It bounds how long an unresponsive service goes unnoticed.
	longPollWait = 700 * time.Millisecond
	// longPollTimeout bounds a read. After it the service counts as unavailable.
	longPollTimeout = longPollWait + 400*time.Millisecond
	// readAllTimeout bounds a read of all keys, which takes some pages.
	readAllTimeout = longPollTimeout
	// HubInterval is the interval at which the hub, the daemon that reads the service for
	// the others, is asked.
	HubInterval = 250 * time.Millisecond
	// hubTimeout bounds a request to the hub, or to any other daemon.
	hubTimeout = 350 * time.Millisecond
	// hubCurrentFor is how long an answer of the hub counts as current.
	hubCurrentFor = HubInterval + hubTimeout
	// maxHubAge is how long ago the service may last have answered the hub for the
	// hub's answer to count as current.
	maxHubAge = 1300 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay between two reads of a service
	// that does not answer; the delay doubles each time, since refused calls cost as well.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = time.Second
)

// HubClient gives access to the copies of the key-value service that other daemons have:
// that of the hub, which reads the service for the others, and that of any daemon.
type HubClient interface {
	// Ask asks the hub for the changes after a position. It returns false if no other
	// daemon is the hub or if the hub does not answer. age is how long ago the service
	// last answered the hub.
	Ask(ctx context.Context, after model.Position) (d mirror.Delta, age time.Duration, ok bool)
	// AskAnyDaemon asks any other daemon for the changes after a position. It is used while
	// the service does not answer here, or has too many changes.
	AskAnyDaemon(ctx context.Context, after model.Position) (mirror.Delta, bool)
}

// StoreMirror keeps this daemon's copy of the platform's key-value service up to date. One
// daemon, the hub, reads the service; the others ask the hub. They fall back to
// reading the service themselves as soon as the hub does not answer or gets no answer
// from the service. If the service does not answer here either, any other daemon is
// asked.
type StoreMirror struct {
	log    evlog.Log
	source plat.PrefixReader
	hub    HubClient
	// onChange receives the changes in order, one call at a time, and each only once: it must not panic.
	onChange func(now time.Time, changes mirror.Changes)
	// applying is a semaphore, held from applying a delta until onChange has returned.
	applying chan struct{}

	mu    sync.Mutex
	state *mirror.State
	// lastContact is when the service last answered this daemon.
	lastContact time.Time
	// hubCurrentAt is when the hub last gave an answer that was current.
	hubCurrentAt time.Time
	// downSince is when the service stopped answering; zero while it answers, or while
	// the hub's answers are current.
	downSince time.Time
	// recoveredAt is when the last outage of the service ended, or when it was restored from
	// an older copy, or zero.
	recoveredAt time.Time
	// minOutage is how long the service must not have answered for an outage that recoveredAt counts.
	minOutage time.Duration
	// currentAsOf is the time of the last delta that was current.
	currentAsOf time.Time
	// hasRead is set once this daemon has a complete copy, from the service or the hub.
	// From then on only changes are read, unless the service has lost their history.
	hasRead    bool
	retryDelay time.Duration
	// appliedAsOf is the time of the last delta that was applied; it never decreases.
	appliedAsOf time.Time
}

// StoreMirrorOption configures a StoreMirror.
type StoreMirrorOption func(*StoreMirror)

// WithMinOutage sets how long the service must not have answered for RecoveredAt to count it as an outage. By default each
// read that failed is one.
func WithMinOutage(d time.Duration) StoreMirrorOption {
	return func(f *StoreMirror) { f.minOutage = d }
}

// NewStoreMirror returns a StoreMirror with an empty copy.
func NewStoreMirror(log evlog.Log, source plat.PrefixReader, hub HubClient, onChange func(time.Time, mirror.Changes), opts ...StoreMirrorOption) *StoreMirror {
	f := &StoreMirror{log: log, source: source, hub: hub, onChange: onChange, applying: make(chan struct{}, 1), state: mirror.New()}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Serve reads the service until the context ends, except while the hub's answers are
// current. It implements suture.Service.
func (f *StoreMirror) Serve(ctx context.Context) error {
	for {
		delay := f.poll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
}

// String returns the name of this suture.Service in log events.
func (f *StoreMirror) String() string { return "feed" }

// poll reads the service once, unless the hub's last answer is still current, and
// returns the delay until the next poll.
func (f *StoreMirror) poll(ctx context.Context) time.Duration {
	if f.hubIsCurrent(time.Now()) {
		return feedInterval
	}
	err := f.readService(ctx)
	if err == nil {
		f.retryDelay = 0
		return feedInterval
	}
	if ctx.Err() == nil {
		f.markDown(err)
		f.askAnyDaemon(ctx)
	}
	f.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*f.retryDelay))
	return f.retryDelay
}

// hubIsCurrent reports whether the hub's last current answer is recent enough to make
// reading the service unnecessary.
func (f *StoreMirror) hubIsCurrent(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.hubCurrentAt) < hubCurrentFor
}

// AskHub asks the hub for changes and applies them. It has to be called during an
// outage of the service too: with the same request the daemons tell each other what
// they have in progress.
func (f *StoreMirror) AskHub(ctx context.Context) {
	after := f.Position()
	ctx, cancel := context.WithTimeout(ctx, hubTimeout)
	defer cancel()
	d, age, ok := f.hub.Ask(ctx, after)
	now := time.Now()
	switch {
	case !ok:
	case d.Era < after.Era:
		// The hub has not noticed yet that the service was restored.
	case age > maxHubAge:
		f.apply(now, d)
	default:
		f.mu.Lock()
		f.hubCurrentAt = now
		f.mu.Unlock()
		f.applyCurrent(d, now.Add(-age))
	}
}

// errEarlierEra means that the service answered from before a restore that is known here.
var errEarlierEra = errors.New("the key-value service answered with an earlier era than before")

// readService reads the changes from the service itself, or all keys if there was no read
// yet, the service no longer has the history, or the service was restored since the last read. If there are too many
// changes, the newest state is read instead: from another daemon that has more, as that takes the least, or else from the
// service.
func (f *StoreMirror) readService(ctx context.Context) error {
	f.mu.Lock()
	hasRead, after := f.hasRead, f.state.Position()
	f.mu.Unlock()
	var d mirror.Delta
	var err error
	if hasRead {
		d, err = f.changes(ctx, after)
	}
	if errors.Is(err, plat.ErrTooManyChanges) {
		f.log.Info(evlog.StoreHistorySkipped, "after_revision", after.Revision)
		f.askAnyDaemon(ctx)
		if f.Position() != after {
			// The next poll reads what that daemon had not read yet.
			return nil
		}
	}
	if !hasRead || errors.Is(err, plat.ErrCompacted) || errors.Is(err, plat.ErrTooManyChanges) || (err == nil && d.Era > after.Era) {
		d, err = f.readAll(ctx)
	}
	if err == nil && d.Era < after.Era {
		err = errEarlierEra
	}
	if err != nil {
		return err
	}
	now := time.Now()
	f.mu.Lock()
	f.lastContact = now
	f.mu.Unlock()
	f.applyCurrent(d, now)
	return nil
}

// changes reads the changes after a position from the service.
func (f *StoreMirror) changes(ctx context.Context, after model.Position) (mirror.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout)
	defer cancel()
	wait := longPollWait
	if f.isDown() {
		// The answer shows at once that the service is back.
		wait = 0
	}
	return f.source.Changes(ctx, "", after, wait)
}

// isDown reports whether the service does not answer, as seen from here.
func (f *StoreMirror) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.downSince.IsZero()
}

// readAll reads all keys from the service.
func (f *StoreMirror) readAll(ctx context.Context) (mirror.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, readAllTimeout)
	defer cancel()
	return f.source.Read(ctx, "")
}

// askAnyDaemon asks another daemon, which may still reach the service, for changes.
func (f *StoreMirror) askAnyDaemon(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hubTimeout)
	defer cancel()
	if d, ok := f.hub.AskAnyDaemon(ctx, f.Position()); ok {
		f.apply(time.Now(), d)
	}
}

// applyCurrent applies a delta that was current at a given time, and ends an outage.
func (f *StoreMirror) applyCurrent(d mirror.Delta, asOf time.Time) {
	f.mu.Lock()
	f.hasRead = true
	if !f.downSince.IsZero() {
		f.log.Info(evlog.StoreUp, "away_ms", asOf.Sub(f.downSince).Milliseconds(), "revision", d.Revision)
		f.downSince = time.Time{}
		if asOf.Sub(f.currentAsOf) >= f.minOutage {
			f.recoveredAt = asOf
		}
	}
	if asOf.After(f.currentAsOf) {
		f.currentAsOf = asOf
	}
	f.mu.Unlock()
	f.apply(asOf, d)
}

// apply applies a delta that was current at a given time and reports the changes to onChange.
// The reported times do not decrease, although another daemon's answer may hold newer changes
// as of an earlier time: the receiver drops what is older than what it has.
func (f *StoreMirror) apply(asOf time.Time, d mirror.Delta) {
	f.applying <- struct{}{}
	defer func() { <-f.applying }()
	changes, asOf := f.merge(asOf, d)
	f.onChange(asOf, changes)
}

// merge merges a delta that was current at a given time into the copy, and returns the changes and the time to report.
func (f *StoreMirror) merge(asOf time.Time, d mirror.Delta) (mirror.Changes, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.Position()
	changes := f.state.Apply(d)
	if changes.Restored {
		f.recoveredAt = asOf
		f.log.Info(evlog.StoreRestored, "era", d.Era, "revision", d.Revision, "era_before", before.Era, "revision_before", before.Revision, "changed", len(changes.Items))
	}
	if asOf.After(f.appliedAsOf) {
		f.appliedAsOf = asOf
	}
	return changes, f.appliedAsOf
}

// markDown records and logs the start of an outage of the service, as seen from here.
func (f *StoreMirror) markDown(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.downSince.IsZero() {
		f.downSince = time.Now()
		f.log.Error(err, evlog.StoreDown, "revision", f.state.Position().Revision)
	}
}

// Age returns how long ago the service last answered this daemon; an hour if it never
// has.
func (f *StoreMirror) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastContact.IsZero() {
		return time.Hour
	}
	return now.Sub(f.lastContact)
}

// ChangesSince returns the changes after a position.
func (f *StoreMirror) ChangesSince(after model.Position) mirror.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.ChangesSince(after)
}

// Get returns the item of a key, or false if the key does not exist, and the position of the
// copy that says so.
func (f *StoreMirror) Get(key string) (mirror.Item, model.Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	item, ok := f.state.Get(key)
	return item, f.state.Position(), ok
}

// RecoveredAt returns when the last outage of the service ended or it was restored, or zero.
func (f *StoreMirror) RecoveredAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recoveredAt
}

// Position returns the position up to which the copy is complete; its revision is 0 before
// the first read.
func (f *StoreMirror) Position() model.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Position()
}
