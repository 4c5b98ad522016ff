// Package crash finds the prompt parts that crash engines: each engine that begins an answer to a
// request with such a part ends, whatever else the request holds. The daemons exchange which engines
// ended under requests with which parts, and which parts were in requests that engines answered.
// Each decides for itself, by the same rules, which parts to block.
//
// In the same way, it finds whole requests that crash servers and come again. In a State for these, a
// part is the digest of a request.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// BeginningDuration is how long after its first output a stream still counts as beginning. An
	// engine that ends later under it did not crash on its prompt.
	BeginningDuration = 250 * time.Millisecond
	// SoundAfter is the time from its first output after which a stream shows that its prompt
	// parts crash no engine.
	SoundAfter = time.Second
	// blockCrashes is the number of crashes that gets a part blocked.
	blockCrashes = 3
	// partSuspectCrashes is the SuspectCrashes for prompt parts.
	partSuspectCrashes = 2
	// partCrashDistance is the CrashDistance for prompt parts. A daemon learns of the ends that others
	// saw up to two exchanges later than of those it saw itself.
	partCrashDistance = 600 * time.Millisecond
	// partTiedBlockCrashes is the TiedBlockCrashes for prompt parts.
	partTiedBlockCrashes = 5
	// soundReportTime is how long a part must have been suspect before it is blocked. By then, all
	// daemons that exchange reports have told whether they know it as sound.
	soundReportTime = time.Second
	// maxExchangeGap is the time without reports of the others after which a daemon counts as cut off.
	maxExchangeGap = time.Second
	// BlockDuration is how long a part is blocked after the last crash.
	BlockDuration = 10 * time.Minute
	// evidenceTTL is how long an engine's end counts.
	evidenceTTL = 5 * time.Minute
	// learnedEvidenceTTL is how long other daemons' evidence counts after they last reported it.
	learnedEvidenceTTL = 10 * time.Second
	// soundTTL is how long a part is known as sound after the last request that showed it.
	soundTTL = 10 * time.Minute
	// checkInterval is the interval at which suspects are checked without new evidence.
	checkInterval = 250 * time.Millisecond
	// maxOwnEvidence, maxEvidence and maxBlocks bound what is kept, and maxSoundParts half of the
	// parts known as sound.
	maxOwnEvidence = 256
	maxEvidence    = 4096
	maxBlocks      = 64
	maxSoundParts  = 4096
)

// Policy is how the ends of engines are counted.
type Policy struct {
	// CrashDistance is the time that must pass between the ends of two engines for them to count as
	// two crashes. Engines that lose their power together end at one time, under many requests
	// with common parts.
	CrashDistance time.Duration
	// SuspectCrashes is the number of crashes that make a part suspect, at most blockCrashes.
	SuspectCrashes int
	// TiedBlockCrashes is the number of crashes that gets parts blocked which were in the same
	// crashes, at least blockCrashes.
	TiedBlockCrashes int
	// Trials lets parts that are blocked because of the same servers be tried in turn.
	Trials bool
}

// PromptParts returns the policy for prompt parts, which many requests share.
func PromptParts() Policy {
	return Policy{CrashDistance: partCrashDistance, SuspectCrashes: partSuspectCrashes, TiedBlockCrashes: partTiedBlockCrashes}
}

// Requests returns the policy for whole requests. The same request is rarely at several servers at one
// time, and what crashes beside it is another request. A sound request may well lose two servers to that
// one, and is sent to a third as ever.
func Requests() Policy {
	return Policy{SuspectCrashes: blockCrashes, TiedBlockCrashes: blockCrashes, Trials: true}
}

// RequestBlockedMessage is sent to callers whose requests are refused because servers crash on them.
const RequestBlockedMessage = "backend servers crash on this request"

// Evidence says that an engine ended when it began the answer to a request with a prompt part.
type Evidence struct {
	Server model.ServerID `cbor:"1,keyasint"`
	Part   uint64         `cbor:"2,keyasint"`
}

// Compare orders evidence by part and engine.
func (e Evidence) Compare(other Evidence) int {
	return cmp.Or(cmp.Compare(e.Part, other.Part), cmp.Compare(e.Server, other.Server))
}

// Block says that requests with a prompt part are refused.
type Block struct {
	Part uint64 `cbor:"1,keyasint"`
	// Until has no monotonic clock reading, since it is exchanged between machines.
	Until time.Time `cbor:"2,keyasint"`
}

// Compare orders blocks by part and end.
func (b Block) Compare(other Block) int {
	return cmp.Or(cmp.Compare(b.Part, other.Part), b.Until.Compare(other.Until))
}

// Report is what one daemon tells the others, or the union of such reports. Its slices are sorted.
type Report struct {
	Evidence []Evidence `cbor:"1,keyasint,omitempty"`
	// Sound holds the parts known as sound, of those that any daemon has evidence against.
	Sound  []uint64 `cbor:"2,keyasint,omitempty"`
	Blocks []Block  `cbor:"3,keyasint,omitempty"`
}

// sighting is when a daemon learned of evidence, and until when it counts.
type sighting struct{ firstAt, expiresAt time.Time }

// State is what one daemon knows about prompt parts.
type State struct {
	policy Policy
	// own is the evidence from this daemon's streams with the time of the engine's end.
	own map[Evidence]time.Time
	// evidence is the evidence of all daemons. It includes own.
	evidence map[Evidence]sighting
	sound    soundParts
	// soundElsewhere holds the parts that other daemons know as sound, and until when that counts.
	soundElsewhere map[uint64]time.Time
	// suspects holds the parts that are suspect, and since when. None of them is blocked.
	suspects map[uint64]time.Time
	// blocks holds the blocked parts. None of them is known as sound.
	blocks map[uint64]time.Time
	// trialUntil is until when no further trial of a blocked part may begin here.
	trialUntil map[uint64]time.Time
	// disputed holds the parts that others block and this daemon knows as sound, and until when it
	// tells them.
	disputed map[uint64]time.Time
	// exchangedAt is when the reports of the others last came, and exchangingSince since when they
	// come without a gap above maxExchangeGap.
	exchangedAt, exchangingSince time.Time
	// explainedBy knows the engines whose ends something else explains, which count for no part here; nil
	// for none.
	explainedBy *State
	// learned holds the parts blocked by other daemons since the last Check.
	learned []uint64
	// changed is set if Check has something to evaluate, and nextCheck is when it has otherwise.
	changed   bool
	nextCheck time.Time
}

// Option configures a State.
type Option func(*State)

// WithExplanations makes the ends of engines under requests with parts that another state blocks count for
// no part.
func WithExplanations(by *State) Option { return func(st *State) { st.explainedBy = by } }

// New returns a state without evidence.
func New(p Policy, opts ...Option) *State {
	st := &State{
		policy: p,
		own:    map[Evidence]time.Time{}, evidence: map[Evidence]sighting{}, sound: newSoundParts(maxSoundParts),
		soundElsewhere: map[uint64]time.Time{}, suspects: map[uint64]time.Time{}, blocks: map[uint64]time.Time{},
		trialUntil: map[uint64]time.Time{}, disputed: map[uint64]time.Time{},
	}
	for _, opt := range opts {
		opt(st)
	}
	return st
}

// RecordSound records that an engine answered a request with these parts.
func (st *State) RecordSound(now time.Time, parts []uint64) {
	for _, part := range parts {
		st.sound.add(now, part)
		if _, blocked := st.blocks[part]; blocked {
			st.changed = true
		}
	}
}

// RecordCrash records that an engine ended when it began the answer to a request with these parts.
func (st *State) RecordCrash(now time.Time, server model.ServerID, parts []uint64) {
	for _, part := range parts {
		e := Evidence{Server: server, Part: part}
		if _, known := st.own[e]; known || st.knownSound(now, part) {
			continue
		}
		if len(st.own) >= maxOwnEvidence {
			delete(st.own, oldest(st.own))
		}
		st.own[e] = now
		st.see(now, e, now.Add(evidenceTTL))
	}
}

// oldest returns the key with the earliest time; keys break ties.
func oldest(times map[Evidence]time.Time) Evidence {
	return slices.MinFunc(slices.Collect(maps.Keys(times)), func(a, b Evidence) int {
		if c := times[a].Compare(times[b]); c != 0 {
			return c
		}
		return a.Compare(b)
	})
}

// see adds evidence, or prolongs it.
func (st *State) see(now time.Time, e Evidence, expiresAt time.Time) {
	s, known := st.evidence[e]
	if !known {
		if len(st.evidence) >= maxEvidence {
			return
		}
		s.firstAt, st.changed = now, true
	}
	if expiresAt.After(s.expiresAt) {
		s.expiresAt = expiresAt
	}
	st.evidence[e] = s
}

// RecordAlive records that a stream that was opened at a time got output from an engine. Evidence
// from before that time is withdrawn: the engine broke off streams, but did not end.
func (st *State) RecordAlive(server model.ServerID, openedAt time.Time) {
	for e, at := range st.own {
		if e.Server == server && at.Before(openedAt) {
			delete(st.own, e)
			delete(st.evidence, e)
			st.changed = true
		}
	}
}

// WithdrawSince withdraws this daemon's evidence from after a time: its connections were broken, not the engines. Other
// daemons forget it once it is no longer reported.
func (st *State) WithdrawSince(since time.Time) {
	for e, at := range st.own {
		if at.After(since) {
			delete(st.own, e)
			delete(st.evidence, e)
			st.changed = true
		}
	}
}

// Apply adds the reports of the other daemons. They may include this daemon's own.
func (st *State) Apply(now time.Time, r Report) {
	if now.Sub(st.exchangedAt) > maxExchangeGap {
		st.exchangingSince = now
	}
	st.exchangedAt = now
	for _, e := range r.Evidence {
		if _, own := st.own[e]; !own {
			st.see(now, e, now.Add(learnedEvidenceTTL))
		}
	}
	for _, part := range r.Sound {
		st.soundElsewhere[part] = now.Add(evidenceTTL)
		st.changed = true
	}
	st.adopt(now, r.Blocks)
}

// adopt blocks the parts that others block, except those known as sound.
func (st *State) adopt(now time.Time, blocks []Block) {
	for _, b := range blocks {
		if st.sound.has(now, b.Part) {
			st.disputed[b.Part] = now.Add(learnedEvidenceTTL)
		}
		until := b.Until
		if limit := now.Add(BlockDuration); limit.Before(until) {
			until = limit
		}
		if st.knownSound(now, b.Part) || !until.After(now) || len(st.blocks) >= maxBlocks || st.explainedByOther(b.Part) {
			continue
		}
		if current, blocked := st.blocks[b.Part]; !blocked || until.After(current) {
			st.blocks[b.Part] = until.Round(0)
			if !blocked {
				st.learned, st.changed = append(st.learned, b.Part), true
			}
		}
	}
}

// Report returns what this daemon tells the others.
func (st *State) Report(now time.Time) Report {
	if len(st.evidence)+len(st.blocks)+len(st.disputed) == 0 {
		return Report{}
	}
	var r Report
	for e := range st.own {
		if !st.knownSound(now, e.Part) {
			r.Evidence = append(r.Evidence, e)
		}
	}
	slices.SortFunc(r.Evidence, Evidence.Compare)
	for e := range st.evidence {
		if st.sound.has(now, e.Part) {
			r.Sound = append(r.Sound, e.Part)
		}
	}
	for part, until := range st.blocks {
		if st.sound.has(now, part) {
			r.Sound = append(r.Sound, part)
			continue
		}
		r.Blocks = append(r.Blocks, Block{Part: part, Until: until})
	}
	for part, until := range st.disputed {
		if now.Before(until) && st.sound.has(now, part) {
			r.Sound = append(r.Sound, part)
		}
	}
	slices.Sort(r.Sound)
	r.Sound = slices.Compact(r.Sound)
	slices.SortFunc(r.Blocks, Block.Compare)
	return r
}

// knownSound reports whether any daemon knows a part as sound.
func (st *State) knownSound(now time.Time, part uint64) bool {
	return now.Before(st.soundElsewhere[part]) || st.sound.has(now, part)
}

// Blocked returns until when requests with these parts are refused; false if they are not.
func (st *State) Blocked(now time.Time, parts []uint64) (until time.Time, blocked bool) {
	if len(st.blocks) == 0 {
		return time.Time{}, false
	}
	for _, part := range parts {
		if end := st.blocks[part]; end.After(until) {
			until = end
		}
	}
	return until, until.After(now)
}

// MayCrash reports whether a request that engines ended under must not be sent again, given how
// many did. One of its parts is suspect or, after two engines, not known as sound.
func (st *State) MayCrash(now time.Time, parts []uint64, crashes int) bool {
	for _, part := range parts {
		if _, suspect := st.suspects[part]; suspect {
			return true
		}
		if _, blocked := st.blocks[part]; blocked {
			return true
		}
		if crashes >= st.policy.SuspectCrashes && !st.knownSound(now, part) {
			return true
		}
	}
	return false
}

// HasEvidence reports whether any daemon saw an engine end under requests with a part.
func (st *State) HasEvidence(part uint64) bool {
	for e := range st.evidence {
		if e.Part == part {
			return true
		}
	}
	return false
}

// BlockedParts returns the number of blocked parts.
func (st *State) BlockedParts() int { return len(st.blocks) }

// NextCheck returns when Check must be called at the latest; zero if nothing is under suspicion.
func (st *State) NextCheck() time.Time {
	if len(st.suspects) == 0 {
		return time.Time{}
	}
	return st.nextCheck
}
