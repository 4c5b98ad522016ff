package ranks_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/ranks"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// TestServicesWithRanks: only requests to services that a routing names several priorities for have ranks. A
// team's own priority goes before its route's.
func TestServicesWithRanks(t *testing.T) {
	high, low := 0, 3
	route := func(service string, priority int) setts.RouteRule {
		return setts.RouteRule{Priority: priority, Shares: []setts.ServiceShare{{Service: service, Weight: 1}}}
	}
	public := route("s", 1)
	public.Public = true
	type scenario struct {
		name   string
		routes []setts.RouteRule
		teams  map[model.Team]setts.TeamRule
		want   []int
	}
	for _, tc := range []scenario{
		{"two routes", []setts.RouteRule{route("s", 2), route("s", 0)}, nil, []int{0, 2}},
		{"one priority", []setts.RouteRule{route("s", 1), route("s", 1)}, nil, nil},
		{"routes of two services", []setts.RouteRule{route("s", 1), route("other", 0)}, nil, nil},
		{"two teams", []setts.RouteRule{route("s", 1)}, map[model.Team]setts.TeamRule{"a": {Priority: &high}, "b": {Priority: &low}}, []int{0, 3}},
		{"a team and the route", []setts.RouteRule{route("s", 1)}, map[model.Team]setts.TeamRule{"a": {Priority: &low}, "b": {}}, []int{1, 3}},
		{"all teams have the same", []setts.RouteRule{route("s", 1), route("s", 2)}, map[model.Team]setts.TeamRule{"a": {Priority: &low}}, nil},
		{"a public route", []setts.RouteRule{public}, map[model.Team]setts.TeamRule{"a": {Priority: &low}}, []int{1, 3}},
		{"a share without weight", []setts.RouteRule{route("s", 1), {
			Priority: 2, Shares: []setts.ServiceShare{{Service: "s"}, {Service: "other", Weight: 1}},
		}}, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.DeepEqual(t, ranks.Of(&setts.Routing{Routes: tc.routes, Teams: tc.teams})["s"], tc.want)
		})
	}
}
