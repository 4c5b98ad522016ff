package ranks

import (
	"maps"
	"slices"

	"bulrushpond.example/bulrushpond/pkg/setts"
)

// Of returns the priorities of the requests to each service that has requests of at least two, sorted. A
// team's own priority goes before its routes'.
func Of(routing *setts.Routing) map[string][]int {
	teams := map[int]bool{}
	usesRoutes := len(routing.Teams) == 0
	for _, team := range routing.Teams {
		if team.Priority == nil {
			usesRoutes = true
			continue
		}
		teams[*team.Priority] = true
	}
	found := map[string]map[int]bool{}
	for _, rule := range routing.Routes {
		for _, share := range rule.Shares {
			if share.Weight <= 0 && len(rule.Shares) > 1 {
				continue
			}
			if found[share.Service] == nil {
				found[share.Service] = map[int]bool{}
			}
			if usesRoutes || rule.Public {
				found[share.Service][rule.Priority] = true
			}
			maps.Copy(found[share.Service], teams)
		}
	}
	services := map[string][]int{}
	for service, priorities := range found {
		if len(priorities) > 1 {
			services[service] = slices.Sorted(maps.Keys(priorities))
		}
	}
	return services
}
