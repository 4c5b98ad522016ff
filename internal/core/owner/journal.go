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
