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

// forceWithTeam returns settings in force with model "m" and a team "/t" that has the
// given settings.
func forceWithTeam(settings map[string]string) *setts.EffectiveSettings {
	tree := setts.NewTree()
	tree.Nodes["/"] = setts.Node{Settings: map[string]string{"models": "{m: 4}"}}
	tree.Nodes["/t"] = setts.Node{Kind: setts.Team, Settings: settings}
	return setts.NewEffectiveSettings(tree)
}

// TestRateLimitAcrossDaemons checks that a team never exceeds its rate limit over all
// daemons, whichever daemons the requests reach and even if a daemon sees a lower number
// of daemons for a moment. Each daemon may exceed its share by one request, the least
// burst.
func TestRateLimitAcrossDaemons(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		const rate = 5.0
		n := rapid.IntRange(1, 7).Draw(t, "daemons")
		f := forceWithTeam(map[string]string{"requests_per_second": fmt.Sprint(rate)})
		start := time.Unix(1_000_000, 0)
		now := start
		states, tables := make([]*State, n), make([]*table.Requests, n)
		for i := range n {
			states[i], tables[i] = New(), table.NewRequests()
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
			refusal := states[i].Admit(now, msgs.Arrival{ID: id, Team: "/t", Model: "m", Deadline: now.Add(time.Hour)}, f, tables[i])
			if refusal == nil {
				admitted++
				r := tables[i].Get(id)
				states[i].Withdraw(r)
				tables[i].Remove(id)
				states[i].RequestEnded("/t")
			} else if refusal.Verdict != verdt.NotRun || !refusal.RetryAt.After(now) {
				t.Fatalf("refused with verdict %s and retry delay %s", refusal.Verdict, refusal.RetryAt.Sub(now))
			}
			if allowed := rate*now.Sub(start).Seconds() + rate + float64(n); float64(admitted) > allowed {
				t.Fatalf("admitted %d requests in %s over %d daemons; the rate limit allows %.1f", admitted, now.Sub(start), n, allowed)
			}
		}
	})
}

// TestDaemonDecreaseIsDelayed checks that a daemon list that is incomplete for a moment
// does not raise the limits of the remaining daemons.
func TestDaemonDecreaseIsDelayed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	st := New()
	st.ApplyDaemons(now, 7)
	st.ApplyDaemons(now, 3)
	assert.Equal(t, st.Daemons, 7)
	st.ApplyDaemons(now.Add(daemonDecreaseDelay-time.Second), 3)
	assert.Equal(t, st.Daemons, 7)
	st.ApplyDaemons(now.Add(daemonDecreaseDelay), 3)
	assert.Equal(t, st.Daemons, 3)
}
