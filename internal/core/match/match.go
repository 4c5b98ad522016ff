// Package match finds what holds for a caller's request: its route by host and
// path, its team by API key, and the service that it goes to.
package match

import (
	"net"
	"slices"
	"strings"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// Table is a routing made ready for lookups. It is never changed.
type Table struct {
	Routing *setts.Routing
	// hosts are the routes of each host, those with the longest prefix first.
	hosts map[string][]*setts.RouteRule
	teams map[string]model.Team
}

// New makes a table.
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

// Route returns the route with the longest prefix that begins the path, or nil.
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

// NeedsKey reports whether a route's callers have to show an API key.
func (t *Table) NeedsKey(rule *setts.RouteRule) bool {
	return len(t.Routing.Teams) > 0 && !rule.Public
}

// Priority returns the rank of a request, 0 for the most urgent ones: that of its
// team where it has one, else that of its route.
func (t *Table) Priority(rule *setts.RouteRule, team model.Team) int {
	if p := t.Routing.Teams[team].Priority; p != nil {
		return *p
	}
	return rule.Priority
}

// Service picks one of a route's services by weight, for a point between 0 and 1.
func Service(rule *setts.RouteRule, point float64) string {
	total := 0.0
	for _, s := range rule.Shares {
		total += s.Weight
	}
	left := point * total
	for _, s := range rule.Shares {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	for _, s := range slices.Backward(rule.Shares) {
		if s.Weight > 0 {
			return s.Service
		}
	}
	return rule.Shares[len(rule.Shares)-1].Service
}
