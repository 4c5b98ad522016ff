package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestAtMostOnce drives three daemons, their restarts and pauses, and a
// key-value service that is slow, refuses, loses answers and lets writes land
// late. No key may run twice, and not_run must be true.
func TestAtMostOnce(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.settle(3 * time.Second)
		process := func(t *rapid.T) int { return rapid.IntRange(0, len(w.processes)-1).Draw(t, "process") }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"pause": func(t *rapid.T) {
				p := w.processes[process(t)]
				p.paused = !p.paused
			},
			"long pause": func(*rapid.T) { w.now = w.now.Add(8 * time.Second) },
			"tick":       func(t *rapid.T) { w.tick(process(t)) },
			"tick all":   func(*rapid.T) { w.tickAll() },
			"storm":      func(t *rapid.T) { w.storm(rapid.IntRange(1, 25).Draw(t, "steps")) },
			"busy owner": func(t *rapid.T) {
				for i := range rapid.IntRange(1, 5).Draw(t, "calls") {
					w.callOwner("a")
					w.callOwner(fmt.Sprintf("%d-%d", w.next, i))
					w.tickAll()
					w.now = w.now.Add(60 * time.Millisecond)
					if rapid.Bool().Draw(t, "land") {
						w.settle(100 * time.Millisecond)
					}
				}
			},
			"store":   func(t *rapid.T) { w.storeStep(rapid.IntRange(0, 7).Draw(t, "fault")) },
			"store 2": func(t *rapid.T) { w.storeStep(rapid.IntRange(0, 7).Draw(t, "fault")) },
			"call": func(t *rapid.T) {
				w.call(process(t), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"))
			},
			"end":    func(t *rapid.T) { w.endCall(rapid.IntRange(0, 3).Draw(t, "how")) },
			"kill":   func(t *rapid.T) { w.kill(process(t)) },
			"settle": func(*rapid.T) { w.settle(time.Second) },
			"call owner": func(t *rapid.T) {
				w.callOwner(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"))
				w.settle(200 * time.Millisecond)
			},
			"owner dies": func(t *rapid.T) {
				if i, ok := w.ownerOf("a"); ok {
					w.kill(i)
				}
				w.settle(8 * time.Second)
			},
			"owner sleeps": func(t *rapid.T) {
				if i, ok := w.ownerOf("a"); ok {
					w.processes[i].paused = true
				}
				w.settle(8 * time.Second)
			},
			"settle long": func(*rapid.T) {
				for _, p := range w.processes {
					p.paused = false
				}
				w.settle(10 * time.Second)
			},
		})
		w.recover(t)
	})
}

// TestAnswerOutlivesOwner: a retry gets the first answer from the next owner.
func TestAnswerOutlivesOwner(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.settle(3 * time.Second)
		key := rapid.StringMatching("[a-z]{1,4}").Draw(t, "key")
		w.callOwner(key)
		w.settle(time.Second)
		w.finish()
		w.settle(2 * time.Second)
		assert.Equal(t, w.served, 1)
		i, ok := w.ownerOf(key)
		assert.Assert(t, ok)
		w.kill(i)
		w.settle(10 * time.Second)
		w.callOwner(key)
		w.settle(time.Second)
		assert.Equal(t, w.served, 2)
	})
}

// TestFreedKeyStaysFenced: a key that was free again after not_run and then ran
// must not run once more at the next owner.
func TestFreedKeyStaysFenced(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.settle(3 * time.Second)
		for i := range rapid.IntRange(1, 6).Draw(t, "refusals") {
			w.callOwner("a")
			w.callOwner(fmt.Sprintf("other-%d", i))
			w.settle(time.Second)
			for len(w.running) > 0 {
				w.endCall(3)
			}
			w.settle(time.Second)
		}
		w.callOwner("a")
		w.settle(time.Second)
		assert.Equal(t, w.ledger.ran["a"], 1)
		i, ok := w.ownerOf("a")
		assert.Assert(t, ok)
		w.kill(i)
		w.settle(10 * time.Second)
		w.callOwner("a")
		w.settle(time.Second)
	})
}

// TestOutage: while the key-value service is down, calls are refused at once as
// not_run with a time to come back, and after it they run.
func TestOutage(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.settle(3 * time.Second)
		i, ok := w.ownerOf("a")
		assert.Assert(t, ok)
		w.call(i, "a")
		w.tick(i)
		w.flights = append(w.flights[:0:0], w.flights...)
		for len(w.flights) > 0 {
			f := w.flights[0]
			w.flights = w.flights[1:]
			w.answer(f, msgs.StoreResult{Tag: f.op.Tag, Kind: f.op.Kind, Outcome: model.Refused})
		}
		w.tick(i)
		assert.Assert(t, w.ledger.notRun[callName(i, w.next)])
		w.settle(time.Second)
		w.callOwner("a")
		w.settle(time.Second)
		assert.Equal(t, w.ledger.ran["a"], 1)
	})
}

// TestLateWriteFreesKey: the answers to a commit are lost for longer than a call
// may wait. The call is refused as not_run and stays so when the write lands
// after all; a new call with the key then runs.
func TestLateWriteFreesKey(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.settle(3 * time.Second)
		i, ok := w.ownerOf("a")
		assert.Assert(t, ok)
		w.call(i, "a")
		landed := rapid.Bool().Draw(t, "landed")
		for range 30 {
			w.tick(i)
			w.now = w.now.Add(100 * time.Millisecond)
			for _, f := range w.flights {
				if f.op.Kind != msgs.StoreCAS {
					w.answer(f, w.land(f))
					continue
				}
				if landed {
					w.land(f)
				}
				w.answer(f, msgs.StoreResult{Tag: f.op.Tag, Kind: f.op.Kind, Outcome: model.Unknown})
			}
			w.flights = nil
		}
		assert.Assert(t, w.ledger.notRun[callName(i, w.next)])
		w.settle(2 * time.Second)
		w.callOwner("a")
		w.settle(time.Second)
		assert.Equal(t, w.ledger.ran["a"], 1)
	})
}

// TestFullJournal: a journal whose keys have not expired takes no more calls than
// it has room for, and refuses the others as not_run; once they expire it goes on.
func TestFullJournal(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for _, p := range w.processes {
			p.state.cfg.MaxSlotBytes = 12 << 10
		}
		w.settle(3 * time.Second)
		i, ok := w.ownerOf("a")
		assert.Assert(t, ok)
		calls := rapid.IntRange(120, 160).Draw(t, "calls")
		refused := 0
		for k := range calls {
			key := fmt.Sprintf("k%d", k)
			if rings.Digest(key).Shard(2) != rings.Digest("a").Shard(2) {
				continue
			}
			w.call(i, key)
			w.settle(200 * time.Millisecond)
			if w.ledger.notRun[callName(i, w.next)] {
				refused++
			}
			w.finish()
			w.settle(200 * time.Millisecond)
		}
		assert.Assert(t, refused > 0)
		w.now = w.now.Add(25 * time.Hour)
		w.settle(10 * time.Second)
		w.callOwner("a")
		w.settle(time.Second)
		assert.Equal(t, w.ledger.ran["a"], 1)
	})
}
