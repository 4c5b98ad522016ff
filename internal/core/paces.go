package core

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/internal/core/route"
)

// WithPaces tells the other daemons which engines are slow, and heeds what they tell. The picker must use
// the same state.
func WithPaces(p *even.Paces) Option { return func(c *Core) { c.paces = p } }

// reportedPaces returns what the other daemons are told of the engines' paces.
func (c *Core) reportedPaces(now time.Time) []even.Pace {
	if c.paces == nil {
		return nil
	}
	return c.paces.Report(now)
}

// SlowEngines returns the engines that count as slow, sorted.
func (c *Core) SlowEngines(now time.Time) []even.Pace {
	if c.paces == nil {
		return nil
	}
	return c.paces.Slow(now)
}

// EngineUse returns the median and the 99th percentile over the usable engines of the part of their slots or
// cache that requests take.
func (c *Core) EngineUse() (p50, p99 float64) {
	var uses []float64
	for _, id := range c.servers.IDs() {
		if s := c.servers.Get(id); s.Listed && s.Reported && !s.Leaving() {
			uses = append(uses, route.UseOf(s, len(s.Users)+s.OtherStreams, s.Tokens+s.OtherTokens))
		}
	}
	if len(uses) == 0 {
		return 0, 0
	}
	slices.Sort(uses)
	return uses[len(uses)/2], uses[len(uses)*99/100]
}
