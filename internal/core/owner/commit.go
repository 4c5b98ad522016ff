package owner

import (
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// commitLog is what waits to be made durable, and the write under way.
type commitLog struct {
	// pending goes into the next commit.
	pending []rings.Entry
	// intents counts the intents in pending.
	intents int
	// oldest is when the first of pending was added.
	oldest time.Time
	// inFlight is the slot being written; valid only while started is set.
	inFlight rings.Slot
	// fresh are the entries that inFlight adds.
	fresh   []rings.Entry
	started time.Time
	// unsure is set once a try of inFlight ended without an answer.
	unsure bool
	// readingBack is set while the slot is read to learn whether it landed.
	readingBack bool
	// retryAt is when inFlight is tried again; zero while a try is under way.
	retryAt time.Time
	// last is when the latest commit started.
	last time.Time
	// downUntil is how long calls are refused after the store refused a write.
	downUntil time.Time
}

func (l *commitLog) busy() bool { return len(l.pending) > 0 || !l.started.IsZero() }

func (l *commitLog) add(now time.Time, e rings.Entry) {
	if len(l.pending) == 0 {
		l.oldest = now
	}
	if e.Kind == rings.Intent {
		l.intents++
	}
	l.pending = append(l.pending, e)
}

// stepCommit starts a commit when one is due, or tries an unresolved one again.
func (s *shard) stepCommit(now time.Time, out *msgs.CallOutbox) {
	if !s.log.started.IsZero() {
		s.stepInFlight(now, out)
		return
	}
	if len(s.log.pending) == 0 {
		return
	}
	due := s.log.last.Add(s.st.cfg.CommitEvery)
	if s.log.intents == 0 && s.phase == Active {
		due = later(due, s.log.oldest.Add(s.st.cfg.OutcomeDelay))
	}
	due = later(due, s.log.downUntil)
	if now.Before(due) {
		out.WakeAt(due)
		return
	}
	s.startCommit(now, out)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *shard) startCommit(now time.Time, out *msgs.CallOutbox) {
	l := &s.log
	next := s.slot
	if next.Sealed {
		next = rings.Slot{Seq: s.slot.Seq + 1}
	}
	s.commit++
	next.Epoch, next.Writer, next.Commit = s.epoch, s.st.cfg.Process, s.commit
	l.fresh, l.pending = split(l.pending, s.st.cfg.SlotBytes)
	l.intents = count(l.pending, rings.Intent)
	next.Entries = append(slices.Clip(next.Entries), l.fresh...)
	next.Sealed = sizeOf(next.Entries) >= s.st.cfg.SlotBytes && s.freeAfter(now, next.Seq)
	l.inFlight = next
	l.started, l.last = now, now
	l.unsure, l.readingBack, l.retryAt = false, false, time.Time{}
	s.try++
	s.write(next, out)
}

// freeAfter reports whether the slot after a number may be overwritten.
func (s *shard) freeAfter(now time.Time, seq uint64) bool {
	return !now.Before(s.places[s.position(seq+1)].newest)
}

// split takes as many entries as fit into a number of bytes, and at least one.
func split(entries []rings.Entry, bytes int) (taken, left []rings.Entry) {
	size := 0
	for i := range entries {
		size += sizeOf(entries[i : i+1])
		if i > 0 && size > bytes {
			return entries[:i:i], entries[i:]
		}
	}
	return entries, nil
}

func count(entries []rings.Entry, kind rings.EntryKind) int {
	n := 0
	for _, e := range entries {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func sizeOf(entries []rings.Entry) int {
	size := 0
	for _, e := range entries {
		size += entryBytes
		if e.Answer != nil {
			size += len(e.Answer.Body) + len(e.Answer.ContentType)
		}
	}
	return size
}

// stepInFlight tries an unresolved commit again, and lets its calls go when it
// takes too long.
func (s *shard) stepInFlight(now time.Time, out *msgs.CallOutbox) {
	l := &s.log
	if patience := l.started.Add(s.st.cfg.Patience); now.Before(patience) {
		out.WakeAt(patience)
	} else {
		s.withdraw(now, l.fresh, verdt.JournalDown, "the call could not be recorded in time", out)
		s.setDown(now, out)
	}
	if l.retryAt.IsZero() {
		return
	}
	if now.Before(l.retryAt) {
		out.WakeAt(l.retryAt)
		return
	}
	l.retryAt = time.Time{}
	s.try++
	if l.readingBack {
		s.get(s.slotKey(s.position(l.inFlight.Seq)), s.position(l.inFlight.Seq), out)
		return
	}
	s.write(l.inFlight, out)
}

// stored takes in how a commit ended. A write whose answer was lost is written
// again with the same compare: at most one of the two can land, and after the
// second answer it is known whether one did.
func (s *shard) stored(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	l := &s.log
	if l.started.IsZero() {
		return
	}
	switch {
	case r.Kind == msgs.StoreGet && r.Outcome == model.Done:
		s.readBack(now, r, out)
	case r.Outcome == model.Done:
		s.committed(now, r.Revision, out)
	case r.Outcome == model.Conflict && l.unsure:
		l.readingBack, l.retryAt = true, now
	case r.Outcome == model.Conflict:
		s.lose(now, out, "another daemon wrote the journal")
	case r.Outcome == model.Refused && !l.unsure:
		s.notCommitted(now, out)
	default:
		l.unsure = true
		l.retryAt = now.Add(s.st.cfg.CommitEvery)
	}
}

// readBack looks whether the slot holds the commit whose answers were lost.
func (s *shard) readBack(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	slot, err := rings.DecodeSlot(r.Entry.Value)
	want := s.log.inFlight
	if err == nil && slot.Seq == want.Seq && slot.Epoch == want.Epoch && slot.Writer == want.Writer && slot.Commit == want.Commit {
		s.committed(now, r.Entry.Revision, out)
		return
	}
	s.lose(now, out, "another daemon wrote the journal")
}

// committed dispatches the calls whose intents are durable now.
func (s *shard) committed(now time.Time, revision uint64, out *msgs.CallOutbox) {
	fresh := s.log.fresh
	s.landed(revision, s.log.inFlight)
	s.log.started, s.log.fresh, s.log.inFlight = time.Time{}, nil, rings.Slot{}
	if s.slot.Sealed {
		s.forget(now)
	}
	for _, e := range fresh {
		s.durable(now, e, out)
	}
}

// durable follows up one entry that is in the journal now.
func (s *shard) durable(now time.Time, e rings.Entry, out *msgs.CallOutbox) {
	rec := s.keys[e.Key]
	if rec == nil || e.Kind == rings.Outcome {
		return
	}
	if rec.state == Withdrawn {
		rec.state, rec.verdict = Ended, verdt.NotRun
		s.log.add(now, outcomeOf(e.Key, rec))
		return
	}
	if rec.state != Pending {
		return
	}
	c := s.st.calls[rec.call]
	if !now.Before(c.Deadline) {
		delete(s.st.calls, c.ID)
		refuse(now, c.ID, verdt.DeadlinePassed, "the deadline passed before the call could start", out)
		rec.state, rec.call, rec.verdict = Ended, 0, verdt.NotRun
		s.log.add(now, outcomeOf(e.Key, rec))
		return
	}
	rec.state = Running
	s.running++
	out.Dispatches = append(out.Dispatches, c.ID)
}

// notCommitted takes in that nothing of the commit was written. Its outcomes
// wait for the next one; its calls are refused at once.
func (s *shard) notCommitted(now time.Time, out *msgs.CallOutbox) {
	l := &s.log
	fresh := l.fresh
	l.started, l.fresh, l.inFlight = time.Time{}, nil, rings.Slot{}
	l.pending = append(slices.Clip(fresh), l.pending...)
	s.setDown(now, out)
}

// setDown refuses all calls that wait for a commit that was never sent, and
// those that come in the next moments. Outcomes stay for the next commit.
func (s *shard) setDown(now time.Time, out *msgs.CallOutbox) {
	l := &s.log
	l.downUntil = now.Add(s.st.cfg.Poll)
	waiting := l.pending
	l.pending, l.intents = nil, 0
	s.requeue(now, waiting, out)
}

// requeue puts outcomes back; intents that were never sent are refused.
func (s *shard) requeue(now time.Time, entries []rings.Entry, out *msgs.CallOutbox) {
	for _, e := range entries {
		if e.Kind == rings.Outcome {
			s.log.add(now, e)
			continue
		}
		// A withdrawn intent whose write is refused leaves no trace either.
		if rec := s.keys[e.Key]; rec != nil && (rec.state == Pending || rec.state == Withdrawn) {
			s.withdraw(now, []rings.Entry{e}, verdt.JournalDown, "the call cannot be recorded at present", out)
			delete(s.keys, e.Key)
		}
	}
}

// withdraw refuses calls that were not dispatched. From here on this process
// never dispatches them, and no other can: not_run is true whether or not their
// intents land.
func (s *shard) withdraw(now time.Time, entries []rings.Entry, reason verdt.Reason, message string, out *msgs.CallOutbox) {
	for _, e := range entries {
		rec := s.keys[e.Key]
		if e.Kind != rings.Intent || rec == nil || rec.state != Pending {
			continue
		}
		refuse(now, rec.call, reason, message, out)
		delete(s.st.calls, rec.call)
		rec.state, rec.call = Withdrawn, 0
	}
}

// refuseWaiting refuses all calls of the shard that were not dispatched.
func (s *shard) refuseWaiting(now time.Time, out *msgs.CallOutbox) {
	for _, id := range slices.Sorted(maps.Keys(s.st.calls)) {
		c := s.st.calls[id]
		if c.shard != s.index {
			continue
		}
		rec := s.keys[c.Key]
		if rec == nil || rec.state != Pending {
			continue
		}
		refuse(now, id, verdt.OwnerUnknown, "the key's shard moves to another daemon", out)
		delete(s.st.calls, id)
	}
}
