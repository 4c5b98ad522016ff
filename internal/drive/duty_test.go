package drive

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/elect"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/plat"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// dutyStore grants all leases and claims, and counts the renewals.
type dutyStore struct {
	owner    atomic.Pointer[elect.OwnerView]
	renewals atomic.Int64
}

func (s *dutyStore) Grant(context.Context, time.Duration) (model.LeaseID, plat.WriteResult) {
	return 7, plat.WriteResult{Outcome: model.Done}
}

func (s *dutyStore) KeepAlive(context.Context, model.LeaseID) plat.WriteResult {
	s.renewals.Add(1)
	return plat.WriteResult{Outcome: model.Done}
}

func (s *dutyStore) CAS(_ context.Context, op model.CAS) plat.WriteResult {
	view := elect.OwnerView{Known: true}
	if !op.Delete {
		view.Owner, view.OwnerRevision = string(op.Value), 5
	}
	s.owner.Store(&view)
	return plat.WriteResult{Outcome: model.Done, Position: model.Position{Revision: 5}}
}

// dutyView has one pool whose members the planner fails on if broken is set, and one that is sound.
type dutyView struct {
	store  *dutyStore
	broken bool
}

func (v dutyView) OwnerView() elect.OwnerView { return *v.store.owner.Load() }
func (v dutyView) Yields() bool               { return false }
func (v dutyView) HasCallers() bool           { return true }

func (v dutyView) Pools() []Pool {
	sound := &setts.EngineProfile{
		Layers: 8, LayerBytes: 1e9, TokenBytes: 1e3, Slots: 8, LoadTime: time.Second, MeanPromptTokens: 10, MeanAnswerTokens: 10, StepTime: time.Millisecond,
		Kinds: map[string]setts.EngineKind{"card": {Bytes: 20e9, StepTimeFactor: 1}},
	}
	pools := []Pool{{Service: "sound", Profile: sound, Members: []model.Member{{ID: "e1", Zone: "a", Kind: "card", Role: model.Engine}, {ID: "e2", Zone: "a", Kind: "card", Role: model.Engine}}}}
	if v.broken {
		// A profile that no configuration can have stands for any input that the planner fails on.
		broken := *sound
		broken.Layers = -1
		pools = append([]Pool{{Service: "broken", Profile: &broken, Members: pools[0].Members}}, pools...)
	}
	return pools
}

// countingPlacer counts the orders.
type countingPlacer struct{ orders atomic.Int64 }

func (p *countingPlacer) Place(context.Context, model.Member, model.Span, uint64) error {
	p.orders.Add(1)
	return nil
}

// TestDutyOutlivesFailedPlanning guards against a planner that fails on one service's engines and takes the election, the
// other services, the exchange between the daemons and the planned stop with it.
func TestDutyOutlivesFailedPlanning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, placer := &dutyStore{}, &countingPlacer{}
		store.owner.Store(&elect.OwnerView{Known: true})
		d := NewDuty(evlog.New(logr.Discard()), store, placer, dutyView{store: store, broken: true}, &elect.State{Process: "p", DutyKey: "k", FleetStarts: true})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan any, 1)
		go func() {
			defer func() { ended <- recover() }()
			_ = d.Serve(ctx)
		}()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		select {
		case r := <-ended:
			assert.Assert(t, r == nil, "Serve failed: %v", r)
		default:
		}
		assert.Assert(t, placer.orders.Load() > 0, "the engines of the other service have no layers")
		assert.Assert(t, store.renewals.Load() > 1)
		assert.Assert(t, d.FencingToken() > 0)
		d.ReplacingLayers()
		d.OutageEnds()
		d.Stop()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, store.owner.Load().Owner, "", "the duty was not released")
		cancel()
		assert.Assert(t, <-ended == nil)
	})
}
