// Package drive carries between the decision core and the outside: it feeds
// events into ticks and carries out the commands. It decides nothing.
package drive

import (
	"context"
	"sync"
	"time"
)

// box is an inbox that can be emptied and asked whether it is empty.
type box interface {
	Reset()
	Empty() bool
}

// loop runs ticks of one machine: whenever something was posted, and whenever
// the machine asked to be woken.
type loop[I box] struct {
	mu      sync.Mutex
	in      I
	spare   I
	signal  chan struct{}
	machine func(now time.Time, in I) (wake time.Time)
}

func newLoop[I box](in, spare I, machine func(time.Time, I) time.Time) *loop[I] {
	return &loop[I]{in: in, spare: spare, signal: make(chan struct{}, 1), machine: machine}
}

// post adds events. The function must only write into the inbox.
func (l *loop[I]) post(write func(I)) {
	l.mu.Lock()
	write(l.in)
	l.mu.Unlock()
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

// run ticks until the context ends.
func (l *loop[I]) run(ctx context.Context) error {
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

// tick hands over what was posted so far.
func (l *loop[I]) tick() time.Time {
	l.mu.Lock()
	in := l.in
	l.in, l.spare = l.spare, in
	l.mu.Unlock()
	wake := l.machine(time.Now(), in)
	l.mu.Lock()
	in.Reset()
	l.mu.Unlock()
	return wake
}
