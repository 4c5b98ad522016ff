// Package drive connects the decision core to the network: it collects events, passes
// them to the core in ticks, and executes the commands that the core returns. The
// decisions themselves are made in the core.
package drive

import (
	"context"
	"sync"
	"time"
)

// inbox collects events between two ticks.
type inbox interface {
	Reset()
	Empty() bool
}

// eventLoop runs the ticks of one state machine: after events were posted, and at the
// wake time that the state machine returned.
type eventLoop[I inbox] struct {
	mu sync.Mutex
	// in collects the posted events; spare is swapped with it at each tick, so that
	// their memory is reused.
	in    I
	spare I
	// signal wakes run after a post.
	signal chan struct{}
	// handle processes one inbox and returns when the next tick is due at the latest;
	// zero is never.
	handle func(now time.Time, in I) (wake time.Time)
}

func newEventLoop[I inbox](in, spare I, handle func(time.Time, I) time.Time) *eventLoop[I] {
	return &eventLoop[I]{in: in, spare: spare, signal: make(chan struct{}, 1), handle: handle}
}

// post adds events. write runs with the lock held and must only write to the inbox.
func (l *eventLoop[I]) post(write func(I)) {
	l.mu.Lock()
	write(l.in)
	l.mu.Unlock()
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

// run ticks until the context ends.
func (l *eventLoop[I]) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wake := l.tick()
		if wake.IsZero() {
			wake = time.Now().Add(time.Hour)
		}
		timer.Reset(time.Until(wake))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.signal:
		case <-timer.C:
		}
	}
}

// tick passes the events posted so far to handle and returns the next wake time.
func (l *eventLoop[I]) tick() time.Time {
	l.mu.Lock()
	in := l.in
	l.in, l.spare = l.spare, in
	l.mu.Unlock()
	// If handle panics, its events must not come again with a later tick.
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		in.Reset()
	}()
	return l.handle(time.Now(), in)
}
