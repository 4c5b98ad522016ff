package boot

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/setts"
)

// TestCoreSettingsHoldRanks: the core is told the services whose requests have different priorities.
func TestCoreSettingsHoldRanks(t *testing.T) {
	shares := []setts.ServiceShare{{Service: "m", Weight: 1}}
	routing := &setts.Routing{Routes: []setts.RouteRule{{Priority: 0, Shares: shares}, {Priority: 2, Shares: shares}}}
	assert.DeepEqual(t, coreSettings(routing).Ranks, map[string][]int{"m": {0, 2}})
	routing.Routes[0].Priority = 2
	assert.Equal(t, len(coreSettings(routing).Ranks), 0)
}
