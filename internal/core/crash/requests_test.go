package crash

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestBlockedRequests checks which whole requests are blocked at all daemons after servers have ended under
// them.
func TestBlockedRequests(t *testing.T) {
	type scenario struct {
		name string
		run  func(f *testFleet)
		want []uint64
	}
	end := func(f *testFleet, daemon int, server string, digest uint64) {
		f.daemons[daemon].RecordCrash(f.now, model.ServerID(server), []uint64{digest})
	}
	for _, s := range []scenario{
		{"two ends are too few", func(f *testFleet) {
			end(f, 0, "s0", bad)
			end(f, 1, "s1", bad)
			f.pass(5 * time.Second)
		}, nil},
		{"three servers within one exchange", func(f *testFleet) {
			end(f, 0, "s0", bad)
			end(f, 0, "s1", bad)
			end(f, 1, "s2", bad)
			f.pass(2 * time.Second)
		}, []uint64{bad}},
		{"three servers at three daemons", func(f *testFleet) {
			for i := range f.daemons {
				end(f, i, strconv.Itoa(i), bad)
				f.pass(5 * time.Second)
			}
		}, []uint64{bad}},
		{"one server that is seen to end by three daemons", func(f *testFleet) {
			for i := range f.daemons {
				end(f, i, "s0", bad)
			}
			f.pass(5 * time.Second)
		}, nil},
		{"two requests that crash as many servers", func(f *testFleet) {
			for i := range 3 {
				end(f, i, "a"+strconv.Itoa(i), bad)
				end(f, i, "b"+strconv.Itoa(i), other)
				f.pass(time.Second)
			}
			f.pass(2 * time.Second)
		}, []uint64{bad, other}},
		{"a request that was answered elsewhere and was on three servers that lost their power", func(f *testFleet) {
			f.daemons[2].RecordSound(f.now, []uint64{other})
			for i := range 3 {
				end(f, 0, strconv.Itoa(i), other)
			}
			f.pass(5 * time.Second)
		}, nil},
		{"many requests on one server that ends", func(f *testFleet) {
			for _, digest := range []uint64{caller, bad, subject, other} {
				end(f, 0, "s0", digest)
			}
			f.pass(5 * time.Second)
		}, nil},
		{"servers that break off answers and go on", func(f *testFleet) {
			for i := range 5 {
				end(f, 0, strconv.Itoa(i), bad)
				f.daemons[0].RecordAlive(model.ServerID(strconv.Itoa(i)), f.now.Add(time.Millisecond))
				f.pass(time.Second)
			}
		}, nil},
	} {
		t.Run(s.name, func(t *testing.T) {
			f := newTestFleet(t, 3)
			for i := range f.daemons {
				f.daemons[i] = New(Requests())
			}
			f.pass(time.Second)
			s.run(f)
			for i := range f.daemons {
				assert.DeepEqual(t, f.blocked(i), s.want)
			}
		})
	}
}

// TestEvidenceOfAnsweredRequestsIsDropped guards against reports that grow with every request that a server ran when
// it ended: what is answered elsewhere is no longer reported.
func TestEvidenceOfAnsweredRequestsIsDropped(t *testing.T) {
	f := newTestFleet(t, 3)
	for i := range f.daemons {
		f.daemons[i] = New(Requests())
	}
	for digest := range uint64(100) {
		f.daemons[0].RecordCrash(f.now, "s0", []uint64{digest + 1})
	}
	f.pass(time.Second)
	assert.Equal(t, len(f.daemons[0].Report(f.now).Evidence), 100)
	for digest := range uint64(100) {
		f.daemons[0].RecordSound(f.now, []uint64{digest + 1})
	}
	assert.Equal(t, len(f.daemons[0].Report(f.now).Evidence), 0)
	f.pass(2 * learnedEvidenceTTL)
	r := f.daemons[0].Report(f.now)
	assert.Equal(t, len(r.Evidence)+len(r.Sound), 0)
}

// TestRequestIsBlockedInTimeAtAnySize guards against a request that reaches servers again because the daemons, each of
// which saw one end at most, learn of the others' too late.
func TestRequestIsBlockedInTimeAtAnySize(t *testing.T) {
	const learnBound = 3 * time.Second
	for _, daemons := range []int{7, 195, 390} {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			f := newTestFleet(t, daemons)
			for i := range f.daemons {
				f.daemons[i] = New(Requests())
			}
			f.pass(time.Second)
			for i, apart := range []time.Duration{0, 2 * time.Second, 0} {
				f.daemons[(i*daemons)/3].RecordCrash(f.now, model.ServerID(strconv.Itoa(i)), []uint64{bad})
				f.pass(apart)
			}
			f.pass(learnBound)
			for i := range f.daemons {
				assert.DeepEqual(t, f.blocked(i), []uint64{bad})
			}
		})
	}
}
