package route

import "math"

// spareDeviations is how many standard deviations of the sum of the lengths of all answers on an
// engine are kept free in its cache. Requests that end make room meanwhile.
const spareDeviations = 1.0

// usableCache returns how many of an engine's cache tokens may be allocated while it has a number of
// streams. If the lengths of answers are estimated, the share that is kept free shrinks with the number
// of streams, as their errors cancel out.
func (c *Chains) usableCache(capacity, streams float64) float64 {
	if c.lengthSpread <= 0 {
		return maxCacheUse * capacity
	}
	return capacity - spareDeviations*c.lengthSpread*math.Sqrt(streams)
}
