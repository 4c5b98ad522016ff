package owner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

//go:generate enumer -type=RecordState -transform=snake -output=recordstate_enumer.go

// RecordState is the state of a key in the shard's memory.
type RecordState uint8

const (
	// Pending keys have an intent that is not durable yet, or whose write has an
	// unknown result.
	Pending RecordState = iota
	// Running keys were dispatched by this process.
	Running
	// Ended keys have an outcome, durable or queued.
	Ended
	// Orphaned keys have an intent of a previous owner, but no outcome.
	Orphaned
	// Withdrawn keys have an intent that this process will never dispatch, and
	// no outcome yet.
	Withdrawn
)

// record is what a shard holds in memory about one key.
type record struct {
	state   RecordState
	body    rings.Digest
	until   time.Time
	verdict verdt.Verdict
	answer  *rings.StoredAnswer
	// call is the call that is pending or running; 0 if there is none.
	call msgs.CallID
}

// replayJournal rebuilds the records from the scanned slots, in the order in which
// they were written: a key that was released by an outcome of not_run may have a
// later intent.
func (s *shard) replayJournal(now time.Time) {
	slices.SortFunc(s.scannedSlots, func(a, b rings.Slot) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, slot := range s.scannedSlots {
		for _, e := range slot.Entries {
			if now.Before(e.ExpiresAt) {
				s.replayEntry(e)
			}
		}
	}
	if n := len(s.scannedSlots); n > 0 {
		s.newest = s.scannedSlots[n-1]
	}
	s.newestBytes = entriesSize(s.newest.Entries)
	s.scannedSlots = nil
}

// replayEntry replaces the record of an entry's key.
func (s *shard) replayEntry(e rings.JournalEntry) {
	rec := &record{state: Orphaned, body: e.BodyDigest, until: e.ExpiresAt}
	if e.Kind == rings.Outcome {
		rec.state, rec.verdict, rec.answer = Ended, e.Verdict, e.Answer
	}
	s.records[e.Key] = rec
}

// handleCall accepts, answers or refuses a call whose key this shard owns. An
// accepted call is dispatched once its intent is durable.
func (s *shard) handleCall(now time.Time, c msgs.Call, out *msgs.CallOutbox) {
	rec := s.records[c.Key]
	if rec != nil && rec.state == Ended && (rec.verdict == verdt.NotRun || !now.Before(rec.until)) {
		delete(s.records, c.Key)
		rec = nil
	}
	if rec != nil {
		s.answerKnownKey(now, rec, c, out)
		return
	}
	switch {
	case !now.Before(c.Deadline):
		refuse(now, c.ID, verdt.DeadlinePassed, "the deadline has passed", out)
	case now.Before(s.queue.refuseUntil):
		refuse(now, c.ID, verdt.JournalDown, "the call cannot be recorded at present", out)
	case !s.hasRoom(now):
		out.Notices = append(out.Notices, msgs.ShardNotice{Kind: msgs.ShardFull, Shard: s.index})
		refuse(now, c.ID, verdt.JournalFull, "the journal has no room until older keys expire", out)
	default:
		s.records[c.Key] = &record{state: Pending, body: c.BodyDigest, until: c.KeyExpiresAt, call: c.ID}
		s.st.calls[c.ID] = &call{Call: c, shard: s.index}
		s.queue.add(now, rings.JournalEntry{Kind: rings.Intent, Key: c.Key, BodyDigest: c.BodyDigest, ExpiresAt: c.KeyExpiresAt})
	}
}

// answerKnownKey handles a repeated call: one whose key has a record. It returns
// the stored answer or a failure, or dispatches the call again if the outcome is
// unknown and the service itself honours the key.
func (s *shard) answerKnownKey(now time.Time, rec *record, c msgs.Call, out *msgs.CallOutbox) {
	retryAt := verdt.RetryAt(now.Add(refusalRetryDelay))
	if rec.body != c.BodyDigest {
		fail(c.ID, verdt.New(verdt.NotRun, verdt.KeyReused, "this Idempotency-Key was used with another request"), out)
		return
	}
	outcomeUnknown := rec.state == Orphaned || (rec.state == Ended && rec.verdict == verdt.MayHaveRun)
	switch {
	case rec.state == Withdrawn:
		fail(c.ID, verdt.New(verdt.NotRun, verdt.JournalDown, "the call cannot be recorded at present", retryAt), out)
	case rec.state == Pending || rec.state == Running:
		fail(c.ID, verdt.New(verdt.MayHaveRun, verdt.KeyInProgress, "the first call with this key has not ended", retryAt), out)
	case outcomeUnknown && c.Repeatable:
		rec.state, rec.call = Running, c.ID
		s.st.calls[c.ID] = &call{Call: c, shard: s.index}
		s.running++
		out.Dispatches = append(out.Dispatches, c.ID)
	case outcomeUnknown:
		fail(c.ID, verdt.New(verdt.MayHaveRun, verdt.OutcomeUnknown, "the first call with this key may have run, and its outcome is not known"), out)
	case rec.answer == nil || rec.answer.BodyOmitted:
		fail(c.ID, verdt.New(verdt.Ran, verdt.OutcomeUnknown, "the first call with this key ran; its answer was too large to keep"), out)
	default:
		out.Replies = append(out.Replies, msgs.CallReply{ID: c.ID, Answer: rec.answer})
	}
}

// recordOutcome queues the outcome of a dispatched call of this shard.
func (s *shard) recordOutcome(now time.Time, c *call, e msgs.CallEnd) {
	rec := s.records[c.Key]
	if rec == nil || rec.call != c.ID {
		return // The shard was lost in the meantime; its new owner answers may_have_run.
	}
	s.running--
	rec.state, rec.call, rec.verdict = Ended, 0, verdt.Ran
	if e.Failure != nil {
		rec.verdict = e.Failure.Verdict
	}
	if e.Answer != nil {
		rec.answer = s.storedAnswer(e.Answer)
	}
	s.queue.add(now, outcomeOf(c.Key, rec))
}

// outcomeOf returns the journal entry for the outcome of a key.
func outcomeOf(k rings.Digest, rec *record) rings.JournalEntry {
	return rings.JournalEntry{Kind: rings.Outcome, Key: k, BodyDigest: rec.body, ExpiresAt: rec.until, Verdict: rec.verdict, Answer: rec.answer}
}

// storedAnswer returns the answer to store, without the body if that is larger
// than MaxAnswerBytes.
func (s *shard) storedAnswer(a *rings.StoredAnswer) *rings.StoredAnswer {
	if len(a.Body) <= s.st.cfg.MaxAnswerBytes {
		return a
	}
	return &rings.StoredAnswer{Status: a.Status, ContentType: a.ContentType, BodyOmitted: true}
}

// hasRoom reports whether the journal has room for one more intent and for the
// outcomes of all unfinished calls.
func (s *shard) hasRoom(now time.Time) bool {
	if s.nextSlotFree(now, s.newest.Seq) {
		return true
	}
	unfinished := s.running + s.queue.intents + len(s.queue.newEntries) + 1
	return s.newestBytes+entriesSize(s.queue.pending)+unfinished*(entryBytes+s.st.cfg.MaxAnswerBytes) < s.st.cfg.MaxSlotBytes
}

// entryBytes is the encoded size of an entry without its answer, rounded up.
const entryBytes = 160

// dropExpired deletes the records of expired keys.
func (s *shard) dropExpired(now time.Time) {
	for k, rec := range s.records {
		if !now.Before(rec.until) && (rec.state == Ended || rec.state == Orphaned) {
			delete(s.records, k)
		}
	}
}

// checkInvariants returns the first broken invariant of the shard's records.
func (s *shard) checkInvariants() error {
	running := 0
	for k, rec := range s.records {
		if rec.state == Running {
			running++
		}
		if rec.state == Pending && s.st.calls[rec.call] == nil {
			return fmt.Errorf("key %x is pending without a call", k)
		}
	}
	if s.phase == Active && running != s.running {
		return fmt.Errorf("%d keys are running, but the counter is %d", running, s.running)
	}
	return nil
}
