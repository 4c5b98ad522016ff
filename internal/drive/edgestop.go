package drive

import (
	"context"
	"time"

	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Stop makes answers ask callers to close their connections.
func (e *Edge) Stop() { e.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (e *Edge) Stopping() bool { return e.stopping.Load() }

// Refuse makes all further requests of callers fail as not run. Stop has to be called before.
func (e *Edge) Refuse() { e.refusing.Store(true) }

// End ends the requests in progress: an answer that has begun is cut, and any other caller learns whether its request may
// have run. Refuse has to be called before.
func (e *Edge) End() {
	e.end()
	e.streams.End()
}

// hasEnded reports whether End was called.
func (e *Edge) hasEnded() bool { return e.ended.Err() != nil }

// untilEnd returns a context that is cancelled with ctx or by End.
func (e *Edge) untilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(e.ended, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// stoppingFailure is the failure of a request that this daemon does not serve because it stops. Other daemons serve it at
// once.
func stoppingFailure(verdict verdt.Verdict) *verdt.Error {
	return verdt.New(verdict, verdt.Stopping, "this daemon is stopping", verdt.RetryAt(time.Now()))
}
