package drive

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/elect"
	"bulrushpond.example/bulrushpond/internal/core/place"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/guard"
	"bulrushpond.example/bulrushpond/internal/plat"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// dutyInterval is how often the election and the placement are evaluated.
	dutyInterval = 100 * time.Millisecond
	// dutyStoreTimeout bounds one call to the key-value service.
	dutyStoreTimeout = time.Second
)

// Placer assigns layers to engines. Errors are *verdt.Error; the reason Fenced means
// that the engine has seen a higher fencing token.
type Placer interface {
	// Place tells an engine which layers to hold. They are loaded after the work in progress on
	// layers that the engine gives up has ended.
	Place(ctx context.Context, to model.Member, span model.Span, fencingToken uint64) error
}

// DutyView provides the state on which Duty acts.
type DutyView interface {
	// OwnerView returns the owner of the duty as recorded in this daemon's copy of the
	// key-value service.
	OwnerView() elect.OwnerView
	// Pools returns the engines of each service that has model engines.
	Pools() []Pool
	// Yields reports whether other daemons reach engines that this one does not.
	Yields() bool
	// HasCallers reports whether callers have sent requests.
	HasCallers() bool
}

// Pool is the model engines of one service.
type Pool struct {
	Service string
	Profile *setts.EngineProfile
	Members []model.Member
}

// Duty is the leader election for the placement of layers: the daemon claims the duty
// when no daemon owns it, and places layers on the engines while it is the owner.
type Duty struct {
	log    evlog.Log
	store  plat.LeaseStore
	placer Placer
	view   DutyView

	// stopping is set once Stop was called.
	stopping atomic.Bool
	// status is what the latest tick left. It is read without mu: the exchange between the daemons and the planned stop must
	// not wait for a tick.
	status atomic.Pointer[dutyStatus]

	mu        sync.Mutex
	election  *elect.State
	placement *place.State
	// ownedFence is the fencing token in use; 0 while this daemon does not own the duty.
	ownedFence uint64
	// failedPlans holds why the latest planning of a service failed, by service; guarded by mu.
	failedPlans map[string]string
	wg          sync.WaitGroup
}

// dutyStatus is what others read of a Duty. It is immutable.
type dutyStatus struct {
	// fence is the fencing token in use; 0 while this daemon does not own the duty.
	fence uint64
	// replacingLayers are the engines that were ordered to change their layers and have not done so yet.
	replacingLayers []model.ServerID
	// outageEnds holds when the models of services without a whole chain are expected to be whole again.
	outageEnds map[string]time.Time
}

// dutyActions are what a tick decided to do.
type dutyActions struct {
	call   elect.Call
	orders []place.Order
	// members holds the engines of all services, by ID.
	members map[model.ServerID]model.Member
	fence   uint64
}

// NewDuty returns a Duty that this daemon does not own yet.
func NewDuty(log evlog.Log, store plat.LeaseStore, placer Placer, view DutyView, election *elect.State) *Duty {
	d := &Duty{log: log, store: store, placer: placer, view: view, election: election, placement: place.New(), failedPlans: map[string]string{}}
	d.status.Store(&dutyStatus{})
	return d
}

// Serve runs a tick every dutyInterval until the context ends. It implements
// suture.Service.
func (d *Duty) Serve(ctx context.Context) error {
	defer d.wg.Wait()
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		d.tick(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// String returns the name of this suture.Service in log events.
func (d *Duty) String() string { return "duty" }

// Stop lets the next tick start the release of the duty, and prevents a new claim. It does not wait for a tick.
func (d *Duty) Stop() { d.stopping.Store(true) }

// FencingToken returns the fencing token in use as of the latest tick; 0 while this daemon does not own the duty.
func (d *Duty) FencingToken() uint64 { return d.status.Load().fence }

// ReplacingLayers returns the engines that were ordered to change their layers and have not
// done so as of the latest tick; nil while this daemon does not own the duty.
func (d *Duty) ReplacingLayers() []model.ServerID { return d.status.Load().replacingLayers }

// OutageEnds returns when the models of services without a whole chain are expected to be whole again, as far as
// that is known here. The map must not be changed.
func (d *Duty) OutageEnds() map[string]time.Time { return d.status.Load().outageEnds }

// tick evaluates the election and, while this daemon owns the duty, the placement. The
// resulting calls run in the background.
func (d *Duty) tick(ctx context.Context) {
	a := d.decide(time.Now(), d.view.OwnerView(), d.view.Yields())
	if a.call.Kind != elect.None {
		d.background(func() { d.callStore(ctx, a.call) })
	}
	for _, o := range a.orders {
		d.background(func() { d.sendOrder(ctx, a.members[o.Server], o, a.fence) })
	}
}

// background runs f in a goroutine that Serve waits for. A panic ends f only.
func (d *Duty) background(f func()) {
	guard.Go(&d.wg, func(err error) { d.log.Error(err, evlog.WorkFailed, "part", d.String()) }, f)
}

// decide evaluates the election and the placement.
func (d *Duty) decide(now time.Time, seen elect.OwnerView, yields bool) dutyActions {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping.Load() {
		d.election.Stop()
	}
	d.election.Yield(yields)
	a := dutyActions{call: d.election.Next(now, seen), members: map[model.ServerID]model.Member{}}
	fence, owned := d.election.Owner(now, seen)
	d.updateOwnership(fence, owned)
	status := &dutyStatus{fence: d.ownedFence, outageEnds: map[string]time.Time{}}
	if owned {
		a.fence = fence
		d.placement.LimitLoads = d.view.HasCallers()
		var pools []Pool
		if err := guard.Run(func() { pools = d.view.Pools() }); err != nil {
			d.notePlanFailure("", err)
		}
		for _, pool := range pools {
			d.planPool(now, pool, &a, status)
		}
		status.replacingLayers = d.placement.ReplacingLayers()
	}
	d.status.Store(status)
	return a
}

// planPool plans the layers of one service's engines. A failure leaves out this service only, until a later tick
// succeeds. The caller holds mu.
func (d *Duty) planPool(now time.Time, pool Pool, a *dutyActions, status *dutyStatus) {
	var orders []place.Order
	err := guard.Run(func() {
		orders = d.placement.Tick(now, pool.Profile, pool.Members)
		if end := d.placement.OutageEnd(now, pool.Profile, pool.Members); !end.IsZero() {
			status.outageEnds[pool.Service] = end
		}
	})
	if err != nil {
		d.notePlanFailure(pool.Service, err)
		return
	}
	delete(d.failedPlans, pool.Service)
	for _, m := range pool.Members {
		a.members[model.ServerID(m.ID)] = m
	}
	a.orders = append(a.orders, orders...)
}

// notePlanFailure logs why the planning of a service, or of all if it is empty, failed, unless the tick before failed
// alike. The caller holds mu.
func (d *Duty) notePlanFailure(service string, err error) {
	var failure *guard.PanicError
	reason := err.Error()
	if errors.As(err, &failure) {
		reason = fmt.Sprint(failure.Value)
	}
	if d.failedPlans[service] != reason {
		d.failedPlans[service] = reason
		d.log.Error(err, evlog.PlanFailed, "service", service)
	}
}

// updateOwnership records and logs the gain or loss of the duty. The placement starts
// afresh after each gain. The caller holds mu.
func (d *Duty) updateOwnership(fence uint64, owned bool) {
	switch {
	case owned && fence != d.ownedFence:
		d.placement.DropPendingOrders()
		d.log.Info(evlog.DutyOwned, "fence", fence)
		d.ownedFence = fence
	case !owned && d.ownedFence != 0:
		d.log.Info(evlog.DutyLost, "fence", d.ownedFence)
		d.ownedFence = 0
	}
}

// callStore makes one call to the key-value service and passes its result to the
// election.
func (d *Duty) callStore(ctx context.Context, c elect.Call) {
	ctx, cancel := context.WithTimeout(ctx, dutyStoreTimeout)
	defer cancel()
	var result plat.WriteResult
	var lease model.LeaseID
	switch c.Kind {
	case elect.Grant:
		lease, result = d.store.Grant(ctx, elect.LeaseTTL)
	case elect.Renew:
		result = d.store.KeepAlive(ctx, c.Lease)
	case elect.Claim, elect.Release:
		result = d.store.CAS(ctx, c.CAS)
	case elect.None:
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.election.Result(time.Now(), c, result.Outcome, lease, result.Position)
}

// sendOrder sends one engine its layers. A rejected fencing token is reported to the
// election, an order that certainly was not executed to the placement.
func (d *Duty) sendOrder(ctx context.Context, to model.Member, o place.Order, fence uint64) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := d.placer.Place(ctx, to, o.Span, fence)
	fields := []any{"server", to.ID, "zone", to.Zone, "kind", to.Kind, "from", o.Span.From, "to", o.Span.To, "missing", o.MissingLayers, "fence", fence}
	if err == nil {
		d.log.Info(evlog.OrderGiven, fields...)
		return
	}
	d.log.Error(err, evlog.OrderFailed, fields...)
	var failure *verdt.Error
	if !errors.As(err, &failure) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if failure.Reason == verdt.Fenced {
		d.election.RejectFence(fence)
	}
	if failure.Verdict == verdt.NotRun {
		d.placement.RecordRefusal(time.Now(), o.Server)
	}
}
