package core

import (
	"fmt"
	"slices"
	"strings"
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
	if tok.End {
		if r.Next > r.OpenedFrom {
			c.crash.RecordSound(now, r.Parts)
		}
		return
	}
	if r.OutputEpoch != r.Epoch {
		r.OutputEpoch, r.OutputSince = r.Epoch, now
		c.crash.RecordAlive(r.Route.Hops[0].Server, r.LastActivityAt)
		return
	}
	// A stream that goes on past SoundAfter is recorded at its first token after that.
	if r.LastActivityAt.Sub(r.OutputSince) < crash.SoundAfter && now.Sub(r.OutputSince) >= crash.SoundAfter {
		c.crash.RecordSound(now, r.Parts)
	}
}

// recordCrash records the end of a stream if its first engine ended when it began the answer,
// and reports whether it did. It must be called before the end is handled.
func (c *Core) recordCrash(now time.Time, e msgs.StreamEnd) bool {
	r := c.requests.Get(e.Request)
	if r == nil || r.Phase != table.Running || e.Epoch != r.Epoch || !e.ConnectionLost || e.Declined || e.Failure == nil {
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
	c.crash.RecordCrash(now, server, r.Parts)
	return true
}

// failIfMayCrash fails a request that lost its engine if it could crash the next one.
func (c *Core) failIfMayCrash(now time.Time, id model.RequestID, out *msgs.Outbox) {
	r := c.requests.Get(id)
	if r != nil && r.Phase == table.Rerouting && c.crash.MayCrash(now, r.Parts, r.Crashes) {
		c.giveUp(now, r, verdt.StageFailed, "backend servers ended when they began the answer", out)
	}
}

// checkCrashes logs new decisions on prompt parts, and fails the requests that they concern.
func (c *Core) checkCrashes(now time.Time, out *msgs.Outbox) {
	for _, change := range c.crash.Check(now) {
		out.Notify(msgs.Notice{Kind: noticeKindOf(change.Kind), Part: change.Part, Detail: changeDetail(change)})
		switch change.Kind {
		case crash.Blocked:
			c.crashMetrics.PartsBlocked++
			c.failAll(change.Until, out, func(r *table.Request) bool { return slices.Contains(r.Parts, change.Part) })
		case crash.Suspected:
			c.failAll(now.Add(suspectRetryAfter), out, func(r *table.Request) bool {
				return r.Phase == table.Rerouting && r.Crashes > 0 && slices.Contains(r.Parts, change.Part)
			})
		case crash.Unblocked:
		}
	}
}

// failAll fails the requests that match and have no output from their current engines. retryAt is
// the time at which their callers may retry.
func (c *Core) failAll(retryAt time.Time, out *msgs.Outbox, match func(*table.Request) bool) {
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
		c.recov.FailRequestUntil(r, verdt.PromptBlocked, blockedMessage, retryAt, c.tables, out)
	}
}

// noticeKindOf returns the kind of the notice on a change.
func noticeKindOf(kind crash.ChangeKind) msgs.NoticeKind {
	switch kind {
	case crash.Suspected:
		return msgs.PartSuspected
	case crash.Blocked:
		return msgs.PartBlocked
	default:
		return msgs.PartUnblocked
	}
}

// changeDetail describes a change in the log.
func changeDetail(change crash.Change) string {
	var b strings.Builder
	for i, id := range change.Servers {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(string(id))
	}
	if !change.Until.IsZero() {
		fmt.Fprintf(&b, " until %s", change.Until.UTC().Format(time.RFC3339))
	}
	return strings.TrimSpace(b.String())
}

// refuseBlocked returns the failure of a new request with a blocked part, or nil.
func (c *Core) refuseBlocked(now time.Time, a msgs.Arrival) *verdt.Error {
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

// CrashMetrics are counters of engines that end when they begin an answer.
type CrashMetrics struct {
	// EngineCrashes counts the streams whose engine ended when it began the answer.
	EngineCrashes uint64
	// PartsBlocked counts the blocks of prompt parts, those learned from others included.
	// PartsBlockedNow is the number in force.
	PartsBlocked    uint64
	PartsBlockedNow int
	// RequestsBlocked counts the requests that were refused or failed because of a part.
	RequestsBlocked uint64
}

// CrashMetrics returns the counters.
func (c *Core) CrashMetrics() CrashMetrics {
	m := c.crashMetrics
	m.PartsBlockedNow = c.crash.BlockedParts()
	return m
}
