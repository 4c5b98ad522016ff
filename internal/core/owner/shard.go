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

// Phase is where a shard stands at this daemon.
type Phase uint8

const (
	// Idle shards are not owned here.
	Idle Phase = iota
	// Claiming shards have their owner key read or written.
	Claiming
	// Scanning shards have their ring read.
	Scanning
	// Fencing shards have their newest slot written, to shut older owners out.
	Fencing
	// Active shards take calls.
	Active
	// Releasing shards finish what runs and take no new calls.
	Releasing
	// Freeing shards have their owner key deleted.
	Freeing
)

// place is what is known of one position of the ring.
type place struct {
	revision uint64
	seq      uint64
	// newest is when the last entry there may be forgotten.
	newest time.Time
}

// shard is one shard as this daemon sees it.
type shard struct {
	st    *State
	index int
	// ownerKey is the key that names the owner.
	ownerKey string
	phase    Phase
	try      uint64
	// ownerRevision is the revision of the owner key that this daemon wrote;
	// 0 unless the key is held.
	ownerRevision uint64
	pollAt        time.Time
	// unwantedSince is when another daemon became the preferred owner.
	unwantedSince time.Time
	places        []place
	toRead        int
	// read are the slots of a scan under way.
	read []rings.Slot
	// slot is the newest slot, as it was last written or read.
	slot rings.Slot
	// bytes is the size of the entries in slot.
	bytes   int
	epoch   uint64
	commit  uint64
	keys    map[rings.Key]*record
	log     commitLog
	running int
}

func newShard(st *State, index int) *shard {
	return &shard{st: st, index: index, ownerKey: fmt.Sprintf("shard/%d/owner", index)}
}

// releaseAfter is how long another daemon must be the preferred owner before a
// shard moves to it.
const releaseAfter = 5 * time.Second

func (s *shard) slotKey(position int) string {
	return fmt.Sprintf("shard/%d/slot/%d", s.index, position)
}

// position returns where in the ring a slot number stands.
func (s *shard) position(seq uint64) int { return int(seq % uint64(s.st.cfg.Slots)) }

func (s *shard) tag(slot int) msgs.Tag { return msgs.Tag{Shard: s.index, Try: s.try, Slot: slot} }

// turn enters a phase; answers to earlier questions no longer count.
func (s *shard) turn(p Phase) {
	s.phase = p
	s.try++
}

// step does what time alone asks for.
func (s *shard) step(now time.Time, out *msgs.CallOutbox) {
	switch s.phase {
	case Idle:
		s.mayClaim(now, out)
	case Claiming, Scanning, Fencing:
		if !s.pollAt.IsZero() {
			s.again(now, out)
		}
	case Active:
		s.mayRelease(now, out)
		s.stepCommit(now, out)
	case Releasing:
		s.stepCommit(now, out)
		s.finishRelease(now, out)
	case Freeing:
		s.stepFree(now, out)
	}
}

// mayClaim starts a claim when this daemon is the preferred owner.
func (s *shard) mayClaim(now time.Time, out *msgs.CallOutbox) {
	wanted := fleet.Preferred(s.ownerKey, s.st.fleet.Live) == s.st.cfg.Self
	if !wanted || s.st.stop || !s.st.lease.valid(now) {
		return
	}
	if now.Before(s.pollAt) {
		out.WakeAt(s.pollAt)
		return
	}
	s.turn(Claiming)
	s.pollAt = time.Time{}
	s.get(s.ownerKey, -1, out)
}

func (s *shard) get(key string, slot int, out *msgs.CallOutbox) {
	out.Ops = append(out.Ops, msgs.StoreOp{Tag: s.tag(slot), Kind: msgs.StoreGet, Key: key})
}

func (s *shard) cas(op model.CAS, out *msgs.CallOutbox) {
	out.Ops = append(out.Ops, msgs.StoreOp{Tag: s.tag(-1), Kind: msgs.StoreCAS, CAS: op})
}

// again goes back to the start of taking over, once its pause is over.
func (s *shard) again(now time.Time, out *msgs.CallOutbox) {
	if now.Before(s.pollAt) {
		out.WakeAt(s.pollAt)
		return
	}
	s.pollAt = time.Time{}
	if s.ownerRevision == 0 {
		s.turn(Idle)
		s.mayClaim(now, out)
		return
	}
	s.scan(out)
}

// pause waits before the next try at taking over.
func (s *shard) pause(now time.Time, out *msgs.CallOutbox) {
	s.try++
	s.pollAt = now.Add(s.st.cfg.Poll)
	out.WakeAt(s.pollAt)
}

// result takes in an answer of the key-value service.
func (s *shard) result(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	if r.Tag.Try != s.try {
		return
	}
	switch s.phase {
	case Claiming:
		s.claimed(now, r, out)
	case Scanning:
		s.scanned(now, r, out)
	case Fencing:
		s.fenced(now, r, out)
	case Active, Releasing:
		s.stored(now, r, out)
	case Freeing:
		s.freed(now, r, out)
	case Idle:
	}
}

// claimed takes in what the owner key held, or how its write ended.
func (s *shard) claimed(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	if r.Outcome != model.Done {
		s.pause(now, out)
		return
	}
	if r.Kind == msgs.StoreCAS {
		s.ownerRevision = r.Revision
		s.scan(out)
		return
	}
	// An owner key of an earlier process of this VM is taken over at once: that
	// process is gone, and if it were not, the fence would shut it out.
	mine := string(r.Entry.Value) == string(s.st.cfg.Self)
	if r.Entry.Revision != 0 && !mine {
		s.turn(Idle)
		s.pollAt = now.Add(s.st.cfg.Poll)
		out.WakeAt(s.pollAt)
		return
	}
	s.try++
	s.cas(model.CAS{Key: s.ownerKey, Value: []byte(s.st.cfg.Self), Expect: r.Entry.Revision, Lease: s.st.lease.id}, out)
}

// scan reads the whole ring.
func (s *shard) scan(out *msgs.CallOutbox) {
	s.turn(Scanning)
	s.places = make([]place, s.st.cfg.Slots)
	s.keys = map[rings.Key]*record{}
	s.slot, s.log = rings.Slot{}, commitLog{}
	s.read, s.running = s.read[:0], 0
	s.toRead = s.st.cfg.Slots
	for i := range s.st.cfg.Slots {
		s.get(s.slotKey(i), i, out)
	}
}

// scanned takes in one slot of the ring.
func (s *shard) scanned(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	if r.Outcome != model.Done {
		s.pause(now, out)
		return
	}
	slot, err := rings.DecodeSlot(r.Entry.Value)
	if err != nil {
		out.Notices = append(out.Notices, msgs.ShardNotice{Kind: msgs.ShardCorrupt, Shard: s.index, Detail: err.Error()})
		s.pause(now, out)
		return
	}
	s.places[r.Tag.Slot] = place{revision: r.Entry.Revision, seq: slot.Seq, newest: slot.Newest()}
	s.read = append(s.read, slot)
	if s.toRead--; s.toRead > 0 {
		return
	}
	s.learn(now)
	s.fence(out)
}

// fence writes the newest slot, or the one after it where that is sealed. Any
// write that an older owner still has under way, or will try after a pause,
// compares with a revision that is no longer there.
func (s *shard) fence(out *msgs.CallOutbox) {
	s.turn(Fencing)
	s.epoch = s.slot.Epoch + 1
	if s.slot.Sealed || s.slot.Seq == 0 {
		s.slot = rings.Slot{Seq: s.slot.Seq + 1}
	}
	s.commit = 1
	s.slot.Epoch, s.slot.Writer, s.slot.Commit = s.epoch, s.st.cfg.Process, s.commit
	s.write(s.slot, out)
}

func (s *shard) write(slot rings.Slot, out *msgs.CallOutbox) {
	at := s.position(slot.Seq)
	s.cas(model.CAS{Key: s.slotKey(at), Value: slot.Encode(), Expect: s.places[at].revision}, out)
}

// fenced takes in how the fence's write ended.
func (s *shard) fenced(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	if r.Outcome != model.Done {
		s.pause(now, out)
		return
	}
	s.landed(r.Revision, s.slot)
	s.turn(Active)
	s.pollAt = time.Time{}
	out.Notices = append(out.Notices, msgs.ShardNotice{Kind: msgs.ShardOwned, Shard: s.index, Detail: fmt.Sprintf("epoch %d", s.epoch)})
}

// landed takes in that a slot is in the ring.
func (s *shard) landed(revision uint64, slot rings.Slot) {
	s.slot, s.bytes = slot, sizeOf(slot.Entries)
	s.places[s.position(slot.Seq)] = place{revision: revision, seq: slot.Seq, newest: slot.Newest()}
}

// lose gives a shard up without a call to the store. Calls that were dispatched
// go on; calls that were not are refused as not run, which is true because only
// this process could have dispatched them.
func (s *shard) lose(now time.Time, out *msgs.CallOutbox, why string) {
	if s.phase == Idle {
		return
	}
	if s.phase == Active || s.phase == Releasing {
		out.Notices = append(out.Notices, msgs.ShardNotice{Kind: msgs.ShardLost, Shard: s.index, Detail: why})
	}
	s.refuseWaiting(now, out)
	s.turn(Idle)
	s.ownerRevision, s.pollAt = 0, time.Time{}
	s.keys, s.log, s.places, s.slot = nil, commitLog{}, nil, rings.Slot{}
	s.running = 0
}

// mayRelease hands a shard over when the daemon stops, or when another daemon
// has been the preferred owner for a while.
func (s *shard) mayRelease(now time.Time, out *msgs.CallOutbox) {
	if s.st.stop {
		s.phase = Releasing
		s.finishRelease(now, out)
		return
	}
	preferred := fleet.Preferred(s.ownerKey, s.st.fleet.Live)
	if preferred == s.st.cfg.Self || preferred == "" {
		s.unwantedSince = time.Time{}
		return
	}
	if s.unwantedSince.IsZero() {
		s.unwantedSince = now
	}
	at := s.unwantedSince.Add(releaseAfter)
	if now.Before(at) {
		out.WakeAt(at)
		return
	}
	s.phase = Releasing
	s.finishRelease(now, out)
}

// finishRelease deletes the owner key once nothing runs and all is durable.
func (s *shard) finishRelease(now time.Time, out *msgs.CallOutbox) {
	if s.running > 0 || s.log.busy() {
		return
	}
	s.turn(Freeing)
	s.pollAt = now
	s.stepFree(now, out)
}

// stepFree deletes the owner key, and tries again until it is known to be gone.
func (s *shard) stepFree(now time.Time, out *msgs.CallOutbox) {
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

// freed takes in how the deletion ended. A conflict means that the key is gone
// or belongs to another daemon.
func (s *shard) freed(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	if r.Outcome != model.Done && r.Outcome != model.Conflict {
		s.pause(now, out)
		return
	}
	out.Notices = append(out.Notices, msgs.ShardNotice{Kind: msgs.ShardReleased, Shard: s.index})
	s.turn(Idle)
	s.ownerRevision = 0
	s.unwantedSince = time.Time{}
	s.pollAt = now.Add(s.st.cfg.Poll)
}
