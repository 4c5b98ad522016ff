package boot

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/ranks"
)

// RankVars are the metrics of the ranks of requests.
type RankVars struct {
	// Ranks holds the services whose requests have different ranks.
	Ranks map[string]ranks.ServiceMetrics `json:"ranks,omitempty"`
}

// rankVars returns the metrics of a core.
func rankVars(c *core.Core) RankVars { return RankVars{Ranks: c.RankMetrics(time.Now())} }
