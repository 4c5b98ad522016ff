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
	// orderInterval is how often the orders are reconciled with the engines' reports.
	orderInterval = time.Second
	// orderTimeout bounds one order to an engine, or one reservation of weights.
	orderTimeout = 2 * time.Second
)

// ShardOwnership returns the number of shards, the epochs of those that this daemon owns,
// and when its lease ends.
type ShardOwnership func() (shards int, epochs map[int]uint64, leaseUntil time.Time)

// OrderSender sends the engines their orders: it reconciles what the engines report with
// the placement in the settings.
type OrderSender struct {
	log       evlog.Log
	engines   engine.Engine
	weights   plat.WeightStore
	ownership ShardOwnership

	mu sync.Mutex
	// inbox, state and addresses are guarded by mu. addresses holds the last known
	// address of each engine.
	inbox     order.Inbox
	state     *order.State
	addresses map[model.ServerID]string
	wg        sync.WaitGroup
}

// NewOrderSender returns an OrderSender that knows no engine.
func NewOrderSender(log evlog.Log, e engine.Engine, w plat.WeightStore, ownership ShardOwnership) *OrderSender {
	return &OrderSender{log: log, engines: e, weights: w, ownership: ownership, state: order.New(), addresses: map[model.ServerID]string{}}
}

// SetPlacement sets the placement and the rules for orders from the settings. A
// placement that cannot be parsed is ignored.
func (o *OrderSender) SetPlacement(p setts.Policy) {
	wanted := map[string]setts.Placement{}
	for id, text := range p.Placement {
		if placement, err := setts.ParsePlacement(text); err == nil {
			wanted[id] = placement
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inbox.Placement, o.inbox.EmptyGrace, o.inbox.EnginesCheckFence = wanted, p.DrainGrace, p.EnginesCheckFence
}

// AddReport adds an engine's latest status report and its address.
func (o *OrderSender) AddReport(r model.Report, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addresses[r.Server] = address
	o.inbox.Reports = append(o.inbox.Reports, r)
}

// String returns the name of this suture.Service in log events.
func (o *OrderSender) String() string { return "orders" }

// Serve reconciles every orderInterval until the context ends. It implements
// suture.Service.
func (o *OrderSender) Serve(ctx context.Context) error {
	defer o.wg.Wait()
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			o.tick(ctx)
		}
	}
}

// tick runs one tick of the order core and executes the commands it returns.
func (o *OrderSender) tick(ctx context.Context) {
	shards, epochs, leaseUntil := o.ownership()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inbox.Shards, o.inbox.Epochs, o.inbox.LeaseUntil = shards, epochs, leaseUntil
	for _, c := range o.state.Tick(time.Now(), o.inbox) {
		address := o.addresses[c.Server]
		o.wg.Go(func() { o.execute(ctx, c, address) })
	}
	o.inbox = order.Inbox{Reports: o.inbox.Reports[:0]}
}

// execute runs one command. A failed order is sent again by a later
// reconciliation.
func (o *OrderSender) execute(ctx context.Context, c order.Command, address string) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if c.Step == order.Reserve {
		start, err := o.weights.Reserve(ctx, c.Placement.Span.To-c.Placement.Span.From)
		if err != nil {
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.inbox.Reservations = append(o.inbox.Reservations, order.Reservation{Server: c.Server, Start: start})
		return
	}
	err := o.engines.Order(ctx, address, toEngineOrder(c))
	if err != nil {
		o.log.Error(err, evlog.OrderFailed, "server", c.Server, "step", c.Step.String(), "fence", c.Fence)
		return
	}
	o.log.Info(evlog.OrderGiven, "server", c.Server, "step", c.Step.String(), "fence", c.Fence)
}

// toEngineOrder converts a command, other than Reserve, to an engine's order.
func toEngineOrder(c order.Command) engine.Order {
	switch c.Step {
	case order.Empty:
		return engine.Order{Kind: engine.SetRole, Name: engine.RoleEmptying, Fence: c.Fence}
	case order.Serve:
		return engine.Order{Kind: engine.SetRole, Name: engine.RoleServing, Fence: c.Fence}
	case order.None, order.Load, order.Reserve:
	}
	return engine.Order{Kind: engine.LoadModel, Model: c.Placement.Model, Span: c.Placement.Span, Fence: c.Fence}
}
