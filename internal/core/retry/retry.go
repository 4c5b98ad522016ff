// Package retry keeps the repeated sends of all daemons to a service within a
// budget over a sliding window. Daemons do not ask each other: each has its part of
// the burst, and a ratio of the requests that its own callers sent.
package retry

import (
	"math"
	"time"
)

// Budget bounds the repeated sends to each service.
type Budget struct {
	// Ratio is how many repeats each request earns.
	Ratio float64
	// Burst is how many repeats all daemons together have in a window besides.
	Burst float64
	// Window is the length of the sliding window.
	Window time.Duration
	// daemons share Burst, at least 1.
	daemons int
	// lowered is since when fewer daemons are known; zero while none are missing.
	lowered time.Time
	windows map[string]*window
}

// SetDaemons takes in how many daemons share the burst. A lower number counts only
// when it has lasted for a window: daemons that cannot be heard may still send.
func (b *Budget) SetDaemons(now time.Time, n int) {
	switch {
	case n >= b.daemons:
		b.daemons, b.lowered = n, time.Time{}
	case b.lowered.IsZero():
		b.lowered = now
	case now.Sub(b.lowered) >= b.Window:
		b.daemons, b.lowered = max(1, n), time.Time{}
	}
}

// buckets is how many parts a window is counted in.
const buckets = 10

// window counts requests and repeats in a ring of buckets.
type window struct {
	requests, repeats [buckets + 1]float64
	// newest is the number of the newest bucket since the epoch of the clock.
	newest int64
}

// startDaemons is how many daemons are assumed before any number is known: a daemon
// that starts beside others must not take the whole burst.
const startDaemons = 8

// New returns a budget for one daemon.
func New(ratio, burst float64, length time.Duration) *Budget {
	return &Budget{Ratio: ratio, Burst: burst, Window: length, daemons: startDaemons, windows: map[string]*window{}}
}

// Request counts a request of a caller for a service.
func (b *Budget) Request(now time.Time, service string) {
	w := b.at(now, service)
	w.requests[w.slot(0)]++
}

// Take counts a repeated send to a service, if the part of the budget that it may use has
// room for it. Sends that matter less use a smaller part, and leave the rest to others.
func (b *Budget) Take(now time.Time, service string, part float64) bool {
	w := b.at(now, service)
	repeats := 0.0
	for _, n := range w.repeats {
		repeats += n
	}
	if repeats+1 > part*(b.Ratio*w.earned()+b.Burst/float64(max(1, b.daemons))) {
		return false
	}
	w.repeats[w.slot(0)]++
	return true
}

// earned returns the requests that count for any window which the present moment lies in:
// those of that window, of the one before it, or of the one half a window before it,
// whichever has most. Buckets that a window's edge falls into count for neither side.
func (w *window) earned() float64 {
	least := math.Inf(1)
	for edge := range buckets {
		var own, before, half float64
		for i := range buckets {
			n := w.requests[w.slot(int64(i))]
			if i < edge {
				own += n
			}
			if i > edge {
				before += n
			}
			if edge-buckets/2 < i && i < edge+buckets/2 {
				half += n
			}
		}
		least = min(least, max(own, before, half))
	}
	return least
}

// at returns a service's window, moved on to now.
func (b *Budget) at(now time.Time, service string) *window {
	w := b.windows[service]
	if w == nil {
		w = &window{}
		b.windows[service] = w
	}
	newest := now.UnixNano() / max(1, int64(b.Window/buckets))
	if newest < w.newest {
		// The clock went back: keep counting in the newest bucket.
		return w
	}
	for steps := min(newest-w.newest, buckets+1); steps > 0; steps-- {
		w.newest = newest - steps + 1
		w.requests[w.slot(0)], w.repeats[w.slot(0)] = 0, 0
	}
	w.newest = newest
	return w
}

// slot returns the place of the bucket that lies a number of buckets back.
func (w *window) slot(back int64) int64 {
	const n = buckets + 1
	return ((w.newest-back)%n + n) % n
}
