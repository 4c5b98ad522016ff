package boot

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/even"
)

// EvenVars are the metrics of the load of the model engines.
type EvenVars struct {
	// EngineUseP50 and EngineUseP99 are quantiles over the engines of the part of their slots or cache that requests
	// of all daemons take, whichever is more, as far as this daemon knows.
	EngineUseP50 float64 `json:"engine_use_p50"`
	EngineUseP99 float64 `json:"engine_use_p99"`
	// SlowEngines are the engines that count as slow, with how many times slower they are than they should be.
	SlowEngines []even.Pace `json:"slow_engines,omitempty"`
}

// readEvenVars returns the metrics of the load of the model engines.
func readEvenVars(c *core.Core) EvenVars {
	now := time.Now()
	p50, p99 := c.EngineUse()
	return EvenVars{EngineUseP50: p50, EngineUseP99: p99, SlowEngines: c.SlowEngines(now)}
}
