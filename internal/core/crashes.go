package core

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// blockedMessage is sent to callers whose requests are refused because of a prompt part.
const blockedMessage = "backend servers crash on a part of the prompt"

// suspectRetryAfter is the retry delay given to callers of requests with a suspect part.
const suspectRetryAfter = time.Second

// recordOutput records what a token says about its request's prompt parts. It must be called
// before the token is handled.
func (c *Core) recordOutput(now time.Time, tok model.Token) {
	r := c.requests.Get(tok.Request)
	if r == nil || r.Phase != table.Running || tok.Epoch != r.Epoch || tok.Position != r.Next {
		return
	}
	c.heardAt[r.Model] = now
	if tok.End {
		if r.Next > r.OpenedFrom {
			c.recordSound(now, r)
		}
		return
	}
	if r.OutputEpoch != r.Epoch {
		r.OutputEpoch, r.OutputSince = r.Epoch, now
		c.crash.RecordAlive(r.Route.Hops[0].Server, r.LastActivityAt)
		c.requestCrash.RecordAlive(r.Route.Hops[0].Server, r.LastActivityAt)
		return
	}
	// A stream that goes on past SoundAfter is recorded at its first token after that.
	if r.LastActivityAt.Sub(r.OutputSince) < crash.SoundAfter && now.Sub(r.OutputSince) >= crash.SoundAfter {
		c.recordSound(now, r)
	}
}

// recordSound records that an engine answered a request.
func (c *Core) recordSound(now time.Time, r *table.Request) {
	c.crash.RecordSound(now, r.Parts)
	c.requestCrash.RecordSound(now, digests(r.Digest))
}

// digests returns a digest as a key of requestCrash; empty if it is not known.
func digests(digest uint64) []uint64 {
	if digest == 0 {
		return nil
	}
	return []uint64{digest}
}

// recordCrash records the end of a stream if its first engine ended when it began the answer,
// and reports whether it did. It must be called before the end is handled.
func (c *Core) recordCrash(now time.Time, e msgs.StreamEnd) bool {
	r := c.requests.Get(e.Request)
	if r == nil || r.Phase != table.Running || e.Epoch != r.Epoch || !e.ConnectionLost || e.Declined || e.Failure == nil {
		return false
	}
	if c.reach.CutOff(r.Model) {
		// The path to the engine is broken.
		return false
	}
	server := r.Route.Hops[0].Server
	if r.StalledOn != "" && r.StalledOn != server {
		// The first engine gave up its wait for another one.
		return false
	}
	if model.ServerID(e.Failure.Server) != server || r.OutputEpoch == r.Epoch && now.Sub(r.OutputSince) >= crash.BeginningDuration {
		return false
	}
	r.Crashes++
	c.crashMetrics.EngineCrashes++
	if !c.requestCrash.HasEvidence(r.Digest) {
		// Only the crashes of different requests show which of their parts is to blame.
		c.crash.RecordCrash(now, server, r.Parts)
	}
	c.requestCrash.RecordCrash(now, server, digests(r.Digest))
	return true
}

// failIfMayCrash fails a request that lost its engine if it could crash the next one.
func (c *Core) failIfMayCrash(now time.Time, id model.RequestID, out *msgs.Outbox) {
	r := c.requests.Get(id)
	if r != nil && r.Phase == table.Rerouting && c.mayCrash(now, r) {
		c.giveUp(now, r, verdt.StageFailed, "backend servers ended when they began the answer", out)
	}
}

// mayCrash reports whether a request must not be sent again, since it could crash the next engine.
func (c *Core) mayCrash(now time.Time, r *table.Request) bool {
	return c.crash.MayCrash(now, r.Parts, r.Crashes) || c.requestCrash.MayCrash(now, digests(r.Digest), r.Crashes)
}

// crashSubject is one kind of what may crash engines.
type crashSubject struct {
	// suspected, blocked and unblocked are the notices on it.
	suspected, blocked, unblocked msgs.NoticeKind
	reason                        verdt.Reason
	message                       string
	// has reports whether a request has a part, or is the one with a digest.
	has func(r *table.Request, part uint64) bool
}

// promptPartSubject returns the subject of prompt parts.
func promptPartSubject() crashSubject {
	return crashSubject{
		suspected: msgs.PartSuspected, blocked: msgs.PartBlocked, unblocked: msgs.PartUnblocked, reason: verdt.PromptBlocked, message: blockedMessage,
		has: func(r *table.Request, part uint64) bool { return slices.Contains(r.Parts, part) },
	}
}

// requestSubject returns the subject of whole requests.
func requestSubject() crashSubject {
	return crashSubject{
		suspected: msgs.RequestSuspected, blocked: msgs.RequestBlocked, unblocked: msgs.RequestUnblocked, reason: verdt.RequestBlocked, message: crash.RequestBlockedMessage,
		has: func(r *table.Request, digest uint64) bool { return r.Digest == digest },
	}
}

// checkCrashes logs new decisions on prompt parts and requests, and fails the requests that they concern.
func (c *Core) checkCrashes(now time.Time, out *msgs.Outbox) {
	for _, change := range c.crash.Check(now) {
		if change.Kind == crash.Blocked {
			c.crashMetrics.PartsBlocked++
		}
		c.applyChange(now, change, promptPartSubject(), out)
	}
	for _, change := range c.requestCrash.Check(now) {
		if change.Kind == crash.Blocked {
			c.crashMetrics.RequestBlocks++
		}
		c.applyChange(now, change, requestSubject(), out)
	}
}

// applyChange logs a new decision and fails the requests that it concerns.
func (c *Core) applyChange(now time.Time, change crash.Change, subject crashSubject, out *msgs.Outbox) {
	notice := msgs.Notice{Part: change.Part, Detail: change.Detail()}
	switch change.Kind {
	case crash.Blocked:
		notice.Kind = subject.blocked
		c.failAll(change.Until, subject, out, func(r *table.Request) bool { return subject.has(r, change.Part) })
	case crash.Suspected:
		notice.Kind = subject.suspected
		c.failAll(now.Add(suspectRetryAfter), subject, out, func(r *table.Request) bool {
			return r.Phase == table.Rerouting && r.Crashes > 0 && subject.has(r, change.Part)
		})
	case crash.Unblocked:
		notice.Kind = subject.unblocked
	}
	out.Notify(notice)
}

// failAll fails the requests that match and have no output from their current engines. retryAt is
// the time at which their callers may retry.
func (c *Core) failAll(retryAt time.Time, subject crashSubject, out *msgs.Outbox, match func(*table.Request) bool) {
	var ids []model.RequestID
	for r := range c.requests.All() {
		if (r.Phase != table.Running || r.Next == r.OpenedFrom) && match(r) {
			ids = append(ids, r.ID)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := c.requests.Get(id)
		if r.Phase == table.Queued {
			c.admit.Withdraw(r)
		}
		c.crashMetrics.RequestsBlocked++
		c.recov.FailRequestUntil(r, subject.reason, subject.message, retryAt, c.tables, out)
	}
}

// refuseBlocked returns the failure of a new request that is blocked or has a blocked part, or nil.
func (c *Core) refuseBlocked(now time.Time, a msgs.Arrival) *verdt.Error {
	if until, blocked := c.requestCrash.BlockedUntil(now, a.Digest); blocked {
		c.crashMetrics.RequestsBlocked++
		return verdt.New(verdt.NotRun, verdt.RequestBlocked, crash.RequestBlockedMessage, verdt.RetryAt(until))
	}
	until, blocked := c.crash.Blocked(now, a.Parts)
	if !blocked {
		return nil
	}
	c.crashMetrics.RequestsBlocked++
	return verdt.New(verdt.NotRun, verdt.PromptBlocked, blockedMessage, verdt.RetryAt(until))
}

// promptParts returns what this daemon tells the others about prompt parts.
func (c *Core) promptParts(now time.Time) board.PromptParts {
	return board.PromptPartsOf(c.crash.Report(now))
}

// StoredBlocks returns the blocked prompt parts to store, given those that are stored now; false if
// these need no change.
func (c *Core) StoredBlocks(now time.Time, stored []crash.Block) ([]crash.Block, bool) {
	return c.crash.Stored(now, stored)
}

// StoredRequestBlocks is StoredBlocks for blocked requests.
func (c *Core) StoredRequestBlocks(now time.Time, stored []crash.Block) ([]crash.Block, bool) {
	return c.requestCrash.Stored(now, stored)
}

// CrashMetrics are counters of engines that end when they begin an answer.
type CrashMetrics struct {
	// EngineCrashes counts the streams whose engine ended when it began the answer.
	EngineCrashes uint64
	// PartsBlocked counts the blocks of prompt parts, those learned from others included.
	// PartsBlockedNow is the number in force.
	PartsBlocked    uint64
	PartsBlockedNow int
	// RequestBlocks counts the blocks of whole requests to model engines, those learned from others included.
	// RequestBlocksNow is the number in force.
	RequestBlocks    uint64
	RequestBlocksNow int
	// RequestsBlocked counts the requests that were refused or failed because of a block.
	RequestsBlocked uint64
}

// CrashMetrics returns the counters.
func (c *Core) CrashMetrics() CrashMetrics {
	m := c.crashMetrics
	m.PartsBlockedNow, m.RequestBlocksNow = c.crash.BlockedParts(), c.requestCrash.BlockedParts()
	return m
}
