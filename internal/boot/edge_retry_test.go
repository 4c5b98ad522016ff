package boot

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core"
)

// TestEdgeSharesRetryBudget: of two daemons that have both served streams, one needs many retries. It gets the shares of
// both over their exchanges with the hub.
func TestEdgeSharesRetryBudget(t *testing.T) {
	const (
		daemons = 2
		// budgetDaemons is the number of daemons by which the budget is divided while a fleet starts.
		budgetDaemons = 8
		burst         = 200
		usedShare     = 0.8
	)
	env := newTestEnvironment(t, daemons)
	service := ""
	for i, d := range env.daemons {
		env.stream(i, "/draft/x")
		for name := range d.edge.Routing().Services {
			if d.edge.Routing().Services[name].Engine != nil {
				service = name
			}
		}
	}
	d := env.daemons[0]
	env.waitUntil("a hub grants shares", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.retryHub != 0
	})
	taken := 0
	for deadline := time.Now().Add(8 * time.Second); taken < usedShare*burst*daemons/budgetDaemons && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		d.streams.View(func(c *core.Core) {
			for range burst {
				if c.TakeRetry(time.Now(), service, true) {
					taken++
				}
			}
		})
	}
	assert.Assert(t, taken >= usedShare*burst*daemons/budgetDaemons, "%d retries", taken)
	usage := d.edge.RetryUsage(time.Now())[service]
	assert.Assert(t, usage.Refused > 0 && usage.Sent >= uint64(taken), "%+v", usage)
}
