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

// commitQueue holds a shard's journal entries that are not durable yet, and the
// state of the commit in flight. A commit is one write of a slot.
type commitQueue struct {
	// pending are the entries for the next commit.
	pending []rings.JournalEntry
	// intents counts the intents in pending.
	intents int
	// oldestAt is when the first entry of pending was added.
	oldestAt time.Time
	// inFlight is the slot being written; valid only while startedAt is set.
	inFlight rings.Slot
	// newEntries are the entries that inFlight adds.
	newEntries []rings.JournalEntry
	// startedAt is when the commit in flight started; zero if there is none.
	startedAt time.Time
	// outcomeUnknown is set once an attempt to write inFlight ended without an
	// answer.
	outcomeUnknown bool
	// readingBack is set while the slot is read to learn whether inFlight was
	// written.
	readingBack bool
	// retryAt is when the commit in flight is tried again; zero while an attempt
	// is in progress.
	retryAt time.Time
	// lastStartedAt is when the latest commit started.
	lastStartedAt time.Time
	// refuseUntil is when calls are accepted again after the key-value service
	// refused a write or did not resolve it in time.
	refuseUntil time.Time
}

// busy reports whether entries are not durable yet.
func (l *commitQueue) busy() bool { return len(l.pending) > 0 || !l.startedAt.IsZero() }

// add appends an entry for the next commit.
func (l *commitQueue) add(now time.Time, e rings.JournalEntry) {
	if len(l.pending) == 0 {
		l.oldestAt = now
	}
	if e.Kind == rings.Intent {
		l.intents++
	}
	l.pending = append(l.pending, e)
}

// stepCommit starts a commit when one is due, or advances the one in flight.
func (s *shard) stepCommit(now time.Time, out *msgs.CallOutbox) {
	if !s.queue.startedAt.IsZero() {
		s.stepInFlight(now, out)
		return
	}
	if len(s.queue.pending) == 0 {
		return
	}
	due := s.queue.lastStartedAt.Add(s.st.cfg.CommitInterval)
	if s.queue.intents == 0 && s.phase == Active {
		due = latest(due, s.queue.oldestAt.Add(s.st.cfg.OutcomeDelay))
	}
	due = latest(due, s.queue.refuseUntil)
	if now.Before(due) {
		out.WakeAt(due)
		return
	}
	s.startCommit(now, out)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// startCommit writes pending entries to the newest slot, or to the one after it
// if that is sealed.
func (s *shard) startCommit(now time.Time, out *msgs.CallOutbox) {
	l := &s.queue
	next := s.newest
	if next.Sealed {
		next = rings.Slot{Seq: s.newest.Seq + 1}
	}
	s.commitSeq++
	next.Epoch, next.Writer, next.Commit = s.epoch, s.st.cfg.Process, s.commitSeq
	l.newEntries, l.pending = splitBySize(l.pending, s.st.cfg.SealBytes)
	l.intents = countKind(l.pending, rings.Intent)
	next.Entries = append(slices.Clip(next.Entries), l.newEntries...)
	next.Sealed = entriesSize(next.Entries) >= s.st.cfg.SealBytes && s.nextSlotFree(now, next.Seq)
	l.inFlight = next
	l.startedAt, l.lastStartedAt = now, now
	l.outcomeUnknown, l.readingBack, l.retryAt = false, false, time.Time{}
	s.attempt++
	s.write(next, out)
}

// nextSlotFree reports whether the ring position of slot seq+1 may be overwritten,
// because all entries there have expired.
func (s *shard) nextSlotFree(now time.Time, seq uint64) bool {
	return !now.Before(s.ring[s.position(seq+1)].reusableAt)
}

// splitBySize splits entries so that head fits into a number of bytes, but has at
// least one entry.
func splitBySize(entries []rings.JournalEntry, bytes int) (head, tail []rings.JournalEntry) {
	size := 0
	for i := range entries {
		size += entriesSize(entries[i : i+1])
		if i > 0 && size > bytes {
			return entries[:i:i], entries[i:]
		}
	}
	return entries, nil
}

// countKind returns how many entries have a kind.
func countKind(entries []rings.JournalEntry, kind rings.EntryKind) int {
	n := 0
	for _, e := range entries {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// entriesSize returns an upper estimate of the encoded size in bytes.
func entriesSize(entries []rings.JournalEntry) int {
	size := 0
	for _, e := range entries {
		size += entryBytes
		if e.Answer != nil {
			size += len(e.Answer.Body) + len(e.Answer.ContentType)
		}
	}
	return size
}

// stepInFlight retries the commit in flight, and refuses its calls once
// CommitTimeout has passed.
func (s *shard) stepInFlight(now time.Time, out *msgs.CallOutbox) {
	l := &s.queue
	if giveUpAt := l.startedAt.Add(s.st.cfg.CommitTimeout); now.Before(giveUpAt) {
		out.WakeAt(giveUpAt)
	} else {
		s.withdrawIntents(now, l.newEntries, verdt.JournalDown, "the call could not be recorded in time", out)
		s.refuseUnsent(now, out)
	}
	if l.retryAt.IsZero() {
		return
	}
	if now.Before(l.retryAt) {
		out.WakeAt(l.retryAt)
		return
	}
	l.retryAt = time.Time{}
	s.attempt++
	if l.readingBack {
		s.get(s.slotKey(s.position(l.inFlight.Seq)), s.position(l.inFlight.Seq), out)
		return
	}
	s.write(l.inFlight, out)
}

// handleCommitResult handles the result of an attempt to commit. A write whose
// answer was lost is repeated with the same expected revision: at most one of the
// two can take effect, and the answer to the second tells whether one did.
func (s *shard) handleCommitResult(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	l := &s.queue
	if l.startedAt.IsZero() {
		return
	}
	switch {
	case r.Kind == msgs.StoreGet && r.Outcome == model.Done:
		s.readBack(now, r, out)
	case r.Outcome == model.Done:
		s.finishCommit(now, r.Revision, out)
	case r.Outcome == model.Conflict && l.outcomeUnknown:
		l.readingBack, l.retryAt = true, now
	case r.Outcome == model.Conflict:
		s.loseOwnership(now, out, "another daemon wrote the journal")
	case r.Outcome == model.Refused && !l.outcomeUnknown:
		s.abortCommit(now, out)
	default:
		l.outcomeUnknown = true
		l.retryAt = now.Add(s.st.cfg.CommitInterval)
	}
}

// readBack checks whether the slot that was read holds the commit whose answers
// were lost.
func (s *shard) readBack(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	slot, err := rings.DecodeSlot(r.Entry.Value)
	want := s.queue.inFlight
	if err == nil && slot.Seq == want.Seq && slot.Epoch == want.Epoch && slot.Writer == want.Writer && slot.Commit == want.Commit {
		s.finishCommit(now, r.Entry.Revision, out)
		return
	}
	s.loseOwnership(now, out, "another daemon wrote the journal")
}

// finishCommit handles a successful commit: its entries are durable.
func (s *shard) finishCommit(now time.Time, revision uint64, out *msgs.CallOutbox) {
	newEntries := s.queue.newEntries
	s.recordWrite(revision, s.queue.inFlight)
	s.queue.startedAt, s.queue.newEntries, s.queue.inFlight = time.Time{}, nil, rings.Slot{}
	if s.newest.Sealed {
		s.dropExpired(now)
	}
	for _, e := range newEntries {
		s.handleDurable(now, e, out)
	}
}

// handleDurable acts on an entry that became durable. An intent's call is
// dispatched, unless it was withdrawn or its deadline has passed; then an outcome
// of not_run follows.
func (s *shard) handleDurable(now time.Time, e rings.JournalEntry, out *msgs.CallOutbox) {
	rec := s.records[e.Key]
	if rec == nil || e.Kind == rings.Outcome {
		return
	}
	if rec.state == Withdrawn {
		rec.state, rec.verdict = Ended, verdt.NotRun
		s.queue.add(now, outcomeOf(e.Key, rec))
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
		s.queue.add(now, outcomeOf(e.Key, rec))
		return
	}
	rec.state = Running
	s.running++
	out.Dispatches = append(out.Dispatches, c.ID)
}

// abortCommit handles a commit that had no effect. Its outcomes are queued for
// the next commit; its calls are refused at once.
func (s *shard) abortCommit(now time.Time, out *msgs.CallOutbox) {
	l := &s.queue
	newEntries := l.newEntries
	l.startedAt, l.newEntries, l.inFlight = time.Time{}, nil, rings.Slot{}
	l.pending = append(slices.Clip(newEntries), l.pending...)
	s.refuseUnsent(now, out)
}

// refuseUnsent refuses the calls whose intents are queued but not part of a commit
// in flight, and new calls for the next PollInterval. Outcomes stay queued.
func (s *shard) refuseUnsent(now time.Time, out *msgs.CallOutbox) {
	l := &s.queue
	l.refuseUntil = now.Add(s.st.cfg.PollInterval)
	unsent := l.pending
	l.pending, l.intents = nil, 0
	s.requeueOutcomes(now, unsent, out)
}

// requeueOutcomes queues the outcomes among entries again, and refuses the calls
// of the intents, none of which were written.
func (s *shard) requeueOutcomes(now time.Time, entries []rings.JournalEntry, out *msgs.CallOutbox) {
	for _, e := range entries {
		if e.Kind == rings.Outcome {
			s.queue.add(now, e)
			continue
		}
		// A withdrawn intent that was not written needs no outcome either.
		if rec := s.records[e.Key]; rec != nil && (rec.state == Pending || rec.state == Withdrawn) {
			s.withdrawIntents(now, []rings.JournalEntry{e}, verdt.JournalDown, "the call cannot be recorded at present", out)
			delete(s.records, e.Key)
		}
	}
}

// withdrawIntents refuses the calls of intents that were not dispatched. This
// process will not dispatch them any more and no other can, so not_run holds
// whether or not their intents are written.
func (s *shard) withdrawIntents(now time.Time, entries []rings.JournalEntry, reason verdt.Reason, message string, out *msgs.CallOutbox) {
	for _, e := range entries {
		rec := s.records[e.Key]
		if e.Kind != rings.Intent || rec == nil || rec.state != Pending {
			continue
		}
		refuse(now, rec.call, reason, message, out)
		delete(s.st.calls, rec.call)
		rec.state, rec.call = Withdrawn, 0
	}
}

// refusePending refuses all calls of the shard that were not dispatched yet.
func (s *shard) refusePending(now time.Time, out *msgs.CallOutbox) {
	for _, id := range slices.Sorted(maps.Keys(s.st.calls)) {
		c := s.st.calls[id]
		if c.shard != s.index {
			continue
		}
		rec := s.records[c.Key]
		if rec == nil || rec.state != Pending {
			continue
		}
		refuse(now, id, verdt.OwnerUnknown, "the key's shard moves to another daemon", out)
		delete(s.st.calls, id)
	}
}
