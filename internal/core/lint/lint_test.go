package lint

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/core/match"
	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// soundDraft returns a routing without findings.
func soundDraft() Draft {
	engine := &setts.EngineProfile{Layers: 2, LayerBytes: 1, Kinds: map[string]setts.EngineKind{"large": {Bytes: 10}}}
	return Draft{
		Routing: &setts.Routing{
			Revision: 7,
			Routes: []setts.RouteRule{
				{
					Name: "chat", Host: "a.example", Prefix: "/chat/", Repetition: setts.Streaming, Timeout: time.Minute, TargetLatency: time.Second,
					MaxAttempts: 3, Resumable: true, Shares: []setts.ServiceShare{{Service: "models", Weight: 1}},
				},
				{
					Name: "all", Host: "a.example", Prefix: "/", Repetition: setts.Idempotent, Timeout: time.Second, MaxAttempts: 2,
					Shares: []setts.ServiceShare{{Service: "shop", Weight: 3}, {Service: "trial", Weight: 1}},
				},
			},
			Services: map[string]setts.ServiceRule{"models": {Name: "models", Engine: engine}, "shop": {Name: "shop"}, "trial": {Name: "trial"}},
			Teams:    map[model.Team]setts.TeamRule{"north": {Keys: []string{"k1", "k2"}}, "south": {Keys: []string{"k3"}}},
			Limits:   setts.CallerLimits{HeaderBytes: 100, BodyBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Minute},
		},
		Services: []string{"models", "shop", "trial"}, Teams: []model.Team{"north", "south"},
		Budget: &Budget{Ratio: 0.1, Burst: 2, Window: time.Second},
	}
}

func TestCheck(t *testing.T) {
	priority := -1
	type scenario struct {
		name  string
		alter func(d *Draft, chat, all *setts.RouteRule)
		at    Place
		want  string
	}
	for _, s := range []scenario{
		{"sound", func(*Draft, *setts.RouteRule, *setts.RouteRule) {}, Place{}, ""},
		{"no route", func(d *Draft, _, _ *setts.RouteRule) { d.Routing.Routes = nil }, Place{}, "there is no route"},
		{"equal prefix", func(_ *Draft, chat, all *setts.RouteRule) { all.Host, all.Prefix = "A.Example", chat.Prefix }, Place{Route: 2}, `route "chat" before it`},
		{"port in the host", func(_ *Draft, chat, _ *setts.RouteRule) { chat.Host = "a.example:80" }, Place{Route: 1}, "without a port"},
		{"no leading slash", func(_ *Draft, chat, _ *setts.RouteRule) { chat.Prefix = "chat/" }, Place{Route: 1}, "does not begin with a slash"},
		{"no trailing slash", func(_ *Draft, chat, _ *setts.RouteRule) { chat.Prefix = "/chat" }, Place{Route: 1}, "does not end with a slash"},
		{"one name twice", func(_ *Draft, chat, all *setts.RouteRule) { all.Name = chat.Name }, Place{Route: 2}, "also that of route 1"},
		{"unknown service", func(_ *Draft, chat, _ *setts.RouteRule) {
			chat.Shares = append(chat.Shares, setts.ServiceShare{Service: "x", Weight: 1})
		}, Place{Route: 1}, `service "x" does not exist`},
		{"no kind of engine", func(d *Draft, _, _ *setts.RouteRule) { d.Routing.Services["models"].Engine.Kinds = nil }, Place{Route: 1}, "no kind of engine"},
		{"too small kinds", func(d *Draft, _, _ *setts.RouteRule) { d.Routing.Services["models"].Engine.LayerBytes = 11 }, Place{Route: 1}, "no kind of engine"},
		{"weight 0", func(_ *Draft, _, all *setts.RouteRule) { all.Shares[1].Weight = 0 }, Place{Route: 2}, "has weight 0"},
		{"all weights 0", func(_ *Draft, _, all *setts.RouteRule) { all.Shares[0].Weight, all.Shares[1].Weight = 0, 0 }, Place{Route: 2}, "the last service gets all"},
		{"negative weight", func(_ *Draft, _, all *setts.RouteRule) { all.Shares[1].Weight = -1 }, Place{Route: 2}, "negative weight"},
		{"target over the timeout", func(_ *Draft, chat, _ *setts.RouteRule) { chat.TargetLatency = 2 * time.Minute }, Place{Route: 1}, "longer than the timeout"},
		{"negative target", func(_ *Draft, chat, _ *setts.RouteRule) { chat.TargetLatency = -1 }, Place{Route: 1}, "is negative"},
		{"attempts over the budget", func(_ *Draft, _, all *setts.RouteRule) { all.MaxAttempts = 4 }, Place{Route: 2}, "more than the retry budget"},
		{"resumable without streams", func(_ *Draft, _, all *setts.RouteRule) { all.Resumable = true }, Place{Route: 2}, "no effect"},
		{"resumable in one attempt", func(_ *Draft, chat, _ *setts.RouteRule) { chat.MaxAttempts = 1 }, Place{Route: 1}, "needs a second attempt"},
		{"service without a route", func(d *Draft, _, _ *setts.RouteRule) { d.Services = append(d.Services, "x") }, Place{Service: "x"}, "no route names"},
		{"service twice", func(d *Draft, _, _ *setts.RouteRule) { d.Services = append(d.Services, "shop") }, Place{Service: "shop"}, "listed twice"},
		{"team without keys", func(d *Draft, _, _ *setts.RouteRule) { d.Routing.Teams["north"] = setts.TeamRule{} }, Place{Team: "north"}, "no API key"},
		{"no list of teams", func(d *Draft, _, _ *setts.RouteRule) { d.Routing.Teams, d.Teams = nil, nil }, Place{}, "no request needs an API key"},
		{"empty list of teams", func(d *Draft, _, _ *setts.RouteRule) { d.Routing.Teams, d.Teams = map[model.Team]setts.TeamRule{}, nil }, Place{}, "no team has an API key"},
		{"teams without keys", func(d *Draft, _, _ *setts.RouteRule) {
			d.Routing.Teams, d.Teams = map[model.Team]setts.TeamRule{"north": {}}, []model.Team{"north"}
		}, Place{}, "no team has an API key"},
		{"team twice", func(d *Draft, _, _ *setts.RouteRule) { d.Teams = append(d.Teams, "south") }, Place{Team: "south"}, "listed twice"},
		{"key of two teams", func(d *Draft, _, _ *setts.RouteRule) { d.Routing.Teams["south"].Keys[0] = "k1" }, Place{Team: "south"}, `one of the team "north"`},
		{"key twice", func(d *Draft, _, _ *setts.RouteRule) { d.Routing.Teams["north"].Keys[1] = "k1" }, Place{Team: "north"}, "key 2 is listed twice"},
		{"empty key", func(d *Draft, _, _ *setts.RouteRule) { d.Routing.Teams["south"].Keys[0] = "" }, Place{Team: "south"}, "is empty"},
		{"key over the limit", func(d *Draft, _, _ *setts.RouteRule) {
			d.Routing.Teams["south"].Keys[0] = strings.Repeat("k", 101)
		}, Place{Team: "south"}, "101 bytes"},
		{"negative priority of a team", func(d *Draft, _, _ *setts.RouteRule) {
			d.Routing.Teams["south"] = setts.TeamRule{Keys: []string{"k3"}, Priority: &priority}
		}, Place{Team: "south"}, "priority -1"},
		{"headers over bodies", func(d *Draft, _, _ *setts.RouteRule) { d.Routing.Limits.BodyBytes = 99 }, Place{}, "more than the 99"},
		{"headers slower than idle", func(d *Draft, _, _ *setts.RouteRule) { d.Routing.Limits.HeaderTimeout = time.Hour }, Place{}, "longer than the 1m0s"},
	} {
		t.Run(s.name, func(t *testing.T) {
			d := soundDraft()
			s.alter(&d, &d.Routing.Routes[0], &d.Routing.Routes[1])
			found := Check(d)
			if s.want == "" {
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			for _, f := range found {
				if f.Place == s.at && strings.Contains(f.Text, s.want) {
					return
				}
			}
			t.Fatalf("no finding at %+v that says %q: %v", s.at, s.want, found)
		})
	}
}

// TestNeverMatches compares the findings with the table that serves requests: a route is said never to
// match if and only if no path is served by it.
func TestNeverMatches(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		d := soundDraft()
		d.Routing.Routes = nil
		hosts, prefixes := []string{"a", "A", "b", "b:80"}, []string{"/", "/x/", "/x/y/", "/x", "x/", ""}
		for i := range rapid.IntRange(1, 6).Draw(t, "routes") {
			d.Routing.Routes = append(d.Routing.Routes, setts.RouteRule{
				Name: strconv.Itoa(i), Host: rapid.SampledFrom(hosts).Draw(t, "host"), Prefix: rapid.SampledFrom(prefixes).Draw(t, "prefix"),
			})
		}
		served := map[string]bool{}
		table := match.New(d.Routing)
		for _, host := range hosts {
			for _, path := range []string{"/", "/x", "/x/", "/x/y/", "/x/y/z", "/xx", "/z"} {
				if rule := table.Route(host, path); rule != nil {
					served[rule.Name] = true
				}
			}
		}
		never := map[string]bool{}
		for _, f := range Check(d) {
			if strings.HasPrefix(f.Text, "never matches") {
				never[d.Routing.Routes[f.Place.Route-1].Name] = true
			}
		}
		for _, rule := range d.Routing.Routes {
			if served[rule.Name] == never[rule.Name] {
				t.Fatalf("route %s (%s %s) is served: %v, said never to match: %v", rule.Name, rule.Host, rule.Prefix, served[rule.Name], never[rule.Name])
			}
		}
	})
}

func TestCompare(t *testing.T) {
	priority := 1
	type scenario struct {
		name  string
		alter func(r *setts.Routing, chat, all *setts.RouteRule)
		at    Place
		want  string
	}
	for _, s := range []scenario{
		{"the same", func(*setts.Routing, *setts.RouteRule, *setts.RouteRule) {}, Place{}, ""},
		{"version not raised", func(r *setts.Routing, _, _ *setts.RouteRule) { r.Revision = 7 }, Place{}, "daemons ignore"},
		{"dropped route with another behind it", func(r *setts.Routing, _, _ *setts.RouteRule) { r.Routes = r.Routes[1:] }, Place{}, `dropped route "chat" (a.example/chat/): its requests are then served by "all"`},
		{"dropped route", func(r *setts.Routing, _, _ *setts.RouteRule) { r.Routes = r.Routes[:1] }, Place{}, "its requests are refused"},
		{"new route", func(r *setts.Routing, _, _ *setts.RouteRule) {
			r.Routes = append(r.Routes, setts.RouteRule{Name: "b", Host: "a.example", Prefix: "/chat/b/"})
		}, Place{Route: 3}, `new route "b": its requests were served by "chat"`},
		{"other limits of a route", func(_ *setts.Routing, chat, _ *setts.RouteRule) { chat.MaxAttempts, chat.Timeout = 5, time.Second }, Place{Route: 1}, "timeout 1m0s -> 1s, max attempts 3 -> 5"},
		{"other shares", func(_ *setts.Routing, _, all *setts.RouteRule) { all.Shares[1].Weight = 3 }, Place{Route: 2}, "shop 75% + trial 25% -> shop 50% + trial 50%"},
		{"requests may repeat", func(_ *setts.Routing, chat, _ *setts.RouteRule) { chat.Repetition = setts.Idempotent }, Place{Route: 1}, "may then run more than once"},
		{"public", func(_ *setts.Routing, _, all *setts.RouteRule) { all.Public = true }, Place{Route: 2}, "without an API key are then served"},
		{"revoked key", func(r *setts.Routing, _, _ *setts.RouteRule) {
			r.Teams["north"] = setts.TeamRule{Keys: []string{"k1", "k9"}}
		}, Place{Team: "north"}, "added: 1 API key, revoked: 1 API key, its callers are refused"},
		{"key of another team", func(r *setts.Routing, _, _ *setts.RouteRule) {
			r.Teams["north"], r.Teams["south"] = setts.TeamRule{Keys: []string{"k1"}}, setts.TeamRule{Keys: []string{"k2", "k3"}}
		}, Place{Team: "north"}, `passed to the team "south": 1 API key`},
		{"priority", func(r *setts.Routing, _, _ *setts.RouteRule) {
			r.Teams["south"] = setts.TeamRule{Keys: []string{"k3"}, Priority: &priority}
		}, Place{Team: "south"}, "priority of the route -> 1"},
		{"dropped team", func(r *setts.Routing, _, _ *setts.RouteRule) { delete(r.Teams, "north") }, Place{}, `dropped team "north": revoked: 2 API keys`},
		{"new team", func(r *setts.Routing, _, _ *setts.RouteRule) { r.Teams["west"] = setts.TeamRule{} }, Place{Team: "west"}, "new team"},
		{"no teams", func(r *setts.Routing, _, _ *setts.RouteRule) { r.Teams = nil }, Place{Route: 1}, "without an API key are then served"},
		{"dropped team, but no list any more", func(r *setts.Routing, _, _ *setts.RouteRule) { r.Teams = nil }, Place{}, "no request needs an API key any more"},
		{"all teams dropped", func(r *setts.Routing, _, _ *setts.RouteRule) { clear(r.Teams) }, Place{}, `dropped team "north": revoked: 2 API keys, its callers are refused`},
		{"engines", func(r *setts.Routing, _, _ *setts.RouteRule) { r.Services["models"].Engine.Slots = 4 }, Place{Service: "models"}, "slots 0 -> 4"},
		{"other servers", func(r *setts.Routing, _, _ *setts.RouteRule) {
			r.Services["models"] = setts.ServiceRule{Name: "models"}
		}, Place{Service: "models"}, "between model engines and plain servers"},
		{"dropped service", func(r *setts.Routing, _, _ *setts.RouteRule) { delete(r.Services, "shop") }, Place{}, `dropped service "shop"`},
		{"limits", func(r *setts.Routing, _, _ *setts.RouteRule) { r.Limits.BodyBytes = 9 }, Place{}, "body bytes 1000 -> 9"},
	} {
		t.Run(s.name, func(t *testing.T) {
			before, after := soundDraft().Routing, soundDraft().Routing
			after.Revision++
			s.alter(after, &after.Routes[0], &after.Routes[1])
			found := Compare(before, after)
			if s.want == "" {
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			for _, f := range found {
				if f.Place == s.at && strings.Contains(f.Text, s.want) {
					return
				}
			}
			t.Fatalf("no finding at %+v that says %q: %v", s.at, s.want, found)
		})
	}
}
