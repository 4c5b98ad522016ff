package drive

import (
	"context"
	"errors"
	"sync"
	"time"

	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/internal/plat"
)

const (
	// feedEvery is how often changes are asked for. Backend servers renew their
	// entries all the time, so that each question is answered at once: the pace
	// bounds the calls, and how late a change is seen.
	feedEvery = 400 * time.Millisecond
	// feedWait is how long the service may hold a question that nothing answers.
	feedWait = 300 * time.Millisecond
	// feedTimeout bounds a question. Beyond it the service counts as away.
	feedTimeout = 900 * time.Millisecond
	// feedRetry is how soon the service and the peers are asked again after a failure.
	feedRetry = 250 * time.Millisecond
	// peerTimeout bounds a question to another daemon.
	peerTimeout = 400 * time.Millisecond
)

// MirrorPeers asks another daemon for what it knows of the key-value service. It
// returns false where none answered.
type MirrorPeers func(ctx context.Context, after uint64) (mirror.Delta, bool)

// Feed keeps this daemon's copy of the platform's key-value service: from the
// service, and from other daemons while it does not answer here.
type Feed struct {
	log    evlog.Log
	source plat.Feed
	peers  MirrorPeers
	// changed is told what was news, in order, from one goroutine.
	changed func(now time.Time, items []mirror.Item)

	mu    sync.Mutex
	state *mirror.State
	// down is since when the service does not answer; zero while it does.
	down time.Time
	// returned is when it last answered again.
	returned time.Time
	// confirmed is when the copy was last known to be current.
	confirmed time.Time
	// read is whether the service itself was read since the start or a lost history.
	read bool
}

// NewFeed returns a feed that has read nothing.
func NewFeed(log evlog.Log, source plat.Feed, peers MirrorPeers, changed func(time.Time, []mirror.Item)) *Feed {
	return &Feed{log: log, source: source, peers: peers, changed: changed, state: mirror.New()}
}

// Serve follows the service until the context ends. It implements suture.Service.
func (f *Feed) Serve(ctx context.Context) error {
	for {
		began := time.Now()
		pause := feedEvery
		if err := f.step(ctx); err != nil {
			f.lost(err)
			f.askPeers(ctx)
			pause = feedRetry
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(began.Add(pause))):
		}
	}
}

// String names the part in events.
func (f *Feed) String() string { return "feed" }

// step asks the service once.
func (f *Feed) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	f.mu.Lock()
	read, after := f.read, f.state.At()
	f.mu.Unlock()
	var delta mirror.Delta
	var err error
	if read {
		delta, err = f.source.Changes(ctx, "", after, feedWait)
	} else {
		delta, err = f.source.Read(ctx, "")
	}
	if errors.Is(err, plat.ErrCompacted) {
		f.mu.Lock()
		f.read = false
		f.mu.Unlock()
		delta, err = f.source.Read(ctx, "")
	}
	if err != nil {
		return err
	}
	f.take(delta, true)
	return nil
}

// take merges what the service or a peer said.
func (f *Feed) take(d mirror.Delta, fromService bool) {
	now := time.Now()
	f.mu.Lock()
	news := f.state.Apply(d)
	f.confirmed = now
	if fromService {
		f.read = true
		if !f.down.IsZero() {
			f.log.Info(evlog.StoreUp, "away_ms", now.Sub(f.down).Milliseconds(), "revision", f.state.At())
			f.down, f.returned = time.Time{}, now
		}
	}
	f.mu.Unlock()
	f.changed(now, news)
}

// lost notes that the service does not answer here.
func (f *Feed) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down.IsZero() {
		f.down = time.Now()
		f.log.Error(err, evlog.StoreDown, "revision", f.state.At())
	}
}

// askPeers asks another daemon that may still reach the service.
func (f *Feed) askPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	f.mu.Lock()
	after := f.state.At()
	f.mu.Unlock()
	if delta, ok := f.peers(ctx, after); ok {
		f.take(delta, false)
	}
}

// Since returns what a daemon that knows everything up to a revision lacks.
func (f *Feed) Since(after uint64) mirror.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Since(after)
}

// Get returns a live key.
func (f *Feed) Get(key string) (mirror.Item, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Get(key)
}

// Returned is when the service last answered again after it was away, or zero.
func (f *Feed) Returned() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.returned
}

// Away reports whether the service does not answer here.
func (f *Feed) Away() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.down.IsZero()
}

// At is the revision up to which everything is known; 0 before the first read.
func (f *Feed) At() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.At()
}
