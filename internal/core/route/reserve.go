package route

import (
	"math"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/table"
)

// maxReserve bounds the share of the room that stays free for other requests, so that a wrong estimate
// of their number leaves most of the room in use.
const maxReserve = 0.25

// reserveShare returns the share of each engine's and pipe's room that must stay free, so that the layers with the
// least room have enough for q.Reserve requests like this one.
func (c *Chains) reserveShare(q Query) float64 {
	if q.Reserve <= 0 {
		return 0
	}
	slots, tokens := make([]float64, max(1, q.Layers)), make([]float64, max(1, q.Layers))
	for _, s := range c.usable {
		for layer := s.Report.Span.From; layer < min(s.Report.Span.To, len(slots)); layer++ {
			slots[layer] += roomOrInfinity(float64(s.Report.Slots))
			tokens[layer] += roomOrInfinity(s.Report.CacheTokens)
		}
	}
	share := 0.0
	for layer := range slots {
		share = max(share, q.Reserve/max(1, slots[layer]), q.Reserve*float64(q.Request.Tokens(usualAnswerTokens))/max(1, tokens[layer]*maxCacheUse))
	}
	return min(maxReserve, share)
}

// roomOrInfinity returns an engine's room; 0 stands for engines without a bound.
func roomOrInfinity(room float64) float64 {
	if room <= 0 {
		return math.Inf(1)
	}
	return room
}

// pipeReserved reports whether the reserve leaves no room on a pipe for a request's tokens.
func (c *Chains) pipeReserved(now time.Time, servers *table.Servers, pipe board.Pipe, rate float64, tokens int) bool {
	own, others := servers.Pipes.Load(now, pipe)
	return float64(own+others+tokens) > maxPipeUse*rate*(1-c.reserve)
}
