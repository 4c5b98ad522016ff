// Package retry bounds the retries that all daemons together send to a service by
// a budget over a sliding window. Each daemon may use a ratio of the requests of its own
// callers, plus a share of the burst: an even one, or one that the daemon to which all
// report grants by demand (Allocator).
package retry

import "time"

// Budget bounds the retries to each service.
type Budget struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Burst is the number of retries that all daemons together may send in a window
	// in addition to the earned ones.
	Burst float64
	// Window is the length of the sliding window.
	Window time.Duration
	// daemons is the number of daemons that share Burst, at least 1.
	daemons int
	// loweredSince is the time since which fewer than daemons are known; zero if none
	// are missing.
	loweredSince time.Time
	// windows holds one window for each service.
	windows map[string]*window
	// shares is nil if the daemons share Burst evenly.
	shares *shares
}

// SetDaemons sets the number of daemons that share the burst. A lower number takes
// effect only after it has lasted for a window, since unreachable daemons may still send.
func (b *Budget) SetDaemons(now time.Time, n int) {
	switch {
	case n >= b.daemons:
		b.daemons, b.loweredSince = n, time.Time{}
	case b.loweredSince.IsZero():
		b.loweredSince = now
	case now.Sub(b.loweredSince) >= b.Window:
		b.daemons, b.loweredSince = max(1, n), time.Time{}
	}
}

// Daemons returns the number of daemons that the burst is divided by.
func (b *Budget) Daemons() int { return b.daemons }

// bucketsPerWindow is the number of buckets that a window is counted in. Requests in the
// buckets at a window's edges are not counted on either side, so more buckets waste less
// of the budget.
const bucketsPerWindow = 20

// window counts one service's requests and retries in a ring of buckets that covers
// the last two windows.
type window struct {
	requests, retries [2 * bucketsPerWindow]float64
	// refused counts the retries for which there was no room.
	refused [2 * bucketsPerWindow]float64
	// totalRetries and totalRefused count since the start.
	totalRetries, totalRefused uint64
	// newestBucket is the index of the newest bucket, counted from the Unix epoch.
	newestBucket int64
}

// initialDaemons is the number of daemons assumed until the real one is known, so that a
// daemon that starts beside others does not use the whole burst.
const initialDaemons = 8

// maxPause bounds how long a server may ask not to be sent requests.
const maxPause = time.Minute

// PauseEnd returns when a server that asked for a pause may be sent requests again.
func PauseEnd(now, until time.Time) time.Time {
	if limit := now.Add(maxPause); until.After(limit) {
		return limit
	}
	return until
}

// New returns the budget of one daemon; length is that of the sliding window.
func New(ratio, burst float64, length time.Duration, opts ...Option) *Budget {
	b := &Budget{Ratio: ratio, Burst: burst, Window: length, daemons: initialDaemons, windows: map[string]*window{}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// CountRequest counts a caller's request to a service.
func (b *Budget) CountRequest(now time.Time, service string) {
	w := b.windowAt(now, service)
	w.requests[w.slot(0)]++
}

// TryTake counts a retry to a service and returns true if the given share of the budget, in
// 0..1, has room for it. Less important retries use a smaller share, so that the rest
// stays free for others.
//
// A window's retries are earned by the requests of the previous window or of the window
// that began half a window earlier, whichever has more. A daemon cannot know which of the
// two has more over the fleet, so each counts their mean: summed over daemons whose
// requests come at different times, the mean does not exceed the larger one.
func (b *Budget) TryTake(now time.Time, service string, share float64) bool {
	if !b.HasRoom(now, service, share) {
		return false
	}
	w := b.windowAt(now, service)
	w.retries[w.slot(0)]++
	w.totalRetries++
	return true
}

// GiveBack takes back a retry that TryTake counted at a time, since it reached no server.
func (b *Budget) GiveBack(now time.Time, service string, takenAt time.Time) {
	w := b.windowAt(now, service)
	age := w.newestBucket - takenAt.UnixNano()/max(1, int64(b.Window/bucketsPerWindow))
	if age < 0 || age >= int64(len(w.retries)) {
		return
	}
	w.retries[w.slot(age)] = max(0, w.retries[w.slot(age)]-1)
}

// HasRoom reports whether TryTake would return true. A retry without room counts as wanted.
func (b *Budget) HasRoom(now time.Time, service string, share float64) bool {
	w := b.windowAt(now, service)
	burst := b.ownShare() + b.granted(now, service)
	retries := 0.0
	for age, earned := range w.earned() {
		retries += w.retries[w.slot(int64(age))]
		if retries+1 > share*(b.Ratio*earned+burst) {
			w.refused[w.slot(0)]++
			w.totalRefused++
			return false
		}
	}
	return true
}

// earned returns for each bucket of a window, newest first, the number of requests that earn retries for the window
// that begins with it.
func (w *window) earned() (earned [bucketsPerWindow + 1]float64) {
	// until[n] is the number of requests in the newest n buckets.
	var until [2*bucketsPerWindow + 1]float64
	for age := range len(until) - 1 {
		until[age+1] = until[age] + w.requests[w.slot(int64(age))]
	}
	for age := range earned {
		previous := until[age+bucketsPerWindow] - until[age+1]
		halfBefore := until[age+bucketsPerWindow/2] - until[max(0, age-bucketsPerWindow/2+1)]
		earned[age] = (previous + halfBefore) / 2
	}
	return earned
}

// windowAt returns a service's window, advanced to now.
func (b *Budget) windowAt(now time.Time, service string) *window {
	w := b.windows[service]
	if w == nil {
		w = &window{}
		b.windows[service] = w
	}
	newest := now.UnixNano() / max(1, int64(b.Window/bucketsPerWindow))
	if newest < w.newestBucket {
		// The clock was set back: keep counting in the newest bucket.
		return w
	}
	for steps := min(newest-w.newestBucket, 2*bucketsPerWindow); steps > 0; steps-- {
		w.newestBucket = newest - steps + 1
		w.requests[w.slot(0)], w.retries[w.slot(0)], w.refused[w.slot(0)] = 0, 0, 0
	}
	w.newestBucket = newest
	return w
}

// slot returns the ring index of the bucket that is age buckets older than the newest.
func (w *window) slot(age int64) int64 {
	const n = 2 * bucketsPerWindow
	return ((w.newestBucket-age)%n + n) % n
}
