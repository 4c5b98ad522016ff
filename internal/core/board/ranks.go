package board

import (
	"cmp"
	"maps"
	"slices"

	"bulrushpond.example/bulrushpond/internal/core/ranks"
)

// rankKey is one rank of a service's requests.
type rankKey struct {
	service string
	rank    int
}

// rankSums are the sums of the daemons' loads, without zero entries.
type rankSums map[rankKey]ranks.Load

// add adds a report if sign is 1, or subtracts it if sign is -1.
func (sums rankSums) add(report []ranks.ServiceLoads, sign int) {
	for _, service := range report {
		for _, l := range service.Loads {
			key := rankKey{service: service.Service, rank: l.Rank}
			sum := sums[key]
			sum = ranks.Load{
				Rank: l.Rank, Running: sum.Running + sign*l.Running, Waiting: sum.Waiting + sign*l.Waiting,
				Started: sum.Started + sign*l.Started, Refused: sum.Refused + sign*l.Refused,
			}
			if sums[key] = sum; sum == (ranks.Load{Rank: l.Rank}) {
				delete(sums, key)
			}
		}
	}
}

// without returns the sums without one daemon's report, sorted by service and rank.
func (sums rankSums) without(own []ranks.ServiceLoads) []ranks.ServiceLoads {
	others := sums
	if len(own) > 0 {
		others = maps.Clone(sums)
		others.add(own, -1)
	}
	keys := slices.SortedFunc(maps.Keys(others), func(a, b rankKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.rank, b.rank))
	})
	var loads []ranks.ServiceLoads
	for _, key := range keys {
		if len(loads) == 0 || loads[len(loads)-1].Service != key.service {
			loads = append(loads, ranks.ServiceLoads{Service: key.service})
		}
		last := &loads[len(loads)-1]
		last.Loads = append(last.Loads, others[key])
	}
	return loads
}
