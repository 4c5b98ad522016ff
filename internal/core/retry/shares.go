package retry

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// aloneShare is the part of an even share of the burst that a daemon may use in addition to what it
	// was granted, and all that it has without grants.
	aloneShare = 0.04
	// grantedShare is the part of the burst that is granted. What is left covers aloneShare of the daemons that report, and
	// once more that of daemons that nobody counts any longer.
	grantedShare = 1 - 2*aloneShare
	// settleMargin covers the time between two reports and the edges of windows.
	settleMargin = 2500 * time.Millisecond
	// wantedBuckets is the number of newest buckets whose retries, sent or refused, a daemon expects again.
	wantedBuckets = 2
)

// grantTTL is how long a grant may be used after the report that it answers. It outlasts the change to
// another hub.
func grantTTL(window time.Duration) time.Duration { return window / 2 }

// settledAfter is the time after which no retry counts any more that was sent with the grants of before.
func settledAfter(window time.Duration) time.Duration {
	return grantTTL(window) + window + settleMargin
}

// Report is what one daemon tells the hub about its use of the retry budgets.
type Report struct {
	// Start identifies the daemon's run; 0 if it takes no grants.
	Start uint64 `cbor:"1,keyasint"`
	// Seq increases with each report of a run.
	Seq uint64 `cbor:"2,keyasint"`
	// Demands are sorted by service.
	Demands []Demand `cbor:"3,keyasint,omitempty"`
	// Hub is the one whose grants the daemon holds; 0 for none.
	Hub uint64 `cbor:"4,keyasint,omitempty"`
}

// Demand is what one daemon wants of the burst of a service's retry budget. Numbers are retries in a window
// beyond those that its own callers' requests earned and those that it may send without a grant.
type Demand struct {
	Service string `cbor:"1,keyasint"`
	// Wanted is what the daemon could use now, at least 0.
	Wanted float64 `cbor:"2,keyasint,omitempty"`
	// InUse is what it has used in the last window, at least 0.
	InUse float64 `cbor:"3,keyasint,omitempty"`
	// Held is what it is granted now, at least 0.
	Held float64 `cbor:"4,keyasint,omitempty"`
}

// Grants answers a Report.
type Grants struct {
	// Shared is set by a hub that grants shares. Hubs of earlier versions leave the daemons their even shares.
	Shared bool `cbor:"1,keyasint"`
	// Grants are sorted by service, and Unnamed is the grant of the services that the report did not name. They
	// stay as they were unless Renewed is set.
	Grants []Grant `cbor:"2,keyasint,omitempty"`
	// Hub identifies the hub's run.
	Hub     uint64  `cbor:"3,keyasint,omitempty"`
	Unnamed float64 `cbor:"4,keyasint,omitempty"`
	Renewed bool    `cbor:"5,keyasint,omitempty"`
}

// Grant is one daemon's share of the burst of a service's retry budget.
type Grant struct {
	Service string `cbor:"1,keyasint"`
	// Burst is the number of retries that the daemon may send in a window in addition to the earned ones and
	// those that it may send without a grant.
	Burst float64 `cbor:"2,keyasint"`
}

// holding is the granted share of a service's burst.
type holding struct {
	burst float64
	until time.Time
}

// shares is the state of a Budget whose burst is shared out by demand.
type shares struct {
	// held holds the grants by service; unnamed is that of all others.
	held    map[string]holding
	unnamed holding
	// answered is set once a hub that grants shares has answered.
	answered bool
	// appliedAt is when the report was made whose answer was applied last.
	appliedAt time.Time
	// unsharedSince is when a hub first answered without grants; zero if the last answer had some.
	unsharedSince time.Time
}

// Option configures a Budget.
type Option func(*Budget)

// WithShares makes a Budget use the shares of the burst that the hub grants it, instead of an even one.
func WithShares() Option {
	return func(b *Budget) { b.shares = &shares{held: map[string]holding{}} }
}

// usesEvenShares reports whether no hub has granted shares, or none for so long that all daemons use even ones.
func (s *shares) usesEvenShares(now time.Time, window time.Duration) bool {
	return !s.answered || !s.unsharedSince.IsZero() && now.Sub(s.unsharedSince) >= settledAfter(window)
}

// evenShare returns an even share of the burst.
func (b *Budget) evenShare() float64 { return b.Burst / float64(max(1, b.daemons)) }

// ownShare returns the share of the burst that this daemon may use without a grant.
func (b *Budget) ownShare() float64 {
	if b.shares == nil {
		return b.evenShare()
	}
	return aloneShare * b.evenShare()
}

// granted returns the share of a service's burst that this daemon may use in addition to ownShare.
func (b *Budget) granted(now time.Time, service string) float64 {
	if b.shares == nil {
		return 0
	}
	if b.shares.usesEvenShares(now, b.Window) {
		return grantedShare * b.evenShare()
	}
	h, named := b.shares.held[service]
	if !named {
		h = b.shares.unnamed
	}
	if !now.Before(h.until) {
		return 0
	}
	return h.burst
}

// Demands returns what this daemon tells the hub, sorted by service; none without shares.
func (b *Budget) Demands(now time.Time) []Demand {
	if b.shares == nil {
		return nil
	}
	var demands []Demand
	for _, service := range slices.Sorted(maps.Keys(b.windows)) {
		w := b.windowAt(now, service)
		used, wanted := b.beyondEarned(w)-b.ownShare(), 0.0
		for age := range wantedBuckets {
			wanted += w.retries[w.slot(int64(age))] + w.refused[w.slot(int64(age))]
		}
		demands = append(demands, Demand{Service: service, Wanted: max(0, used+wanted), InUse: max(0, used), Held: b.granted(now, service)})
	}
	return demands
}

// beyondEarned returns by how many retries this daemon's use of a service's budget exceeds what its
// callers' requests earned, in the window where that is most; negative if it is less in all.
func (b *Budget) beyondEarned(w *window) float64 {
	retries, most := 0.0, math.Inf(-1)
	for age, earned := range w.earned() {
		retries += w.retries[w.slot(int64(age))]
		most = max(most, retries-b.Ratio*earned)
	}
	return most
}

// ApplyGrants applies the answer to a report that was made at a time, unless that to a later report was applied. The
// answer to a report must not be applied after the same hub got the next one.
func (b *Budget) ApplyGrants(reportedAt time.Time, g Grants) {
	if b.shares == nil || reportedAt.Before(b.shares.appliedAt) {
		return
	}
	b.shares.appliedAt = reportedAt
	if !g.Shared {
		if b.shares.unsharedSince.IsZero() {
			b.shares.unsharedSince = reportedAt
		}
		return
	}
	until := reportedAt.Add(grantTTL(b.Window))
	if b.shares.usesEvenShares(reportedAt, b.Window) {
		b.shares.unnamed = holding{burst: grantedShare * b.evenShare(), until: until}
		clear(b.shares.held)
	}
	b.shares.answered, b.shares.unsharedSince = true, time.Time{}
	if !g.Renewed {
		return
	}
	for _, grant := range g.Grants {
		if b.windows[grant.Service] != nil {
			b.shares.held[grant.Service] = holding{burst: upTo(b.Burst*grantedShare, grant.Burst), until: until}
		}
	}
	b.shares.unnamed = holding{burst: upTo(b.Burst*grantedShare, g.Unnamed), until: until}
}

// upTo returns a number that another daemon sent, bounded to 0..limit. What is no number counts as 0.
func upTo(limit, sent float64) float64 {
	if math.IsNaN(sent) {
		return 0
	}
	return min(max(0, sent), limit)
}

// Usage is how one service's retry budget was used, for the metrics.
type Usage struct {
	// Sent and Refused count the retries since the start that the budget allowed and did not allow. A stream
	// that waits for room counts each time that it asks.
	Sent    uint64 `json:"sent"`
	Refused uint64 `json:"refused"`
	// Wanted, InUse and Granted are shares of the burst as of now, in retries in a window.
	Wanted  float64 `json:"wanted"`
	InUse   float64 `json:"in_use"`
	Granted float64 `json:"granted"`
}

// Usage returns how the budgets of all services were used.
func (b *Budget) Usage(now time.Time) map[string]Usage {
	usage := map[string]Usage{}
	for service, w := range b.windows {
		usage[service] = Usage{Sent: w.totalRetries, Refused: w.totalRefused, Granted: b.ownShare() + b.granted(now, service)}
	}
	for _, d := range b.Demands(now) {
		u := usage[d.Service]
		u.Wanted, u.InUse = d.Wanted, d.InUse
		usage[d.Service] = u
	}
	return usage
}
