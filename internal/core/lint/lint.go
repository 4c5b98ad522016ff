// Package lint checks a routing for entries that can never match and limits that contradict each
// other, and tells what a new routing changes.
package lint

import (
	"cmp"
	"fmt"
	"math"
	"strings"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/match"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// Place is the entry of a routing that a finding is about. At most one field is set; none for the
// routing as a whole.
type Place struct {
	// Route is the position of a route in the routing, from 1.
	Route int
	// Service and Team are the names of a service and of a team.
	Service string
	Team    model.Team
}

// Finding is one thing that an operator should know before the routing is in force.
type Finding struct {
	Place Place
	// Text says what is so and what follows from it. It contains no API keys.
	Text string
}

// Draft is a routing to check.
type Draft struct {
	Routing *setts.Routing
	// Services and Teams are the names as listed, with repetitions, which the routing does not have.
	Services []string
	Teams    []model.Team
	// Budget is the retry budget of the daemons; nil if it is not known.
	Budget *Budget
}

// Budget is the retry budget of all daemons together for one service.
type Budget struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Burst is the number of retries in each Window in addition to the earned ones.
	Burst  float64
	Window time.Duration
}

// checker collects the findings on a draft.
type checker struct {
	Draft
	table *match.Table
	found []Finding
}

func (c *checker) add(at Place, format string, args ...any) {
	c.found = append(c.found, Finding{Place: at, Text: fmt.Sprintf(format, args...)})
}

// Check returns the entries that can never match and the limits that contradict each other, in the order
// of the routing.
func Check(d Draft) []Finding {
	c := &checker{Draft: d, table: match.New(d.Routing)}
	c.checkRoutes()
	c.checkServices()
	c.checkKeys()
	c.checkTeams()
	c.checkLimits()
	return c.found
}

func (c *checker) checkRoutes() {
	if len(c.Routing.Routes) == 0 {
		c.add(Place{}, "there is no route: every request is refused")
	}
	firstOfName := map[string]int{}
	for i := range c.Routing.Routes {
		rule, at := &c.Routing.Routes[i], Place{Route: i + 1}
		if first, known := firstOfName[rule.Name]; known {
			c.add(at, "the name %q is also that of route %d", rule.Name, first)
		} else {
			firstOfName[rule.Name] = i + 1
		}
		c.checkMatches(at, rule)
		c.checkShares(at, rule)
		c.checkRouteLimits(at, rule)
	}
}

// checkMatches finds routes that no request can have. A path is served by the longest prefix, so that a
// longer prefix takes only part of a route's requests, and an equal one all.
func (c *checker) checkMatches(at Place, rule *setts.RouteRule) {
	switch first := c.table.Route(rule.Host, cmp.Or(rule.Prefix, "/")); {
	case rule.Prefix != "" && rule.Prefix[0] != '/':
		c.add(at, "never matches: the prefix %q does not begin with a slash", rule.Prefix)
	case first == nil || !strings.EqualFold(first.Host, rule.Host):
		c.add(at, "never matches: no request has the host %q, which is compared without a port", rule.Host)
	case first != rule:
		c.add(at, "never matches: route %q before it has the same host and prefix", first.Name)
	case rule.Prefix == "" || rule.Prefix[len(rule.Prefix)-1] != '/':
		c.add(at, "the prefix %q does not end with a slash, so that it also matches longer names", rule.Prefix)
	}
}

func (c *checker) checkShares(at Place, rule *setts.RouteRule) {
	total, seen := 0.0, map[string]bool{}
	for _, share := range rule.Shares {
		total += max(0, share.Weight)
	}
	for _, share := range rule.Shares {
		service, known := c.Routing.Services[share.Service]
		switch {
		case !known:
			c.add(at, "the service %q does not exist: its requests find no server", share.Service)
		case service.Engine != nil && !holdsLayers(service.Engine):
			c.add(at, "the service %q names no kind of engine that can hold a layer: its requests find no server", share.Service)
		}
		switch {
		case share.Weight < 0 || math.IsNaN(share.Weight):
			c.add(at, "the service %q has the negative weight %v", share.Service, share.Weight)
		case share.Weight == 0 && total > 0:
			c.add(at, "the service %q has weight 0 and gets none of the route's requests", share.Service)
		case seen[share.Service]:
			c.add(at, "the service %q is listed twice; its weights add up", share.Service)
		}
		seen[share.Service] = true
	}
	if total == 0 && len(rule.Shares) > 1 {
		c.add(at, "all weights are 0: the last service gets all requests")
	}
}

// holdsLayers reports whether an engine of some kind can hold a layer.
func holdsLayers(p *setts.EngineProfile) bool {
	for kind := range p.Kinds {
		if p.Layers == 0 || p.MaxLayers(kind, 0) > 0 {
			return true
		}
	}
	return false
}

func (c *checker) checkRouteLimits(at Place, rule *setts.RouteRule) {
	switch {
	case rule.TargetLatency < 0:
		c.add(at, "the target latency %s is negative", rule.TargetLatency)
	case rule.TargetLatency > rule.Timeout:
		c.add(at, "the target latency %s is longer than the timeout %s: no request that misses it is served", rule.TargetLatency, rule.Timeout)
	}
	if rule.Priority < 0 {
		c.add(at, "the priority %d is negative; 0 is the most urgent", rule.Priority)
	}
	if rule.Resumable && rule.Repetition != setts.Streaming {
		c.add(at, "resumable has no effect on a route without streams")
	}
	if rule.Resumable && rule.Repetition == setts.Streaming && rule.MaxAttempts == 1 {
		c.add(at, "a resumable stream needs a second attempt, but only one is allowed")
	}
	if b := c.Budget; b != nil && float64(rule.MaxAttempts-1) > b.Burst+b.Ratio {
		c.add(at, "%d attempts are more than the retry budget pays for one request: %v retries in %s", rule.MaxAttempts, b.Burst+b.Ratio, b.Window)
	}
}

func (c *checker) checkServices() {
	routed, listed := map[string]bool{}, map[string]bool{}
	for i := range c.Routing.Routes {
		for _, share := range c.Routing.Routes[i].Shares {
			routed[share.Service] = true
		}
	}
	for _, name := range c.Services {
		at := Place{Service: name}
		switch {
		case listed[name]:
			c.add(at, "the service is listed twice: the last entry counts")
		case !routed[name]:
			c.add(at, "no route names the service: it gets no requests")
		}
		listed[name] = true
	}
}

// checkKeys finds that all routes are open or shut.
func (c *checker) checkKeys() {
	keys, protected := 0, 0
	for _, team := range c.Routing.Teams {
		keys += len(team.Keys)
	}
	for i := range c.Routing.Routes {
		if !c.Routing.Routes[i].Public {
			protected++
		}
	}
	switch {
	case protected == 0:
	case c.Routing.Teams == nil:
		c.add(Place{}, "there is no list of teams: no request needs an API key, on any route")
	case keys == 0:
		c.add(Place{}, "no team has an API key: all requests are refused on the routes that are not public")
	}
}

func (c *checker) checkTeams() {
	listed, owner := map[model.Team]bool{}, map[string]model.Team{}
	for _, team := range c.Teams {
		at, rule := Place{Team: team}, c.Routing.Teams[team]
		if listed[team] {
			c.add(at, "the team %q is listed twice: the last entry counts", team)
			continue
		}
		listed[team] = true
		if len(rule.Keys) == 0 {
			c.add(at, "the team %q has no API key: it can use public routes only", team)
		}
		if rule.Priority != nil && *rule.Priority < 0 {
			c.add(at, "the priority %d is negative; 0 is the most urgent", *rule.Priority)
		}
		for i, key := range rule.Keys {
			first, known := owner[key]
			switch {
			case key == "":
				c.add(at, "API key %d is empty: no request can have it", i+1)
			case known && first == team:
				c.add(at, "API key %d is listed twice", i+1)
			case known:
				c.add(at, "API key %d is also one of the team %q: daemons may take its requests for either's", i+1, first)
			}
			if limit := c.Routing.Limits.HeaderBytes; limit > 0 && len(key) > limit {
				c.add(at, "API key %d has %d bytes, but headers may hold only %d", i+1, len(key), limit)
			}
			if !known {
				owner[key] = team
			}
		}
	}
}

func (c *checker) checkLimits() {
	limits := c.Routing.Limits
	if limits.HeaderBytes < 0 || limits.BodyBytes < 0 || limits.HeaderTimeout < 0 || limits.IdleTimeout < 0 {
		c.add(Place{}, "a limit on callers is negative")
	}
	if limits.BodyBytes > 0 && int64(limits.HeaderBytes) > limits.BodyBytes {
		c.add(Place{}, "headers may hold %d bytes, more than the %d of bodies", limits.HeaderBytes, limits.BodyBytes)
	}
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		c.add(Place{}, "headers may take %s, longer than the %s that a connection may be idle", limits.HeaderTimeout, limits.IdleTimeout)
	}
}
