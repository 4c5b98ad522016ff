// Package match looks up the routing of a caller's request: its route by host and path,
// its team by API key, its priority, and the service that it is forwarded to.
package match

import (
	"net"
	"slices"
	"strings"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// Table indexes the routing settings for lookups. It is immutable.
type Table struct {
	Routing *setts.Routing
	// hosts holds the routes of each host in lower case, longest prefix first.
	hosts map[string][]*setts.RouteRule
	// teams holds the team of each API key.
	teams map[string]model.Team
}

// New indexes routing settings.
func New(r *setts.Routing) *Table {
	t := &Table{Routing: r, hosts: map[string][]*setts.RouteRule{}, teams: map[string]model.Team{}}
	for i := range r.Routes {
		rule := &r.Routes[i]
		host := strings.ToLower(rule.Host)
		t.hosts[host] = append(t.hosts[host], rule)
	}
	for _, rules := range t.hosts {
		slices.SortStableFunc(rules, func(a, b *setts.RouteRule) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for team, rule := range r.Teams {
		for _, key := range rule.Keys {
			t.teams[key] = team
		}
	}
	return t
}

// Route returns the host's route with the longest prefix that matches the path, or nil.
// A port in host is ignored, and so is its letter case.
func (t *Table) Route(host, path string) *setts.RouteRule {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, rule := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, rule.Prefix) {
			return rule
		}
	}
	return nil
}

// Team returns the team of an API key.
func (t *Table) Team(key string) (model.Team, bool) {
	team, ok := t.teams[key]
	return team, ok && key != ""
}

// NeedsKey reports whether a route requires an API key: unless the route is public or the settings have no list of teams.
func (t *Table) NeedsKey(rule *setts.RouteRule) bool {
	return t.Routing.Teams != nil && !rule.Public
}

// Priority returns the priority of a request, 0 for the highest: its team's priority if
// one is set, else its route's.
func (t *Table) Priority(rule *setts.RouteRule, team model.Team) int {
	if p := t.Routing.Teams[team].Priority; p != nil {
		return *p
	}
	return rule.Priority
}

// PickService picks one of a route's services by weight; point, in [0, 1), selects it.
// Services with weight 0 are picked only if all weights are 0.
func PickService(rule *setts.RouteRule, point float64) string {
	total := 0.0
	for _, s := range rule.Shares {
		total += s.Weight
	}
	remaining := point * total
	for _, s := range rule.Shares {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	for _, s := range slices.Backward(rule.Shares) {
		if s.Weight > 0 {
			return s.Service
		}
	}
	return rule.Shares[len(rule.Shares)-1].Service
}
