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

// TestAtMostOnce runs three daemons that restart and pause, against a key-value
// service that is slow, refuses requests, loses answers and delays writes. No key
// may run twice, and a call answered not_run must not have been dispatched.
func TestAtMostOnce(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.runWithoutFaults(3 * time.Second)
		process := func(t *rapid.T) int { return rapid.IntRange(0, len(sim.processes)-1).Draw(t, "process") }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"pause or resume": func(t *rapid.T) {
				p := sim.processes[process(t)]
				p.paused = !p.paused
			},
			"long time jump":    func(*rapid.T) { sim.now = sim.now.Add(8 * time.Second) },
			"tick":              func(t *rapid.T) { sim.tick(process(t)) },
			"tick all":          func(*rapid.T) { sim.tickAll() },
			"store with faults": func(t *rapid.T) { sim.runWithFaults(rapid.IntRange(1, 25).Draw(t, "steps")) },
			"busy owner": func(t *rapid.T) {
				for i := range rapid.IntRange(1, 5).Draw(t, "calls") {
					sim.callOwner("a")
					sim.callOwner(fmt.Sprintf("%d-%d", sim.lastCallID, i))
					sim.tickAll()
					sim.now = sim.now.Add(60 * time.Millisecond)
					if rapid.Bool().Draw(t, "run without faults") {
						sim.runWithoutFaults(100 * time.Millisecond)
					}
				}
			},
			// Listed twice to be drawn more often.
			"store":   func(t *rapid.T) { sim.resolveOp(rapid.IntRange(0, 7).Draw(t, "fault")) },
			"store 2": func(t *rapid.T) { sim.resolveOp(rapid.IntRange(0, 7).Draw(t, "fault")) },
			"call": func(t *rapid.T) {
				sim.call(process(t), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"))
			},
			"end call":           func(t *rapid.T) { sim.endCall(rapid.IntRange(0, 3).Draw(t, "ending")) },
			"kill":               func(t *rapid.T) { sim.kill(process(t)) },
			"run without faults": func(*rapid.T) { sim.runWithoutFaults(time.Second) },
			"call owner": func(t *rapid.T) {
				sim.callOwner(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"))
				sim.runWithoutFaults(200 * time.Millisecond)
			},
			"owner dies": func(t *rapid.T) {
				if i, ok := sim.ownerOf("a"); ok {
					sim.kill(i)
				}
				sim.runWithoutFaults(8 * time.Second)
			},
			"owner pauses": func(t *rapid.T) {
				if i, ok := sim.ownerOf("a"); ok {
					sim.processes[i].paused = true
				}
				sim.runWithoutFaults(8 * time.Second)
			},
			"run without faults for long": func(*rapid.T) {
				for _, p := range sim.processes {
					p.paused = false
				}
				sim.runWithoutFaults(10 * time.Second)
			},
		})
		sim.recover(t)
	})
}

// TestNextOwnerReturnsStoredAnswer checks that a repeated call gets the first
// answer from the next owner after the owner was killed.
func TestNextOwnerReturnsStoredAnswer(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.runWithoutFaults(3 * time.Second)
		key := rapid.StringMatching("[a-z]{1,4}").Draw(t, "key")
		sim.callOwner(key)
		sim.runWithoutFaults(time.Second)
		sim.endAllCalls()
		sim.runWithoutFaults(2 * time.Second)
		assert.Equal(t, sim.served, 1)
		i, ok := sim.ownerOf(key)
		assert.Assert(t, ok)
		sim.kill(i)
		sim.runWithoutFaults(10 * time.Second)
		sim.callOwner(key)
		sim.runWithoutFaults(time.Second)
		assert.Equal(t, sim.served, 2)
	})
}

// TestKeyReusedAfterNotRunRunsOnce guards against a second run at the next owner: a
// key that was released by not_run and then ran has several entries in the journal,
// of which the next owner must take the last.
func TestKeyReusedAfterNotRunRunsOnce(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.runWithoutFaults(3 * time.Second)
		for i := range rapid.IntRange(1, 6).Draw(t, "refusals") {
			sim.callOwner("a")
			sim.callOwner(fmt.Sprintf("other-%d", i))
			sim.runWithoutFaults(time.Second)
			for len(sim.running) > 0 {
				sim.endCall(3)
			}
			sim.runWithoutFaults(time.Second)
		}
		sim.callOwner("a")
		sim.runWithoutFaults(time.Second)
		assert.Equal(t, sim.oracle.runs["a"], 1)
		i, ok := sim.ownerOf("a")
		assert.Assert(t, ok)
		sim.kill(i)
		sim.runWithoutFaults(10 * time.Second)
		sim.callOwner("a")
		sim.runWithoutFaults(time.Second)
	})
}

// TestStoreOutageRefusesCalls checks that calls are refused at once as not_run,
// with a time to retry, while the key-value service is down, and run after the
// outage.
func TestStoreOutageRefusesCalls(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.runWithoutFaults(3 * time.Second)
		i, ok := sim.ownerOf("a")
		assert.Assert(t, ok)
		sim.call(i, "a")
		sim.tick(i)
		sim.pendingOps = append(sim.pendingOps[:0:0], sim.pendingOps...)
		for len(sim.pendingOps) > 0 {
			f := sim.pendingOps[0]
			sim.pendingOps = sim.pendingOps[1:]
			sim.deliverResult(f, msgs.StoreResult{Tag: f.op.Tag, Kind: f.op.Kind, Outcome: model.Refused})
		}
		sim.tick(i)
		assert.Assert(t, sim.oracle.notRun[callName(i, sim.lastCallID)])
		sim.runWithoutFaults(time.Second)
		sim.callOwner("a")
		sim.runWithoutFaults(time.Second)
		assert.Equal(t, sim.oracle.runs["a"], 1)
	})
}

// TestLateIntentKeepsNotRun loses the answers to a commit for longer than its
// calls may wait. The call must be refused as not_run and must not run later even
// if the write took effect; a new call with the same key then runs.
func TestLateIntentKeepsNotRun(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.runWithoutFaults(3 * time.Second)
		i, ok := sim.ownerOf("a")
		assert.Assert(t, ok)
		sim.call(i, "a")
		landed := rapid.Bool().Draw(t, "landed")
		for range 30 {
			sim.tick(i)
			sim.now = sim.now.Add(100 * time.Millisecond)
			for _, f := range sim.pendingOps {
				if f.op.Kind != msgs.StoreCAS {
					sim.deliverResult(f, sim.execute(f))
					continue
				}
				if landed {
					sim.execute(f)
				}
				sim.deliverResult(f, msgs.StoreResult{Tag: f.op.Tag, Kind: f.op.Kind, Outcome: model.Unknown})
			}
			sim.pendingOps = nil
		}
		assert.Assert(t, sim.oracle.notRun[callName(i, sim.lastCallID)])
		sim.runWithoutFaults(2 * time.Second)
		sim.callOwner("a")
		sim.runWithoutFaults(time.Second)
		assert.Equal(t, sim.oracle.runs["a"], 1)
	})
}

// TestFullJournalRefusesCalls checks that a journal whose keys have not expired
// accepts no more calls than it has room for and refuses the others as not_run,
// and accepts calls again once the keys expire.
func TestFullJournalRefusesCalls(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for _, p := range sim.processes {
			p.state.cfg.MaxSlotBytes = 12 << 10
		}
		sim.runWithoutFaults(3 * time.Second)
		i, ok := sim.ownerOf("a")
		assert.Assert(t, ok)
		calls := rapid.IntRange(120, 160).Draw(t, "calls")
		refused := 0
		for k := range calls {
			key := fmt.Sprintf("k%d", k)
			if rings.NewDigest(key).Shard(2) != rings.NewDigest("a").Shard(2) {
				continue
			}
			sim.call(i, key)
			sim.runWithoutFaults(200 * time.Millisecond)
			if sim.oracle.notRun[callName(i, sim.lastCallID)] {
				refused++
			}
			sim.endAllCalls()
			sim.runWithoutFaults(200 * time.Millisecond)
		}
		assert.Assert(t, refused > 0)
		sim.now = sim.now.Add(25 * time.Hour)
		sim.runWithoutFaults(10 * time.Second)
		sim.callOwner("a")
		sim.runWithoutFaults(time.Second)
		assert.Equal(t, sim.oracle.runs["a"], 1)
	})
}
