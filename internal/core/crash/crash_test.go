package crash

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	caller, bad, subject, other uint64 = 0xca, 0xbad, 0x5b, 0x0e
)

// exchangeInterval is the interval at which daemons exchange their reports.
const exchangeInterval = 250 * time.Millisecond

// testFleet is a number of daemons that exchange reports.
type testFleet struct {
	t       assert.TestingT
	now     time.Time
	daemons []*State
	// changes are those of the first daemon.
	changes []Change
}

func newTestFleet(t assert.TestingT, daemons int) *testFleet {
	f := &testFleet{t: t, now: time.Unix(1_000_000, 0)}
	for range daemons {
		f.daemons = append(f.daemons, New(PromptParts()))
	}
	return f
}

// crash ends an engine under requests with the given parts, each at the next daemon.
func (f *testFleet) crash(server string, requests ...[]uint64) {
	for i, parts := range requests {
		f.daemons[i%len(f.daemons)].RecordCrash(f.now, model.ServerID(server), parts)
	}
}

// union returns the union of all daemons' reports.
func (f *testFleet) union() Report {
	var u Report
	for _, d := range f.daemons {
		r := d.Report(f.now)
		u.Evidence, u.Sound, u.Blocks = append(u.Evidence, r.Evidence...), append(u.Sound, r.Sound...), append(u.Blocks, r.Blocks...)
	}
	return u
}

// pass lets time pass, with exchanges.
func (f *testFleet) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(exchangeInterval)
		u := f.union()
		for i, st := range f.daemons {
			st.Apply(f.now, u)
			if changes := st.Check(f.now); i == 0 {
				f.changes = append(f.changes, changes...)
			}
		}
	}
}

// blocked returns the parts that a daemon blocks.
func (f *testFleet) blocked(daemon int) []uint64 {
	var parts []uint64
	for _, part := range []uint64{caller, bad, subject, other} {
		if _, blocked := f.daemons[daemon].Blocked(f.now, []uint64{part}); blocked {
			parts = append(parts, part)
		}
	}
	return parts
}

// TestBlockedParts checks which parts are blocked at all daemons after engines have ended under
// some requests.
func TestBlockedParts(t *testing.T) {
	type scenario struct {
		name string
		run  func(f *testFleet)
		want []uint64
	}
	badRequest, soundRequest := []uint64{caller, bad}, []uint64{caller, subject}
	// crashes ends n engines under requests.
	crashes := func(f *testFleet, n int, apart time.Duration, requests ...[]uint64) {
		for i := range n {
			f.crash("e"+strconv.Itoa(i), requests...)
			f.pass(apart)
		}
	}
	for _, s := range []scenario{
		{"two crashes are too few", func(f *testFleet) {
			f.daemons[1].RecordSound(f.now, soundRequest)
			crashes(f, 2, 2*time.Second, badRequest)
			f.pass(5 * time.Second)
		}, nil},
		{"three crashes at one daemon", func(f *testFleet) {
			f.daemons[1].RecordSound(f.now, soundRequest)
			crashes(f, 3, time.Second, badRequest)
		}, []uint64{bad}},
		{"three crashes at three daemons", func(f *testFleet) {
			f.daemons[1].RecordSound(f.now, soundRequest)
			for i, d := range f.daemons {
				d.RecordCrash(f.now, model.ServerID(strconv.Itoa(i)), badRequest)
				f.pass(time.Second)
			}
			f.pass(time.Second)
		}, []uint64{bad}},
		{"sound requests on the same engines", func(f *testFleet) {
			f.daemons[2].RecordSound(f.now, soundRequest)
			crashes(f, 5, time.Second, badRequest, soundRequest, soundRequest)
		}, []uint64{bad}},
		{"a part that is answered only later, elsewhere", func(f *testFleet) {
			f.daemons[0].RecordSound(f.now, []uint64{caller})
			crashes(f, 2, time.Second, badRequest, soundRequest)
			f.daemons[2].RecordSound(f.now, soundRequest)
			crashes(f, 3, time.Second, badRequest, soundRequest)
		}, []uint64{bad}},
		{"engines that lose their power together", func(f *testFleet) {
			for i := range 20 {
				f.crash(strconv.Itoa(i), soundRequest, soundRequest, soundRequest)
			}
			f.pass(5 * time.Second)
		}, nil},
		{"engines that lose their power together, seen by daemons at different times", func(f *testFleet) {
			for i := range 20 {
				f.daemons[i%2].RecordCrash(f.now, model.ServerID(strconv.Itoa(i)), soundRequest)
				if i == 9 {
					f.now = f.now.Add(exchangeInterval)
				}
			}
			f.pass(5 * time.Second)
		}, nil},
		{"engines that broke off answers before they lose their power together", func(f *testFleet) {
			for i := range 3 {
				f.crash(strconv.Itoa(i), []uint64{other + uint64(i) + 1})
				f.pass(time.Second)
			}
			for i := range 3 {
				f.crash(strconv.Itoa(i), soundRequest)
			}
			f.pass(5 * time.Second)
			assert.Equal(f.t, len(f.changes), 0)
		}, nil},
		{"engines that lose their power in groups under common parts", func(f *testFleet) {
			f.daemons[2].RecordSound(f.now, soundRequest)
			crashes(f, 10, 2*time.Second, soundRequest, soundRequest, soundRequest)
		}, nil},
		{"a daemon that has just started", func(f *testFleet) {
			f.daemons[2].RecordSound(f.now, soundRequest)
			f.daemons[0] = New(PromptParts())
			crashes(f, 5, time.Second, soundRequest)
		}, nil},
		{"parts that always come together wait for a fifth crash", func(f *testFleet) {
			crashes(f, 4, time.Second, []uint64{bad, other})
			f.pass(5 * time.Second)
		}, nil},
		{"parts that always come together", func(f *testFleet) {
			crashes(f, 5, time.Second, []uint64{bad, other})
		}, []uint64{bad, other}},
		{"two parts that crash engines", func(f *testFleet) {
			f.daemons[1].RecordSound(f.now, soundRequest)
			for i := range 4 {
				f.crash("a"+strconv.Itoa(i), badRequest)
				f.pass(time.Second)
				if i < 3 {
					f.crash("b"+strconv.Itoa(i), []uint64{caller, other})
					f.pass(time.Second)
				}
			}
			f.pass(2 * time.Second)
		}, []uint64{bad, other}},
		{"engines that break off answers and go on", func(f *testFleet) {
			for i := range 6 {
				f.crash("e"+strconv.Itoa(i), badRequest)
				f.daemons[0].RecordAlive(model.ServerID("e"+strconv.Itoa(i)), f.now.Add(time.Millisecond))
				f.pass(time.Second)
			}
		}, nil},
		{"evidence expires", func(f *testFleet) {
			f.daemons[1].RecordSound(f.now, soundRequest)
			crashes(f, 2, time.Second, badRequest)
			f.pass(evidenceTTL + learnedEvidenceTTL)
			f.crash("late", badRequest)
			f.pass(5 * time.Second)
		}, nil},
		{"a block expires", func(f *testFleet) {
			f.daemons[1].RecordSound(f.now, soundRequest)
			crashes(f, 3, time.Second, badRequest)
			f.pass(BlockDuration)
		}, nil},
		{"a blocked part is answered when the evidence has expired", func(f *testFleet) {
			f.daemons[1].RecordSound(f.now, soundRequest)
			crashes(f, 3, time.Second, badRequest)
			f.pass(evidenceTTL + learnedEvidenceTTL)
			f.daemons[1].RecordSound(f.now, []uint64{bad})
			// The daemon ends its own block before it reports again.
			f.daemons[1].Check(f.now)
			f.pass(2 * time.Second)
		}, nil},
		{"a blocked part is answered after all", func(f *testFleet) {
			f.daemons[1].RecordSound(f.now, soundRequest)
			crashes(f, 3, time.Second, badRequest)
			f.daemons[1].RecordSound(f.now, []uint64{bad})
			f.pass(time.Second)
		}, nil},
	} {
		t.Run(s.name, func(t *testing.T) {
			f := newTestFleet(t, 3)
			s.run(f)
			for i := range f.daemons {
				assert.DeepEqual(t, f.blocked(i), s.want)
			}
		})
	}
}

// TestSoundPartIsReportedInTime guards against a block of a common part by a daemon that has not
// heard from the others yet, which refuses sound requests.
func TestSoundPartIsReportedInTime(t *testing.T) {
	type scenario struct {
		name string
		run  func(f *testFleet)
	}
	for _, s := range []scenario{
		{"answered between the crashes", func(f *testFleet) {
			for i := range 2 {
				f.crash(strconv.Itoa(i), []uint64{subject})
				f.pass(3 * exchangeInterval)
			}
			f.crash("2", []uint64{subject})
			f.daemons[1].RecordSound(f.now, []uint64{subject})
			f.pass(2 * time.Second)
		}},
		{"cut off from the others", func(f *testFleet) {
			others := f.daemons[1:]
			others[0].RecordSound(f.now, []uint64{subject})
			for i := range 5 {
				f.crash(strconv.Itoa(i), []uint64{subject})
				f.now = f.now.Add(2 * time.Second)
				f.changes = append(f.changes, f.daemons[0].Check(f.now)...)
			}
			f.pass(2 * time.Second)
		}},
	} {
		t.Run(s.name, func(t *testing.T) {
			f := newTestFleet(t, 3)
			f.pass(time.Second)
			s.run(f)
			for _, change := range f.changes {
				assert.Equal(t, change.Kind, Suspected)
			}
		})
	}
}

// TestBlockOutlivesRestart checks that a daemon learns a block from the others when it starts, with
// the same end.
func TestBlockOutlivesRestart(t *testing.T) {
	f := newTestFleet(t, 2)
	f.daemons[1].RecordSound(f.now, []uint64{caller})
	for i := range 3 {
		f.crash(strconv.Itoa(i), []uint64{caller, bad})
		f.pass(time.Second)
	}
	want, blocked := f.daemons[1].Blocked(f.now, []uint64{bad})
	assert.Assert(t, blocked)
	f.daemons[0] = New(PromptParts())
	f.pass(exchangeInterval)
	until, _ := f.daemons[0].Blocked(f.now, []uint64{bad})
	assert.Equal(t, until, want)
}

// TestMayCrash checks which requests must not be sent again after engines ended under them.
func TestMayCrash(t *testing.T) {
	f := newTestFleet(t, 1)
	st := f.daemons[0]
	st.RecordSound(f.now, []uint64{caller})
	f.crash("a", []uint64{caller, bad})
	f.pass(time.Second)
	assert.Assert(t, !st.MayCrash(f.now, []uint64{caller, bad}, 1))
	assert.Assert(t, st.MayCrash(f.now, []uint64{caller, subject}, 2))
	assert.Assert(t, !st.MayCrash(f.now, []uint64{caller}, 2))
	f.crash("b", []uint64{caller, bad})
	f.pass(exchangeInterval)
	assert.Assert(t, st.MayCrash(f.now, []uint64{caller, bad}, 1))
	assert.Assert(t, !st.MayCrash(f.now, []uint64{caller}, 1))
	assert.DeepEqual(t, f.changes, []Change{{Kind: Suspected, Part: bad, Servers: []model.ServerID{"a", "b"}}})
}

// TestSoundPartsAreBounded checks that parts in use stay known while many others pass, and that
// the memory stays bounded.
func TestSoundPartsAreBounded(t *testing.T) {
	s, now := newSoundParts(8), time.Unix(1_000_000, 0)
	for part := range uint64(1000) {
		s.add(now, part)
		s.add(now, bad)
		assert.Assert(t, s.has(now, bad) && s.has(now, part))
		assert.Assert(t, len(s.recent)+len(s.older) <= 16)
	}
	assert.Assert(t, !s.has(now, 0))
	assert.Assert(t, !s.has(now.Add(soundTTL), bad))
}

// TestSoundPartIsNeverBlocked checks that a part that any daemon that it exchanges reports with knows as sound is not
// blocked, whatever else happens, and that all stays bounded.
func TestSoundPartIsNeverBlocked(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		f := newTestFleet(t, 3)
		f.daemons[2].RecordSound(f.now, []uint64{caller})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			parts := []uint64{caller, rapid.SampledFrom([]uint64{bad, subject, other}).Draw(t, "part")}
			f.crash(strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "engine")), slices.Repeat([][]uint64{parts}, rapid.IntRange(1, 3).Draw(t, "requests"))...)
			if rapid.Bool().Draw(t, "alive") {
				f.daemons[0].RecordAlive(model.ServerID(strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "alive engine"))), f.now)
			}
			f.pass(exchangeInterval * time.Duration(rapid.IntRange(0, 10).Draw(t, "pause")))
			f.daemons[2].RecordSound(f.now, []uint64{caller})
			for i, d := range f.daemons {
				_, blocked := d.Blocked(f.now, []uint64{caller})
				assert.Assert(t, !blocked)
				for part := range d.suspects {
					assert.Assert(t, d.blocks[part].IsZero(), "daemon %d: part %x is suspect and blocked", i, part)
				}
			}
		}
	})
}
