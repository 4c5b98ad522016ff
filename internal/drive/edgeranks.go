package drive

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/ranks"
)

// levelFields returns the log fields of the level that holds less important requests to a service back; none
// if there is no level.
func (e *Edge) levelFields(service string) []any {
	if rule := e.Routing().Services[service]; rule.Engine == nil {
		return nil
	}
	var level ranks.Level
	inForce, now := false, time.Now()
	e.streams.View(func(c *core.Core) { level, inForce = c.RankLevel(now, service) })
	if !inForce {
		return nil
	}
	return []any{"level", level.Rank, "level_age_ms", level.Age(now).Milliseconds()}
}
