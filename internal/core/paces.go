package core

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/even"
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
