package ranks

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Metrics are the metrics of one rank of a service's requests at this daemon.
type Metrics struct {
	Rank int `json:"rank"`
	// Waiting is the number of requests that wait for their first route.
	Waiting int `json:"waiting"`
	// Running is the number of open streams as of the last exchange, and Late that of those whose first token is
	// late, but not yet for so long that their engine must be the cause.
	Running int `json:"running"`
	Late    int `json:"late"`
	// Started and Refused count the requests that got their first route, and that were refused for lack of room.
	Started uint64 `json:"started"`
	Refused uint64 `json:"refused"`
	// FloorUsed counts the requests that were admitted because the rank was under its floor.
	FloorUsed uint64 `json:"floor_used"`
	// AdmittedShare is the share of the rank's requests that more important ones leave room for, in 0..1.
	AdmittedShare float64 `json:"admitted_share"`
}

// ServiceMetrics are the metrics of a service's ranks at this daemon.
type ServiceMetrics struct {
	// Level is the most important rank that lacks room; nil if none does. LevelAgeMs is the age of the news that say so.
	Level      *int      `json:"level"`
	LevelAgeMs int64     `json:"level_age_ms"`
	Ranks      []Metrics `json:"ranks"`
}

// Metrics returns the metrics of the services whose requests have ranks.
func (st *State) Metrics(now time.Time) map[string]ServiceMetrics {
	metrics := map[string]ServiceMetrics{}
	for _, name := range slices.Sorted(maps.Keys(st.services)) {
		s := st.services[name]
		var m ServiceMetrics
		if level, inForce := st.Level(now, name); inForce {
			m.Level, m.LevelAgeMs = &level.Rank, level.Age(now).Milliseconds()
		}
		for _, r := range s.own {
			m.Ranks = append(m.Ranks, Metrics{
				Rank: r.rank, Waiting: r.waiting, Running: r.running, Late: r.lateNow(now), Started: r.totals.started, Refused: r.totals.refused,
				FloorUsed: r.totals.floor, AdmittedShare: math.Min(1, st.openShare(now, s, r.rank)),
			})
		}
		metrics[name] = m
	}
	return metrics
}
