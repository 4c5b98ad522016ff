package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestLatestStatementCounts checks which of the statements of a server counts, to this daemon or to others.
func TestLatestStatementCounts(t *testing.T) {
	limited, ended := Statement{Server: testServer, Limited: true, PerSecond: 2}, Statement{Server: testServer}
	higher := Statement{Server: testServer, Limited: true, PerSecond: 5}
	now := time.Unix(1_000_000, 0)
	type scenario struct {
		name  string
		apply func(st *State)
		want  Statement
	}
	grant := func(s Statement, age time.Duration) []Grant { return []Grant{{Statement: s, Age: age}} }
	known := func(model.ServerID) bool { return true }
	for _, s := range []scenario{
		{"no limit", func(st *State) { st.Record(now, ended) }, Statement{}},
		{"limit", func(st *State) { st.Record(now, limited) }, limited},
		{"another limit", func(st *State) { st.Record(now, limited); st.Record(now, higher) }, higher},
		{"end", func(st *State) { st.Record(now, limited); st.Record(now, ended) }, ended},
		{"limit said to another daemon", func(st *State) { st.Apply(now, grant(limited, time.Second), known) }, limited},
		{"end of an unknown limit", func(st *State) { st.Apply(now, grant(ended, 0), known) }, Statement{}},
		{"unknown server", func(st *State) {
			st.Apply(now, grant(limited, 0), func(model.ServerID) bool { return false })
		}, Statement{}},
		{"older limit of another daemon", func(st *State) {
			st.Record(now, limited)
			st.Record(now, ended)
			st.Apply(now, grant(limited, time.Second), known)
		}, ended},
		{"limit that comes back from the others late", func(st *State) {
			st.Record(now, limited)
			st.Record(now.Add(time.Millisecond), ended)
			st.Apply(now.Add(100*time.Millisecond), grant(limited, 0), known)
		}, ended},
		{"later end said to another daemon", func(st *State) {
			st.Record(now, limited)
			st.Apply(now.Add(time.Second), grant(ended, 0), known)
		}, ended},
	} {
		t.Run(s.name, func(t *testing.T) {
			st := New(1)
			s.apply(st)
			var got Statement
			if l := st.servers[testServer]; l != nil {
				got = l.latest
			}
			assert.Equal(t, got, s.want)
		})
	}
}

// TestEndedLimitIsForgotten checks that the end of a limit is told to the other daemons for a while.
func TestEndedLimitIsForgotten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	st := New(1)
	st.Record(now, Statement{Server: testServer, Limited: true, PerSecond: 2})
	st.Record(now, Statement{Server: testServer})
	assert.Equal(t, len(st.Reports(now.Add(endedTTL-time.Second))), 1)
	assert.Equal(t, len(st.Reports(now.Add(endedTTL))), 0)
	assert.Equal(t, len(st.servers), 0)
}

// TestLimitOfNothingIsTried guards against a server that named a limit of 0 and never gets a request again:
// only an answer shows that the limit has ended.
func TestLimitOfNothingIsTried(t *testing.T) {
	f := newTestFleet(7, 0, 1)
	f.run(60*time.Second, 20)
	assert.Assert(t, len(f.sent) > 2)
	late := 0
	for _, at := range f.sent {
		if at.Sub(time.Unix(1_000_000, 0)) > 2*time.Second {
			late++
		}
	}
	assert.Assert(t, late >= 2 && late <= 7, "%d requests in 58 s", late)
}

// TestRetryTimesKeepLimit checks that callers are told to come back at the rate of the limits, but not later
// than in a minute.
func TestRetryTimesKeepLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	st := New(1)
	st.SetDaemons(2)
	st.Record(now, Statement{Server: testServer, Limited: true, PerSecond: 4})
	// Without shares from the others: half of an even part.
	for i := range 100 {
		want := min(time.Duration(i+1)*time.Second, time.Minute)
		assert.Equal(t, st.RetryAt(now, "s", []model.ServerID{testServer}), now.Add(want))
	}
	later := now.Add(2 * time.Minute)
	assert.Equal(t, st.RetryAt(later, "s", []model.ServerID{testServer}), later.Add(time.Second))
}
