package owner

import (
	"fmt"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/fleet"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
)

//go:generate enumer -type=Phase -transform=snake -output=phase_enumer.go

// Phase is the state of a shard's ownership at this daemon.
type Phase uint8

const (
	// Idle shards are not owned by this daemon.
	Idle Phase = iota
	// Claiming is while the owner key is read and written.
	Claiming
	// Scanning is while all slots of the ring are read.
	Scanning
	// Fencing is while the newest slot is written to fence previous owners off.
	Fencing
	// Active shards are owned and accept calls.
	Active
	// Releasing shards finish their running calls and accept no new ones.
	Releasing
	// Freeing is while the owner key is deleted.
	Freeing
)

// slotInfo describes the slot at one position of the ring.
type slotInfo struct {
	revision uint64
	seq      uint64
	// reusableAt is when the last entry there expires, so that the slot may be
	// overwritten.
	reusableAt time.Time
}

// shard is this daemon's view of one shard.
type shard struct {
	st    *State
	index int
	// ownerKey is the key whose value names the owner.
	ownerKey string
	phase    Phase
	// attempt numbers the requests that count; results of older ones are ignored.
	attempt uint64
	// ownerRevision is the revision of the owner key that this daemon wrote;
	// 0 unless the key is held.
	ownerRevision uint64
	// pollAt is when the next attempt to claim, take over or free is due.
	pollAt time.Time
	// otherPreferredSince is when another daemon became the preferred owner;
	// zero if none is.
	otherPreferredSince time.Time
	// ring describes the slots by their position.
	ring []slotInfo
	// unreadSlots is how many slots the scan in progress has not read yet;
	// scannedSlots are those that it has read.
	unreadSlots  int
	scannedSlots []rings.Slot
	// newest is the newest slot, as it was last written or read.
	newest rings.Slot
	// newestBytes is the size of the entries in newest.
	newestBytes int
	// epoch is the fencing token of this daemon's ownership.
	epoch uint64
	// commitSeq counts the commits of this epoch.
	commitSeq uint64
	records   map[rings.Digest]*record
	queue     commitQueue
	// running counts the records in state Running.
	running int
}

func newShard(st *State, index int) *shard {
	return &shard{st: st, index: index, ownerKey: fmt.Sprintf("shard/%d/owner", index)}
}

// releaseDelay is how long another daemon must be the preferred owner before a
// shard is released to it.
const releaseDelay = 5 * time.Second

// slotKey returns the key of the slot at a position of the ring.
func (s *shard) slotKey(position int) string {
	return fmt.Sprintf("shard/%d/slot/%d", s.index, position)
}

// position returns the position in the ring of a slot's sequence number.
func (s *shard) position(seq uint64) int { return int(seq % uint64(s.st.cfg.Slots)) }

func (s *shard) tag(slot int) msgs.Tag { return msgs.Tag{Shard: s.index, Seq: s.attempt, Slot: slot} }

// enterPhase enters a phase; results of earlier requests are ignored from then on.
func (s *shard) enterPhase(p Phase) {
	s.phase = p
	s.attempt++
}

// step performs the actions that are due at a time.
func (s *shard) step(now time.Time, out *msgs.CallOutbox) {
	switch s.phase {
	case Idle:
		s.maybeClaim(now, out)
	case Claiming, Scanning, Fencing:
		if !s.pollAt.IsZero() {
			s.retryTakeover(now, out)
		}
	case Active:
		s.maybeRelease(now, out)
		s.stepCommit(now, out)
	case Releasing:
		s.stepCommit(now, out)
		s.releaseWhenIdle(now, out)
	case Freeing:
		s.stepFreeing(now, out)
	}
}

// maybeClaim starts to claim the shard if this daemon is its preferred owner.
func (s *shard) maybeClaim(now time.Time, out *msgs.CallOutbox) {
	preferred := fleet.Preferred(s.ownerKey, s.st.fleet.Live) == s.st.cfg.Self
	if !preferred || s.st.stopping || !s.st.lease.valid(now) {
		return
	}
	if now.Before(s.pollAt) {
		out.WakeAt(s.pollAt)
		return
	}
	s.enterPhase(Claiming)
	s.pollAt = time.Time{}
	s.get(s.ownerKey, -1, out)
}

// get requests the value of a key. slot is the position of the slot that it
// holds, or -1.
func (s *shard) get(key string, slot int, out *msgs.CallOutbox) {
	out.Ops = append(out.Ops, msgs.StoreOp{Tag: s.tag(slot), Kind: msgs.StoreGet, Key: key})
}

func (s *shard) cas(op model.CAS, out *msgs.CallOutbox) {
	out.Ops = append(out.Ops, msgs.StoreOp{Tag: s.tag(-1), Kind: msgs.StoreCAS, CAS: op})
}

// retryTakeover restarts the takeover once pollAt is reached: from the claim, or
// from the scan if the owner key is already held.
func (s *shard) retryTakeover(now time.Time, out *msgs.CallOutbox) {
	if now.Before(s.pollAt) {
		out.WakeAt(s.pollAt)
		return
	}
	s.pollAt = time.Time{}
	if s.ownerRevision == 0 {
		s.enterPhase(Idle)
		s.maybeClaim(now, out)
		return
	}
	s.scan(out)
}

// scheduleRetry sets pollAt for the next attempt and ignores results of the
// current one.
func (s *shard) scheduleRetry(now time.Time, out *msgs.CallOutbox) {
	s.attempt++
	s.pollAt = now.Add(s.st.cfg.PollInterval)
	out.WakeAt(s.pollAt)
}

// handleResult handles a result of the key-value service according to the phase.
func (s *shard) handleResult(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	if r.Tag.Seq != s.attempt {
		return
	}
	switch s.phase {
	case Claiming:
		s.handleClaimResult(now, r, out)
	case Scanning:
		s.handleScanResult(now, r, out)
	case Fencing:
		s.handleFenceResult(now, r, out)
	case Active, Releasing:
		s.handleCommitResult(now, r, out)
	case Freeing:
		s.handleFreeResult(now, r, out)
	case Idle:
	}
}

// handleClaimResult handles the result of reading or writing the owner key.
func (s *shard) handleClaimResult(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	if r.Outcome != model.Done {
		s.scheduleRetry(now, out)
		return
	}
	if r.Kind == msgs.StoreCAS {
		s.ownerRevision = r.Revision
		s.scan(out)
		return
	}
	// An owner key of an earlier process of this VM is overwritten at once: that
	// process is gone, and if it were not, it would be fenced off.
	ownKey := string(r.Entry.Value) == string(s.st.cfg.Self)
	if r.Entry.Revision != 0 && !ownKey {
		s.enterPhase(Idle)
		s.pollAt = now.Add(s.st.cfg.PollInterval)
		out.WakeAt(s.pollAt)
		return
	}
	s.attempt++
	s.cas(model.CAS{Key: s.ownerKey, Value: []byte(s.st.cfg.Self), Expect: r.Entry.Revision, Lease: s.st.lease.id}, out)
}

// scan starts to read all slots of the ring.
func (s *shard) scan(out *msgs.CallOutbox) {
	s.enterPhase(Scanning)
	s.ring = make([]slotInfo, s.st.cfg.Slots)
	s.records = map[rings.Digest]*record{}
	s.newest, s.queue = rings.Slot{}, commitQueue{}
	s.scannedSlots, s.running = s.scannedSlots[:0], 0
	s.unreadSlots = s.st.cfg.Slots
	for i := range s.st.cfg.Slots {
		s.get(s.slotKey(i), i, out)
	}
}

// handleScanResult handles one slot of the ring. After the last one it rebuilds
// the records and fences previous owners off.
func (s *shard) handleScanResult(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	if r.Outcome != model.Done {
		s.scheduleRetry(now, out)
		return
	}
	slot, err := rings.DecodeSlot(r.Entry.Value)
	if err != nil {
		out.Notices = append(out.Notices, msgs.ShardNotice{Kind: msgs.ShardCorrupt, Shard: s.index, Detail: err.Error()})
		s.scheduleRetry(now, out)
		return
	}
	s.ring[r.Tag.Slot] = slotInfo{revision: r.Entry.Revision, seq: slot.Seq, reusableAt: slot.LatestExpiry()}
	s.scannedSlots = append(s.scannedSlots, slot)
	if s.unreadSlots--; s.unreadSlots > 0 {
		return
	}
	s.replayJournal(now)
	s.fence(out)
}

// fence writes the newest slot under a new epoch, or the slot after it if that is
// sealed. Writes that a previous owner still has in flight, or tries after a
// pause, then fail because they expect an older revision.
func (s *shard) fence(out *msgs.CallOutbox) {
	s.enterPhase(Fencing)
	s.epoch = s.newest.Epoch + 1
	if s.newest.Sealed || s.newest.Seq == 0 {
		s.newest = rings.Slot{Seq: s.newest.Seq + 1}
	}
	s.commitSeq = 1
	s.newest.Epoch, s.newest.Writer, s.newest.Commit = s.epoch, s.st.cfg.Process, s.commitSeq
	s.write(s.newest, out)
}

// write requests a compare-and-swap of a slot, against the revision last known at
// its position.
func (s *shard) write(slot rings.Slot, out *msgs.CallOutbox) {
	position := s.position(slot.Seq)
	s.cas(model.CAS{Key: s.slotKey(position), Value: slot.Encode(), Expect: s.ring[position].revision}, out)
}

// handleFenceResult handles the result of the fencing write.
func (s *shard) handleFenceResult(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	if r.Outcome != model.Done {
		s.scheduleRetry(now, out)
		return
	}
	s.recordWrite(r.Revision, s.newest)
	s.enterPhase(Active)
	s.pollAt = time.Time{}
	out.Notices = append(out.Notices, msgs.ShardNotice{Kind: msgs.ShardOwned, Shard: s.index, Detail: fmt.Sprintf("epoch %d", s.epoch)})
}

// recordWrite records that a slot was written to the ring.
func (s *shard) recordWrite(revision uint64, slot rings.Slot) {
	s.newest, s.newestBytes = slot, entriesSize(slot.Entries)
	s.ring[s.position(slot.Seq)] = slotInfo{revision: revision, seq: slot.Seq, reusableAt: slot.LatestExpiry()}
}

// loseOwnership gives the shard up without a request to the key-value service.
// Dispatched calls continue. The others are refused as not_run, which holds
// because only this process could have dispatched them.
func (s *shard) loseOwnership(now time.Time, out *msgs.CallOutbox, why string) {
	if s.phase == Idle {
		return
	}
	if s.phase == Active || s.phase == Releasing {
		out.Notices = append(out.Notices, msgs.ShardNotice{Kind: msgs.ShardLost, Shard: s.index, Detail: why})
	}
	s.refusePending(now, out)
	s.enterPhase(Idle)
	s.ownerRevision, s.pollAt = 0, time.Time{}
	s.records, s.queue, s.ring, s.newest = nil, commitQueue{}, nil, rings.Slot{}
	s.running = 0
}

// maybeRelease starts to release the shard when the daemon stops, or when another
// daemon has been the preferred owner for releaseDelay.
func (s *shard) maybeRelease(now time.Time, out *msgs.CallOutbox) {
	if s.st.stopping {
		s.phase = Releasing
		s.releaseWhenIdle(now, out)
		return
	}
	preferred := fleet.Preferred(s.ownerKey, s.st.fleet.Live)
	if preferred == s.st.cfg.Self || preferred == "" {
		s.otherPreferredSince = time.Time{}
		return
	}
	if s.otherPreferredSince.IsZero() {
		s.otherPreferredSince = now
	}
	releaseAt := s.otherPreferredSince.Add(releaseDelay)
	if now.Before(releaseAt) {
		out.WakeAt(releaseAt)
		return
	}
	s.phase = Releasing
	s.releaseWhenIdle(now, out)
}

// releaseWhenIdle deletes the owner key once no call is running and all entries
// are durable.
func (s *shard) releaseWhenIdle(now time.Time, out *msgs.CallOutbox) {
	if s.running > 0 || s.queue.busy() {
		return
	}
	s.enterPhase(Freeing)
	s.pollAt = now
	s.stepFreeing(now, out)
}

// stepFreeing deletes the owner key when the next attempt is due.
func (s *shard) stepFreeing(now time.Time, out *msgs.CallOutbox) {
	if s.pollAt.IsZero() {
		return
	}
	if now.Before(s.pollAt) {
		out.WakeAt(s.pollAt)
		return
	}
	s.pollAt = time.Time{}
	s.cas(model.CAS{Key: s.ownerKey, Expect: s.ownerRevision, Delete: true}, out)
}

// handleFreeResult handles the result of deleting the owner key, and schedules a
// retry unless the key is known to be gone. A conflict means that it is gone or
// belongs to another daemon.
func (s *shard) handleFreeResult(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	if r.Outcome != model.Done && r.Outcome != model.Conflict {
		s.scheduleRetry(now, out)
		return
	}
	out.Notices = append(out.Notices, msgs.ShardNotice{Kind: msgs.ShardReleased, Shard: s.index})
	s.enterPhase(Idle)
	s.ownerRevision = 0
	s.otherPreferredSince = time.Time{}
	s.pollAt = now.Add(s.st.cfg.PollInterval)
}
