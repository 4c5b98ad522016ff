package boot

import (
	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/internal/core/route"
)

// balanceEven is the value of EdgeCmd.Balance that keeps the load of the engines even.
const balanceEven = "even"

// options returns the options of the daemon that the command runs.
func (c *EdgeCmd) options() []EdgeDaemonOption {
	if c.Balance == balanceEven {
		return []EdgeDaemonOption{WithEvenLoad()}
	}
	return nil
}

// WithEvenLoad keeps the load of the engines even, and sends slow engines a share of the requests that fits
// their pace.
func WithEvenLoad() EdgeDaemonOption { return func(d *EdgeDaemon) { d.evenLoad = true } }

// routing returns the core's options for the choice of routes.
func (d *EdgeDaemon) routing(seed uint64) []core.Option {
	if !d.evenLoad {
		return []core.Option{core.WithPicker(route.NewChains(d.vm.Zone, seed))}
	}
	paces := even.NewPaces()
	return []core.Option{core.WithPicker(route.NewChains(d.vm.Zone, seed, route.WithPaces(paces))), core.WithPaces(paces)}
}
