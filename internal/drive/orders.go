package drive

import (
	"context"
	"sync"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/order"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/plat"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

const (
	orderEvery   = time.Second
	orderTimeout = 2 * time.Second
)

// Ownership tells which shards this daemon owns, with their epochs, and when its
// lease ends.
type Ownership func() (shards int, epochs map[int]uint64, leaseUntil time.Time)

// Orders carries instructions to the engines.
type Orders struct {
	log     evlog.Log
	engines engine.Engine
	weights plat.Weights
	owned   Ownership

	mu sync.Mutex
	// in, state and addresses are guarded by mu.
	in        order.Inbox
	state     *order.State
	addresses map[model.ServerID]string
	wg        sync.WaitGroup
}

// NewOrders returns a carrier of orders.
func NewOrders(log evlog.Log, e engine.Engine, w plat.Weights, owned Ownership) *Orders {
	return &Orders{log: log, engines: e, weights: w, owned: owned, state: order.NewState(), addresses: map[model.ServerID]string{}}
}

// SetPlacement hands over what the settings want.
func (o *Orders) SetPlacement(p setts.Policy) {
	wanted := map[string]setts.Placement{}
	for id, text := range p.Placement {
		if placement, err := setts.ParsePlacement(text); err == nil {
			wanted[id] = placement
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.in.Placement, o.in.Grace, o.in.Checked = wanted, p.DrainGrace, p.EnginesCheckFence
}

// AddReport hands over what an engine says of itself, and where it is.
func (o *Orders) AddReport(r model.Report, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addresses[r.Server] = address
	o.in.Reports = append(o.in.Reports, r)
}

// Serve ticks until the context ends. It implements suture.Service.
func (o *Orders) Serve(ctx context.Context) error {
	defer o.wg.Wait()
	tick := time.NewTicker(orderEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			o.tick(ctx)
		}
	}
}

func (o *Orders) tick(ctx context.Context) {
	shards, epochs, until := o.owned()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.in.Shards, o.in.Epochs, o.in.LeaseUntil = shards, epochs, until
	for _, c := range o.state.Tick(time.Now(), o.in) {
		address := o.addresses[c.Server]
		o.wg.Go(func() { o.carry(ctx, c, address) })
	}
	o.in = order.Inbox{Reports: o.in.Reports[:0]}
}

// carry does what one command asks for. An order that fails is given again by
// the reconciliation.
func (o *Orders) carry(ctx context.Context, c order.Command, address string) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if c.Step == order.Reserve {
		start, err := o.weights.Reserve(ctx, c.Wanted.Span.To-c.Wanted.Span.From)
		if err != nil {
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.in.Reserved = append(o.in.Reserved, order.Reserved{Server: c.Server, Start: start})
		return
	}
	err := o.engines.Order(ctx, address, orderOf(c))
	if err != nil {
		o.log.Error(err, evlog.OrderFailed, "server", c.Server, "step", c.Step.String(), "fence", c.Fence)
		return
	}
	o.log.Info(evlog.OrderGiven, "server", c.Server, "step", c.Step.String(), "fence", c.Fence)
}

func orderOf(c order.Command) engine.Order {
	switch c.Step {
	case order.Empty:
		return engine.Order{Kind: engine.SetRole, Name: engine.RoleEmptying, Fence: c.Fence}
	case order.Serve:
		return engine.Order{Kind: engine.SetRole, Name: engine.RoleServing, Fence: c.Fence}
	case order.None, order.Load, order.Reserve:
	}
	return engine.Order{Kind: engine.LoadModel, Model: c.Wanted.Model, Span: c.Wanted.Span, Fence: c.Fence}
}
