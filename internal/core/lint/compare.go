package lint

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"bulrushpond.example/bulrushpond/internal/core/match"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// comparison collects what differs between two routings. Places are those of the second one.
type comparison struct {
	before, after           *setts.Routing
	beforeTable, afterTable *match.Table
	found                   []Finding
}

func (c *comparison) add(at Place, format string, args ...any) {
	c.found = append(c.found, Finding{Place: at, Text: fmt.Sprintf(format, args...)})
}

// Compare returns what differs between two routings, and what follows from it for callers.
func Compare(before, after *setts.Routing) []Finding {
	c := &comparison{before: before, after: after, beforeTable: match.New(before), afterTable: match.New(after)}
	if after.Revision <= before.Revision {
		c.add(Place{}, "the version %d is not above %d: daemons ignore the configuration", after.Revision, before.Revision)
	}
	c.compareRoutes()
	c.compareServices()
	c.compareTeams()
	if before.Limits != after.Limits {
		c.add(Place{}, "the limits on callers change: %s", strings.Join(changedFields(before.Limits, after.Limits), ", "))
	}
	return c.found
}

// routeKey identifies a route in both routings.
type routeKey struct{ host, prefix string }

func keyOf(r *setts.RouteRule) routeKey { return routeKey{strings.ToLower(r.Host), r.Prefix} }

// matchingRoutes returns the routes that can match by their key, with their positions from 1.
func matchingRoutes(r *setts.Routing) map[routeKey]int {
	all := map[routeKey]int{}
	for i := range r.Routes {
		if key := keyOf(&r.Routes[i]); all[key] == 0 {
			all[key] = i + 1
		}
	}
	return all
}

func (c *comparison) compareRoutes() {
	earlier, later := matchingRoutes(c.before), matchingRoutes(c.after)
	for i := range c.after.Routes {
		rule, at := &c.after.Routes[i], Place{Route: i + 1}
		if later[keyOf(rule)] != i+1 {
			continue
		}
		if earlier[keyOf(rule)] == 0 {
			c.add(at, "new route %q: %s", rule.Name, describeTakeover(c.beforeTable.Route(rule.Host, rule.Prefix), "were served by", "were refused"))
			continue
		}
		c.compareRoute(at, &c.before.Routes[earlier[keyOf(rule)]-1], rule)
	}
	for i := range c.before.Routes {
		rule := &c.before.Routes[i]
		if key := keyOf(rule); earlier[key] == i+1 && later[key] == 0 {
			c.add(Place{}, "dropped route %q (%s%s): %s", rule.Name, rule.Host, rule.Prefix,
				describeTakeover(c.afterTable.Route(rule.Host, rule.Prefix), "are then served by", "are refused"))
		}
	}
}

// describeTakeover says which route has requests without the one that is new or dropped.
func describeTakeover(other *setts.RouteRule, served, refused string) string {
	if other == nil {
		return "its requests " + refused
	}
	return fmt.Sprintf("its requests %s %q", served, other.Name)
}

func (c *comparison) compareRoute(at Place, before, after *setts.RouteRule) {
	changes := changedFields(*before, *after, "Host", "Prefix", "Public", "Shares")
	if before.Repetition != after.Repetition && after.Repetition == setts.Idempotent {
		changes = append(changes, "requests may then run more than once")
	}
	if services := describeShares(after.Shares); services != describeShares(before.Shares) {
		changes = append(changes, fmt.Sprintf("services %s -> %s", describeShares(before.Shares), services))
	}
	needed, needs := c.beforeTable.NeedsKey(before), c.afterTable.NeedsKey(after)
	switch {
	case needs && !needed:
		changes = append(changes, "requests without an API key are then refused")
	case needed && !needs:
		changes = append(changes, "requests without an API key are then served")
	}
	if len(changes) > 0 {
		c.add(at, "route %q changes: %s", after.Name, strings.Join(changes, ", "))
	}
}

// describeShares returns the shares of a route's services in percent.
func describeShares(shares []setts.ServiceShare) string {
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	var texts []string
	for _, s := range shares {
		text := s.Service
		if len(shares) > 1 && total > 0 {
			text += fmt.Sprintf(" %.4g%%", 100*s.Weight/total)
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, " + ")
}

func (c *comparison) compareServices() {
	for _, name := range slices.Sorted(maps.Keys(c.after.Services)) {
		at, after := Place{Service: name}, c.after.Services[name]
		before, known := c.before.Services[name]
		switch {
		case !known:
			c.add(at, "new service")
		case (before.Engine == nil) != (after.Engine == nil):
			c.add(at, "the service changes between model engines and plain servers: requests in progress there fail")
		case after.Engine != nil && !reflect.DeepEqual(before.Engine, after.Engine):
			c.add(at, "the engines' profile changes: %s; layers may be placed anew", strings.Join(changedFields(*before.Engine, *after.Engine), ", "))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.before.Services)) {
		if _, known := c.after.Services[name]; !known {
			c.add(Place{}, "dropped service %q: its servers get no more requests", name)
		}
	}
}

func (c *comparison) compareTeams() {
	for _, team := range slices.Sorted(maps.Keys(c.after.Teams)) {
		at, after := Place{Team: team}, c.after.Teams[team]
		before, known := c.before.Teams[team]
		if !known {
			c.add(at, "new team %q with %s", team, countKeys(len(after.Keys)))
			continue
		}
		added, revoked := missingKeys(after.Keys, before.Keys), missingKeys(before.Keys, after.Keys)
		var changes []string
		if len(added) > 0 {
			changes = append(changes, "added: "+countKeys(len(added)))
		}
		if len(revoked) > 0 {
			changes = append(changes, c.describeRevoked(revoked))
		}
		if a, b := describePriority(before.Priority), describePriority(after.Priority); a != b {
			changes = append(changes, fmt.Sprintf("priority %s -> %s", a, b))
		}
		if len(changes) > 0 {
			c.add(at, "the team %q changes: %s", team, strings.Join(changes, ", "))
		}
	}
	for _, team := range slices.Sorted(maps.Keys(c.before.Teams)) {
		if _, known := c.after.Teams[team]; !known {
			c.add(Place{}, "dropped team %q: %s", team, c.describeRevoked(c.before.Teams[team].Keys))
		}
	}
}

// missingKeys returns the keys that others do not contain.
func missingKeys(keys, others []string) []string {
	known := map[string]bool{}
	for _, key := range others {
		known[key] = true
	}
	return slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return known[key] })
}

// describeRevoked says what becomes of requests with keys that a team no longer has.
func (c *comparison) describeRevoked(keys []string) string {
	if c.after.Teams == nil {
		return "no request needs an API key any more"
	}
	newTeams := map[model.Team]int{}
	refused := 0
	for _, key := range keys {
		if team, ok := c.afterTable.Team(key); ok {
			newTeams[team]++
		} else {
			refused++
		}
	}
	texts := []string{"revoked: " + countKeys(refused) + ", its callers are refused"}
	for _, team := range slices.Sorted(maps.Keys(newTeams)) {
		texts = append(texts, fmt.Sprintf("passed to the team %q: %s", team, countKeys(newTeams[team])))
	}
	if refused == 0 && len(texts) > 1 {
		texts = texts[1:]
	}
	return strings.Join(texts, ", ")
}

func countKeys(n int) string {
	if n == 1 {
		return "1 API key"
	}
	return fmt.Sprintf("%d API keys", n)
}

func describePriority(p *int) string {
	if p == nil {
		return "of the route"
	}
	return strconv.Itoa(*p)
}

// changedFields returns the fields that differ between two structs, but for those to skip.
func changedFields[T any](before, after T, skip ...string) []string {
	var changes []string
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		name, from, to := a.Type().Field(i).Name, a.Field(i).Interface(), b.Field(i).Interface()
		if !slices.Contains(skip, name) && !reflect.DeepEqual(from, to) {
			changes = append(changes, fmt.Sprintf("%s %v -> %v", words(name), cmp.Or(fmt.Sprint(from), "none"), cmp.Or(fmt.Sprint(to), "none")))
		}
	}
	return changes
}

// words returns the name of a field in words, as in "max attempts".
func words(name string) string {
	var out strings.Builder
	for i, r := range name {
		if i > 0 && r >= 'A' && r <= 'Z' {
			out.WriteByte(' ')
		}
		out.WriteRune(r)
	}
	return strings.ToLower(out.String())
}
