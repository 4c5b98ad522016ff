package owner

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// leaseState holds the daemon's single lease, to which the owner keys of all its
// shards are attached. The lease only decides who should try to own a shard;
// safety comes from the compare-and-swap writes to the journals, so a stopped
// clock does no harm.
type leaseState struct {
	id model.LeaseID
	// expiresAt is when the lease expires unless it is renewed. It is counted
	// from when the last successful request was sent.
	expiresAt time.Time
	// requestSentAt is when the request in flight was sent; zero if there is none.
	requestSentAt time.Time
	attempt       uint64
	nextRequestAt time.Time
}

// renewalsPerTTL is how many times a lease is renewed per LeaseTTL.
const renewalsPerTTL = 3

// step requests or renews the lease when that is due.
func (l *leaseState) step(now time.Time, st *State, out *msgs.CallOutbox) {
	if l.id != 0 && !now.Before(l.expiresAt) {
		l.expire(now, st, out)
	}
	if !l.requestSentAt.IsZero() || len(st.shards) == 0 || (st.stopping && st.Idle()) {
		return
	}
	if now.Before(l.nextRequestAt) {
		out.WakeAt(l.nextRequestAt)
		return
	}
	l.requestSentAt = now
	l.attempt++
	op := msgs.StoreOp{Tag: msgs.Tag{Shard: -1, Seq: l.attempt, Slot: -1}, Kind: msgs.StoreGrant, Expires: now.Add(st.cfg.LeaseTTL)}
	if l.id != 0 {
		op.Kind, op.Lease = msgs.StoreKeepAlive, l.id
	}
	out.Ops = append(out.Ops, op)
}

// handleResult handles the result of a lease request.
func (l *leaseState) handleResult(now time.Time, r msgs.StoreResult, st *State, out *msgs.CallOutbox) {
	if r.Tag.Seq != l.attempt || l.requestSentAt.IsZero() {
		return
	}
	sentAt := l.requestSentAt
	l.requestSentAt = time.Time{}
	l.nextRequestAt = now.Add(st.cfg.PollInterval)
	switch r.Outcome {
	case model.Done:
		if r.Kind == msgs.StoreGrant {
			l.id = r.Lease
		}
		l.expiresAt = sentAt.Add(st.cfg.LeaseTTL)
		l.nextRequestAt = sentAt.Add(st.cfg.LeaseTTL / renewalsPerTTL)
	case model.Conflict:
		l.expire(now, st, out)
		l.nextRequestAt = now
	case model.Refused, model.Unknown:
	}
}

// expire drops the lease and gives up all shards, which other daemons may claim
// now.
func (l *leaseState) expire(now time.Time, st *State, out *msgs.CallOutbox) {
	l.id = 0
	for _, s := range st.shards {
		s.loseOwnership(now, out, "the lease expired")
	}
}

// valid reports whether the lease is held, so that shards may be claimed.
func (l *leaseState) valid(now time.Time) bool { return l.id != 0 && now.Before(l.expiresAt) }
