package owner

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// leaseState keeps the daemon's one lease, to which the owner keys of all its
// shards are tied. The lease only says who should try: safety comes from the
// compare of the journals' writes, so a clock that stood still does no harm.
type leaseState struct {
	id model.LeaseID
	// until is when the lease lapses unless it is renewed, counted from
	// before the renewal was sent.
	until time.Time
	// sent is when the question now under way was sent; zero if none is.
	sent   time.Time
	try    uint64
	nextAt time.Time
}

// renewals is how often a lease is renewed in its lifetime.
const renewals = 3

func (l *leaseState) step(now time.Time, st *State, out *msgs.CallOutbox) {
	if l.id != 0 && !now.Before(l.until) {
		l.lapse(now, st, out)
	}
	if !l.sent.IsZero() || len(st.shards) == 0 || (st.stop && st.Idle()) {
		return
	}
	if now.Before(l.nextAt) {
		out.WakeAt(l.nextAt)
		return
	}
	l.sent = now
	l.try++
	op := msgs.StoreOp{Tag: msgs.Tag{Shard: -1, Try: l.try, Slot: -1}, Kind: msgs.StoreGrant, Expires: now.Add(st.cfg.LeaseTTL)}
	if l.id != 0 {
		op.Kind, op.Lease = msgs.StoreKeepAlive, l.id
	}
	out.Ops = append(out.Ops, op)
}

func (l *leaseState) result(now time.Time, r msgs.StoreResult, st *State, out *msgs.CallOutbox) {
	if r.Tag.Try != l.try || l.sent.IsZero() {
		return
	}
	sent := l.sent
	l.sent = time.Time{}
	l.nextAt = now.Add(st.cfg.Poll)
	switch r.Outcome {
	case model.Done:
		if r.Kind == msgs.StoreGrant {
			l.id = r.Lease
		}
		l.until = sent.Add(st.cfg.LeaseTTL)
		l.nextAt = sent.Add(st.cfg.LeaseTTL / renewals)
	case model.Conflict:
		l.lapse(now, st, out)
		l.nextAt = now
	case model.Refused, model.Unknown:
	}
}

// lapse gives up all shards: others may claim them now.
func (l *leaseState) lapse(now time.Time, st *State, out *msgs.CallOutbox) {
	l.id = 0
	for _, s := range st.shards {
		s.lose(now, out, "the lease lapsed")
	}
}

// valid reports whether the lease can carry a claim.
func (l *leaseState) valid(now time.Time) bool { return l.id != 0 && now.Before(l.until) }
