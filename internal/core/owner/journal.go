package owner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

//go:generate enumer -type=RecordState -transform=snake -output=recordstate_enumer.go

// RecordState is what is known of a key.
type RecordState uint8

const (
	// Pending keys have an intent that is not durable yet, or whose write is
	// unresolved.
	Pending RecordState = iota
	// Running keys were dispatched by this process.
	Running
	// Ended keys have an outcome.
	Ended
	// Orphaned keys have an intent of an earlier owner without an outcome.
	Orphaned
	// Withdrawn keys have an intent that this process will never dispatch,
	// whose outcome is not durable yet.
	Withdrawn
)

// record is one key in a shard's memory.
type record struct {
	state   RecordState
	body    rings.Key
	until   time.Time
	verdict verdt.Verdict
	answer  *rings.Stored
	// call is the call that waits or runs; 0 if none.
	call msgs.CallID
}

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

// learn takes in the slots of a scan, in the order in which they were written: a
// key that was free again after an outcome of not_run may have a later intent.
func (s *shard) learn(now time.Time) {
	slices.SortFunc(s.read, func(a, b rings.Slot) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, slot := range s.read {
		for _, e := range slot.Entries {
			if now.Before(e.Until) {
				s.learnEntry(e)
			}
		}
	}
	if n := len(s.read); n > 0 {
		s.slot = s.read[n-1]
	}
	s.bytes = sizeOf(s.slot.Entries)
	s.read = nil
}

func (s *shard) learnEntry(e rings.Entry) {
	rec := &record{state: Orphaned, body: e.Body, until: e.Until}
	if e.Kind == rings.Outcome {
		rec.state, rec.verdict, rec.answer = Ended, e.Verdict, e.Answer
	}
	s.keys[e.Key] = rec
}

// arrive decides about a call at the owner of its key.
func (s *shard) arrive(now time.Time, c msgs.Call, out *msgs.CallOutbox) {
	rec := s.keys[c.Key]
	if rec != nil && rec.state == Ended && (rec.verdict == verdt.NotRun || !now.Before(rec.until)) {
		delete(s.keys, c.Key)
		rec = nil
	}
	if rec != nil {
		s.repeat(now, rec, c, out)
		return
	}
	switch {
	case !now.Before(c.Deadline):
		refuse(now, c.ID, verdt.DeadlinePassed, "the deadline has passed", out)
	case now.Before(s.log.downUntil):
		refuse(now, c.ID, verdt.JournalDown, "the call cannot be recorded at present", out)
	case !s.hasRoom(now):
		out.Notices = append(out.Notices, msgs.ShardNotice{Kind: msgs.ShardFull, Shard: s.index})
		refuse(now, c.ID, verdt.JournalFull, "the journal has no room until older keys expire", out)
	default:
		s.keys[c.Key] = &record{state: Pending, body: c.Body, until: c.Until, call: c.ID}
		s.st.calls[c.ID] = &call{Call: c, shard: s.index}
		s.log.add(now, rings.Entry{Kind: rings.Intent, Key: c.Key, Body: c.Body, Until: c.Until})
	}
}

// repeat answers a call whose key is known.
func (s *shard) repeat(now time.Time, rec *record, c msgs.Call, out *msgs.CallOutbox) {
	soon := verdt.RetryAt(now.Add(quickRetry))
	if rec.body != c.Body {
		fail(c.ID, verdt.New(verdt.NotRun, verdt.KeyReused, "this Idempotency-Key was used with another request"), out)
		return
	}
	unknown := rec.state == Orphaned || (rec.state == Ended && rec.verdict == verdt.MayHaveRun)
	switch {
	case rec.state == Withdrawn:
		fail(c.ID, verdt.New(verdt.NotRun, verdt.JournalDown, "the call cannot be recorded at present", soon), out)
	case rec.state == Pending || rec.state == Running:
		fail(c.ID, verdt.New(verdt.MayHaveRun, verdt.KeyInProgress, "the first call with this key has not ended", soon), out)
	case unknown && c.Repeatable:
		rec.state, rec.call = Running, c.ID
		s.st.calls[c.ID] = &call{Call: c, shard: s.index}
		s.running++
		out.Dispatches = append(out.Dispatches, c.ID)
	case unknown:
		fail(c.ID, verdt.New(verdt.MayHaveRun, verdt.OutcomeUnknown, "the first call with this key may have run, and its outcome is not known"), out)
	case rec.answer == nil || rec.answer.Cut:
		fail(c.ID, verdt.New(verdt.Ran, verdt.OutcomeUnknown, "the first call with this key ran; its answer was too large to keep"), out)
	default:
		out.Replies = append(out.Replies, msgs.CallReply{ID: c.ID, Answer: rec.answer})
	}
}

// ended records how a call of this shard ended.
func (s *shard) ended(now time.Time, c *call, e msgs.CallEnd) {
	rec := s.keys[c.Key]
	if rec == nil || rec.call != c.ID {
		return // The shard was lost meanwhile; its new owner says may_have_run.
	}
	s.running--
	rec.state, rec.call, rec.verdict = Ended, 0, verdt.Ran
	if e.Failure != nil {
		rec.verdict = e.Failure.Verdict
	}
	if e.Answer != nil {
		rec.answer = s.keep(e.Answer)
	}
	s.log.add(now, outcomeOf(c.Key, rec))
}

func outcomeOf(k rings.Key, rec *record) rings.Entry {
	return rings.Entry{Kind: rings.Outcome, Key: k, Body: rec.body, Until: rec.until, Verdict: rec.verdict, Answer: rec.answer}
}

// keep returns the answer as it is stored, without a body that is too large.
func (s *shard) keep(a *rings.Stored) *rings.Stored {
	if len(a.Body) <= s.st.cfg.MaxAnswer {
		return a
	}
	return &rings.Stored{Status: a.Status, ContentType: a.ContentType, Cut: true}
}

// hasRoom reports whether one more intent and all outcomes still to come fit.
func (s *shard) hasRoom(now time.Time) bool {
	if s.freeAfter(now, s.slot.Seq) {
		return true
	}
	open := s.running + s.log.intents + len(s.log.fresh) + 1
	return s.bytes+sizeOf(s.log.pending)+open*(entryBytes+s.st.cfg.MaxAnswer) < s.st.cfg.MaxSlotBytes
}

// entryBytes is the size of an entry in a slot without its answer, rounded up.
const entryBytes = 160

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
		s.lose(out, "another daemon wrote the journal")
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
	s.lose(out, "another daemon wrote the journal")
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
	if rec == nil {
		return
	}
	if e.Kind == rings.Outcome {
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
func (s *shard) refuseWaiting(out *msgs.CallOutbox) {
	for _, id := range slices.Sorted(maps.Keys(s.st.calls)) {
		c := s.st.calls[id]
		if c.shard != s.index {
			continue
		}
		rec := s.keys[c.Key]
		if rec == nil || rec.state != Pending {
			continue
		}
		fail(id, verdt.New(verdt.NotRun, verdt.OwnerUnknown, "the key's shard moves to another daemon", verdt.RetryAt(c.Deadline)), out)
		delete(s.st.calls, id)
	}
}

// forget drops keys whose time is over.
func (s *shard) forget(now time.Time) {
	for k, rec := range s.keys {
		if !now.Before(rec.until) && (rec.state == Ended || rec.state == Orphaned) {
			delete(s.keys, k)
		}
	}
}

func (s *shard) check() error {
	running := 0
	for k, rec := range s.keys {
		if rec.state == Running {
			running++
		}
		if rec.state == Pending && s.st.calls[rec.call] == nil {
			return fmt.Errorf("key %x waits without a call", k)
		}
	}
	if s.phase == Active && running != s.running {
		return fmt.Errorf("%d keys run, but %d are counted", running, s.running)
	}
	return nil
}
