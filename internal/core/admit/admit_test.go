package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

func forceOf(settings map[string]string) *setts.Force {
	tree := setts.NewTree()
	tree.Nodes["/"] = setts.Node{Settings: map[string]string{"models": "{m: 4}"}}
	tree.Nodes["/t"] = setts.Node{Kind: setts.Team, Settings: settings}
	return setts.NewForce(tree)
}

// TestLimitHoldsOverAllDaemons: whichever daemons callers choose, and however the
// number of daemons is seen to change, a team never gets more than its rate, but
// for the one request that each daemon lets through at once.
func TestLimitHoldsOverAllDaemons(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		const rate = 5.0
		n := rapid.IntRange(1, 7).Draw(t, "daemons")
		f := forceOf(map[string]string{"requests_per_second": fmt.Sprint(rate)})
		start := time.Unix(1_000_000, 0)
		now := start
		states, tables := make([]*State, n), make([]*table.Requests, n)
		for i := range n {
			states[i], tables[i] = NewState(), table.NewRequests()
			states[i].ApplyDaemons(now, n)
		}
		admitted, id := 0, model.RequestID(0)
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "daemon")
			if rapid.IntRange(0, 9).Draw(t, "flap") == 0 {
				states[i].ApplyDaemons(now, rapid.IntRange(1, n).Draw(t, "seen"))
				states[i].ApplyDaemons(now, n)
			}
			id++
			fail := states[i].Arrive(now, msgs.Arrival{ID: id, Team: "/t", Model: "m", Deadline: now.Add(time.Hour)}, f, tables[i])
			if fail == nil {
				admitted++
				r := tables[i].Get(id)
				states[i].Withdraw(r)
				tables[i].Remove(id)
				states[i].Left("/t")
			} else if fail.Verdict != verdt.NotRun || !fail.RetryAt.After(now) {
				t.Fatalf("refused with %s and a time to come back of %s", fail.Verdict, fail.RetryAt.Sub(now))
			}
			if most := rate*now.Sub(start).Seconds() + rate + float64(n); float64(admitted) > most {
				t.Fatalf("%d requests in %s over %d daemons, the rate allows %.1f", admitted, now.Sub(start), n, most)
			}
		}
	})
}

// TestFewerDaemonsMustLast: a list that loses daemons for a moment does not raise
// the limits of the others.
func TestFewerDaemonsMustLast(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	st := NewState()
	st.ApplyDaemons(now, 7)
	st.ApplyDaemons(now, 3)
	assert.Equal(t, st.Daemons, 7)
	st.ApplyDaemons(now.Add(daemonsHeld-time.Second), 3)
	assert.Equal(t, st.Daemons, 7)
	st.ApplyDaemons(now.Add(daemonsHeld), 3)
	assert.Equal(t, st.Daemons, 3)
}
