package boot

import (
	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/internal/core/route"
)

// The values of EdgeCmd.Balance other than the default: balancePaced sends slow engines only what fits their
// pace, balanceEven also keeps the use of the engines even.
const (
	balancePaced = "paced"
	balanceEven  = "even"
)

// options returns the options of the daemon that the command runs.
func (c *EdgeCmd) options() []EdgeDaemonOption {
	switch c.Balance {
	case balancePaced:
		return []EdgeDaemonOption{WithEnginePaces()}
	case balanceEven:
		return []EdgeDaemonOption{WithEvenLoad()}
	}
	return nil
}

// WithEnginePaces sends slow engines a share of the requests that fits their pace.
func WithEnginePaces() EdgeDaemonOption { return func(d *EdgeDaemon) { d.balance = route.WithPaces } }

// WithEvenLoad is WithEnginePaces, and keeps the use of the engines even.
func WithEvenLoad() EdgeDaemonOption { return func(d *EdgeDaemon) { d.balance = route.WithBalance } }

// routing returns the core's options for the choice of routes.
func (d *EdgeDaemon) routing(seed uint64) []core.Option {
	if d.balance == nil {
		return []core.Option{core.WithPicker(route.NewChains(d.vm.Zone, seed))}
	}
	paces := even.NewPaces()
	return []core.Option{core.WithPicker(route.NewChains(d.vm.Zone, seed, d.balance(paces))), core.WithPaces(paces)}
}
