package boot

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestBalanceIsOffByDefault checks that only --balance changes how routes are chosen.
func TestBalanceIsOffByDefault(t *testing.T) {
	for _, c := range []struct {
		balance  string
		balanced bool
	}{{"", false}, {"cheapest", false}, {"paced", true}, {"even", true}} {
		d := &EdgeDaemon{}
		for _, opt := range (&EdgeCmd{Balance: c.balance}).options() {
			opt(d)
		}
		assert.Equal(t, d.balance != nil, c.balanced, "balance %q", c.balance)
		assert.Equal(t, len(d.routing(1)) > 1, c.balanced, "balance %q", c.balance)
	}
}
