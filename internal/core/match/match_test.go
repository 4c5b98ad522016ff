package match

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// newRouting returns routing settings with a route for each host and path prefix, and a
// team with two API keys.
func newRouting(prefixes ...string) *setts.Routing {
	r := &setts.Routing{Teams: map[model.Team]setts.TeamRule{"north": {Keys: []string{"k1", "k2"}}}}
	for _, p := range prefixes {
		host, prefix, _ := strings.Cut(p, "/")
		r.Routes = append(r.Routes, setts.RouteRule{Name: p, Host: host, Prefix: "/" + prefix})
	}
	return r
}

func TestRoute(t *testing.T) {
	table := New(newRouting("a.example/x/", "a.example/x/y/", "b.example/"))
	type scenario struct{ name, host, path, want string }
	for _, s := range []scenario{
		{"longest of two matching prefixes", "a.example", "/x/y/z", "a.example/x/y/"},
		{"only the shorter prefix matches", "a.example", "/x/z", "a.example/x/"},
		{"path without the prefix's trailing slash", "a.example", "/x", ""},
		{"port is ignored", "a.example:8080", "/x/1", "a.example/x/"},
		{"host in upper case", "A.EXAMPLE", "/x/1", "a.example/x/"},
		{"unknown host", "c.example", "/x/1", ""},
		{"root prefix", "b.example", "/anything", "b.example/"},
		{"dot segments are not resolved", "a.example", "/y/../x/1", ""},
	} {
		t.Run(s.name, func(t *testing.T) {
			got := ""
			if rule := table.Route(s.host, s.path); rule != nil {
				got = rule.Name
			}
			assert.Equal(t, got, s.want)
		})
	}
}

func TestTeam(t *testing.T) {
	table := New(newRouting("a.example/x/"))
	team, ok := table.Team("k2")
	assert.Assert(t, ok && team == "north")
	_, ok = table.Team("")
	assert.Assert(t, !ok)
	_, ok = table.Team("k3")
	assert.Assert(t, !ok)
	assert.Assert(t, table.NeedsKey(&setts.RouteRule{}))
	assert.Assert(t, !table.NeedsKey(&setts.RouteRule{Public: true}))
	assert.Assert(t, !New(&setts.Routing{}).NeedsKey(&setts.RouteRule{}))
	assert.Assert(t, New(&setts.Routing{Teams: map[model.Team]setts.TeamRule{}}).NeedsKey(&setts.RouteRule{}))
}

func TestPriority(t *testing.T) {
	highest := 0
	r := newRouting("a.example/x/")
	r.Teams["urgent"] = setts.TeamRule{Priority: &highest}
	table := New(r)
	rule := &setts.RouteRule{Priority: 2}
	assert.Equal(t, table.Priority(rule, "urgent"), 0)
	assert.Equal(t, table.Priority(rule, "north"), 2)
}

// TestServiceShares checks that services are picked in proportion to their weights, and
// that a service with weight 0 is never picked while another has a weight.
func TestServiceShares(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		rule := &setts.RouteRule{}
		total := 0.0
		for i, w := range rapid.SliceOfN(rapid.IntRange(0, 9), 1, 5).Draw(t, "weights") {
			rule.Shares = append(rule.Shares, setts.ServiceShare{Service: string(rune('a' + i)), Weight: float64(w)})
			total += float64(w)
		}
		if total == 0 {
			assert.Assert(t, PickService(rule, 0.5) != "")
			return
		}
		const points = 1000
		picks := map[string]float64{}
		for i := range points {
			picks[PickService(rule, (float64(i)+0.5)/points)]++
		}
		for _, s := range rule.Shares {
			if got, want := picks[s.Service]/points, s.Weight/total; got < want-0.01 || got > want+0.01 {
				t.Fatalf("service %s was picked for a share of %f of the points, want %f", s.Service, got, want)
			}
		}
	})
}
