package crash

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

//go:generate enumer -type=ChangeKind -transform=snake -text -output=changekind_enumer.go

// ChangeKind is the kind of a Change.
type ChangeKind uint8

const (
	// Suspected means that engines ended under requests with a part that none has answered.
	Suspected ChangeKind = iota
	// Blocked means that requests with a part are refused from now on.
	Blocked
	// Unblocked means that requests with a part are accepted again.
	Unblocked
)

// Change is a new decision on a part.
type Change struct {
	Kind ChangeKind
	Part uint64
	// Servers are the engines that ended, sorted; empty for Unblocked and for a block that
	// another daemon decided.
	Servers []model.ServerID
	// Until is when a block ends; zero unless the part is blocked.
	Until time.Time
}

// Detail describes a change in the log: the engines that ended, and when a block ends.
func (c Change) Detail() string {
	var b strings.Builder
	for i, id := range c.Servers {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(string(id))
	}
	if !c.Until.IsZero() {
		fmt.Fprintf(&b, " until %s", c.Until.UTC().Format(time.RFC3339))
	}
	return strings.TrimSpace(b.String())
}

// engineEnd is the end of one engine under requests with some parts.
type engineEnd struct {
	server model.ServerID
	// parts are those that no daemon knows as sound, sorted by part.
	parts []partEnd
}

// partEnd is when this daemon learned of an engine's end under a request with a part. An engine that
// only broke off an answer at first may end under another part later.
type partEnd struct {
	part uint64
	at   time.Time
}

// Check evaluates the evidence and returns the decisions that changed, in a fixed order.
func (st *State) Check(now time.Time) []Change {
	if len(st.evidence)+len(st.blocks)+len(st.suspects)+len(st.disputed) == 0 || !st.changed && now.Before(st.nextCheck) {
		return nil
	}
	st.changed, st.nextCheck = false, now.Add(checkInterval)
	st.expire(now)
	changes := st.takeLearned()
	changes = append(changes, st.unblock(now)...)
	ends := st.ends(now)
	for {
		changes = append(changes, st.suspect(now, ends)...)
		blocked := st.block(now, ends)
		if len(blocked) == 0 {
			return changes
		}
		changes = append(changes, blocked...)
		ends = st.unexplained(ends)
	}
}

// takeLearned returns the blocks that other daemons decided since the last call.
func (st *State) takeLearned() []Change {
	var changes []Change
	for _, part := range st.learned {
		changes = append(changes, Change{Kind: Blocked, Part: part, Until: st.blocks[part]})
	}
	st.learned = nil
	return changes
}

// expire removes evidence and reports of soundness that no longer count.
func (st *State) expire(now time.Time) {
	for e, at := range st.own {
		switch {
		case now.Sub(at) >= evidenceTTL:
			delete(st.own, e)
		case st.sound.has(now, e.Part):
			// The part stays known as sound for longer than the evidence would count. The others are told
			// until their copies of the evidence expire.
			delete(st.own, e)
			st.evidence[e] = sighting{firstAt: st.evidence[e].firstAt, expiresAt: now.Add(learnedEvidenceTTL)}
		}
	}
	maps.DeleteFunc(st.evidence, func(_ Evidence, s sighting) bool { return !now.Before(s.expiresAt) })
	maps.DeleteFunc(st.soundElsewhere, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(st.disputed, func(_ uint64, until time.Time) bool { return !now.Before(until) })
}

// unblock removes the blocks that have ended and those of parts that turned out to be sound.
func (st *State) unblock(now time.Time) []Change {
	var changes []Change
	for _, part := range slices.Sorted(maps.Keys(st.blocks)) {
		if !now.Before(st.blocks[part]) || st.knownSound(now, part) || st.explainedByOther(part) {
			delete(st.blocks, part)
			delete(st.trialUntil, part)
			changes = append(changes, Change{Kind: Unblocked, Part: part})
		}
	}
	return changes
}

// ends returns the ends of engines, sorted by engine. Those that a blocked part explains are left
// out.
func (st *State) ends(now time.Time) []engineEnd {
	var ends []engineEnd
	pairs := slices.SortedFunc(maps.Keys(st.evidence), func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Part, b.Part))
	})
	for _, e := range pairs {
		if st.knownSound(now, e.Part) {
			continue
		}
		if len(ends) == 0 || ends[len(ends)-1].server != e.Server {
			ends = append(ends, engineEnd{server: e.Server})
		}
		last := &ends[len(ends)-1]
		last.parts = append(last.parts, partEnd{part: e.Part, at: st.evidence[e].firstAt})
	}
	return st.unexplained(ends)
}

// unexplained removes the ends of engines under requests with a blocked part, and extends the block
// to BlockDuration after the last of them.
func (st *State) unexplained(ends []engineEnd) []engineEnd {
	return slices.DeleteFunc(ends, func(end engineEnd) bool {
		explained := st.explainedBy != nil && st.explainedBy.explains(end.server)
		for _, p := range end.parts {
			until, blocked := st.blocks[p.part]
			if !blocked {
				continue
			}
			explained = true
			if extended := p.at.Add(BlockDuration).Round(0); extended.After(until) {
				st.blocks[p.part] = extended
			}
		}
		return explained
	})
}

// explains reports whether an engine ended under a request with a blocked part.
func (st *State) explains(id model.ServerID) bool {
	for part := range st.blocks {
		if _, ended := st.evidence[Evidence{Server: id, Part: part}]; ended {
			return true
		}
	}
	return false
}

// crashes is how often engines ended under requests with one part.
type crashes struct {
	// count leaves out ends that are not at least Policy.CrashDistance after the one counted before.
	count     int
	countedAt time.Time
	servers   []model.ServerID
}

// countCrashes returns the crashes of each part.
func (st *State) countCrashes(ends []engineEnd) map[uint64]crashes {
	times := map[uint64][]time.Time{}
	counts := map[uint64]crashes{}
	for _, end := range ends {
		for _, p := range end.parts {
			c := counts[p.part]
			c.servers = append(c.servers, end.server)
			counts[p.part] = c
			times[p.part] = append(times[p.part], p.at)
		}
	}
	for part, c := range counts {
		slices.SortFunc(times[part], time.Time.Compare)
		for _, at := range times[part] {
			if c.count == 0 || at.Sub(c.countedAt) >= st.policy.CrashDistance {
				c.count++
				c.countedAt = at
			}
		}
		counts[part] = c
	}
	return counts
}

// suspect updates the suspects.
func (st *State) suspect(now time.Time, ends []engineEnd) []Change {
	counts := st.countCrashes(ends)
	maps.DeleteFunc(st.suspects, func(part uint64, _ time.Time) bool { return counts[part].count < st.policy.SuspectCrashes })
	var changes []Change
	for _, part := range slices.Sorted(maps.Keys(counts)) {
		if _, known := st.suspects[part]; known || counts[part].count < st.policy.SuspectCrashes {
			continue
		}
		st.suspects[part] = now
		changes = append(changes, Change{Kind: Suspected, Part: part, Servers: sortedServers(counts[part].servers)})
	}
	return changes
}

// block blocks the suspect that explains the most crashes. Suspects that explain equally many wait
// for more evidence, up to Policy.TiedBlockCrashes. A daemon that is cut off from the others blocks none, since
// others may know the part as sound.
func (st *State) block(now time.Time, ends []engineEnd) []Change {
	if now.Sub(st.exchangedAt) > maxExchangeGap {
		return nil
	}
	counts := st.countCrashes(ends)
	most := blockCrashes
	var parts []uint64
	for _, part := range slices.Sorted(maps.Keys(st.suspects)) {
		switch n := counts[part].count; {
		case n < most:
		case n > most:
			most, parts = n, []uint64{part}
		default:
			parts = append(parts, part)
		}
	}
	if len(parts) > 1 && most < st.policy.TiedBlockCrashes {
		return nil
	}
	var changes []Change
	for _, part := range parts {
		if now.Sub(later(st.suspects[part], st.exchangingSince)) < soundReportTime || len(st.blocks) >= maxBlocks {
			continue
		}
		delete(st.suspects, part)
		st.blocks[part] = counts[part].countedAt.Add(BlockDuration).Round(0)
		changes = append(changes, Change{Kind: Blocked, Part: part, Servers: sortedServers(counts[part].servers), Until: st.blocks[part]})
	}
	return changes
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sortedServers(servers []model.ServerID) []model.ServerID {
	slices.Sort(servers)
	return slices.Compact(servers)
}
