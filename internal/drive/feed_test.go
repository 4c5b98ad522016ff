package drive

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/internal/plat"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// unresponsiveService never answers a read.
type unresponsiveService struct{ reads int }

func (s *unresponsiveService) Read(ctx context.Context, _ string) (mirror.Delta, error) {
	s.reads++
	<-ctx.Done()
	return mirror.Delta{}, ctx.Err()
}

func (s *unresponsiveService) Changes(ctx context.Context, _ string, _ model.Position, _ time.Duration) (mirror.Delta, error) {
	return s.Read(ctx, "")
}

// countingHub answers each request at once with one more change. age is how long ago
// the service last answered it.
type countingHub struct {
	requests int
	age      time.Duration
}

func (h *countingHub) Ask(context.Context, model.Position) (mirror.Delta, time.Duration, bool) {
	h.requests++
	return mirror.Delta{Items: []mirror.Item{{Key: "k", Revision: uint64(h.requests)}}, Revision: uint64(h.requests)}, h.age, true
}

func (h *countingHub) AskAnyDaemon(context.Context, model.Position) (mirror.Delta, bool) {
	return mirror.Delta{}, false
}

// TestAskHubDuringServiceOutage: while the service holds reads without an answer, as in
// an outage with a large fleet, the daemon still asks the hub at each interval (with the
// same request daemons report what they have in progress) and applies its changes.
func TestAskHubDuringServiceOutage(t *testing.T) {
	type scenario struct {
		name string
		age  time.Duration
		// readsService is whether the daemon is expected to read the service itself.
		readsService bool
	}
	for _, tc := range []scenario{{"service answers the hub", 0, false}, {"service does not answer the hub", time.Minute, true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service, hub := &unresponsiveService{}, &countingHub{age: tc.age}
				f := NewStoreMirror(evlog.New(logr.Discard()), service, hub, func(time.Time, mirror.Changes) {})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				f.AskHub(ctx)
				go func() { ended <- f.Serve(ctx) }()
				for range 40 {
					time.Sleep(HubInterval)
					f.AskHub(ctx)
				}
				cancel()
				assert.ErrorIs(t, <-ended, context.Canceled)
				assert.Equal(t, hub.requests, 41)
				assert.Equal(t, f.Position().Revision, uint64(41))
				assert.Equal(t, service.reads > 0, tc.readsService)
			})
		})
	}
}

var _ plat.PrefixReader = (*unresponsiveService)(nil)

// changingService answers each read with one more change.
type changingService struct{ reads int }

func (s *changingService) Read(context.Context, string) (mirror.Delta, error) {
	s.reads++
	return mirror.Delta{Items: []mirror.Item{{Key: "k", Revision: uint64(2 * s.reads)}}, Revision: uint64(2 * s.reads)}, nil
}

func (s *changingService) Changes(ctx context.Context, _ string, _ model.Position, _ time.Duration) (mirror.Delta, error) {
	return s.Read(ctx, "")
}

// TestChangesAreDeliveredInOrder: changes from the hub that arrive while changes from
// the service are being processed are delivered after them, in order and one batch at a
// time.
func TestChangesAreDeliveredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var revisions []uint64
		busy := false
		f := NewStoreMirror(evlog.New(logr.Discard()), &changingService{}, &countingHub{age: time.Minute}, func(_ time.Time, changes mirror.Changes) {
			assert.Assert(t, !busy, "calls of onChange overlap")
			busy = true
			time.Sleep(3 * HubInterval)
			busy = false
			for _, item := range changes.Items {
				revisions = append(revisions, item.Revision)
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.Serve(ctx) }()
		for range 20 {
			f.AskHub(ctx)
		}
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
		assert.Assert(t, len(revisions) > 1 && slices.IsSorted(revisions), "%v", revisions)
	})
}

// TestTimesOfChangesDoNotDecrease: changes arrive from the hub, which last heard from the service
// some time ago, after others were applied. They are not reported as of an earlier time, since
// an engine's report that seems older than the last one is dropped.
func TestTimesOfChangesDoNotDecrease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var times []time.Time
		hub := &countingHub{}
		f := NewStoreMirror(evlog.New(logr.Discard()), &unresponsiveService{}, hub, func(now time.Time, _ mirror.Changes) { times = append(times, now) })
		for _, age := range []time.Duration{0, time.Second, 400 * time.Millisecond, time.Minute} {
			hub.age = age
			f.AskHub(t.Context())
			time.Sleep(HubInterval)
		}
		assert.Equal(t, len(times), 4)
		assert.Assert(t, slices.IsSortedFunc(times, time.Time.Compare), "%v", times)
	})
}

// cutService answers watches after their wait, except while it is cut: then they fail at once.
type cutService struct {
	restoredService
	cut atomic.Bool
}

func (s *cutService) Changes(ctx context.Context, prefix string, after model.Position, wait time.Duration) (mirror.Delta, error) {
	for began := time.Now(); time.Since(began) < wait; {
		time.Sleep(10 * time.Millisecond)
		if s.cut.Load() {
			return mirror.Delta{}, errors.New("connection reset")
		}
	}
	if s.cut.Load() {
		return mirror.Delta{}, errors.New("connection reset")
	}
	return s.restoredService.Changes(ctx, prefix, after, wait)
}

func (s *cutService) Read(ctx context.Context, prefix string) (mirror.Delta, error) {
	if s.cut.Load() {
		return mirror.Delta{}, errors.New("connection reset")
	}
	return s.restoredService.Read(ctx, prefix)
}

// noHub is a HubClient of a daemon without others.
type noHub struct{}

func (noHub) Ask(context.Context, model.Position) (mirror.Delta, time.Duration, bool) {
	return mirror.Delta{}, 0, false
}

func (noHub) AskAnyDaemon(context.Context, model.Position) (mirror.Delta, bool) {
	return mirror.Delta{}, false
}

// TestCutWatchIsNoOutage guards against servers that are kept in use after their entries were removed, because a watch was
// cut: only an outage in which entries can have expired makes their removal doubtful.
func TestCutWatchIsNoOutage(t *testing.T) {
	const beat = 1200 * time.Millisecond
	for _, tc := range []struct {
		lasts  time.Duration
		outage bool
	}{{time.Millisecond, false}, {20 * time.Millisecond, false}, {2 * beat, true}, {10 * time.Second, true}} {
		for phase := range 8 {
			synctest.Test(t, func(t *testing.T) {
				service := &cutService{restoredService: restoredService{position: model.Position{Era: 1, Revision: 100}}}
				f := NewStoreMirror(evlog.New(logr.Discard()), service, noHub{}, func(time.Time, mirror.Changes) {}, WithMinOutage(beat))
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- f.Serve(ctx) }()
				time.Sleep(5*time.Second + time.Duration(phase)*100*time.Millisecond)
				assert.Assert(t, f.RecoveredAt().IsZero())
				service.cut.Store(true)
				time.Sleep(max(tc.lasts, 11*time.Millisecond))
				service.cut.Store(false)
				time.Sleep(3 * time.Second)
				assert.Equal(t, !f.RecoveredAt().IsZero(), tc.outage, "%s, phase %d", tc.lasts, phase)
				cancel()
				<-ended
			})
		}
	}
}

// restoredService is at an era and a revision, and has one key whose value names both.
type restoredService struct {
	position  model.Position
	fullReads int
}

func (s *restoredService) item() mirror.Item {
	return mirror.Item{Key: "k", Value: fmt.Appendf(nil, "%d.%d", s.position.Era, s.position.Revision), Revision: s.position.Revision}
}

func (s *restoredService) Read(context.Context, string) (mirror.Delta, error) {
	s.fullReads++
	return mirror.Delta{Era: s.position.Era, Revision: s.position.Revision, Full: true, Items: []mirror.Item{s.item()}}, nil
}

func (s *restoredService) Changes(_ context.Context, _ string, after model.Position, _ time.Duration) (mirror.Delta, error) {
	if after.Revision > s.position.Revision {
		return mirror.Delta{}, plat.ErrCompacted
	}
	d := mirror.Delta{Era: s.position.Era, Revision: s.position.Revision}
	if after.Revision < s.position.Revision {
		d.Items = append(d.Items, s.item())
	}
	return d, nil
}

// TestRestoredServiceIsReadOnce: after a restore all keys are read once, whether the service has
// the revision of the last read or not, and then changes only. An answer of an earlier era counts
// as an outage.
func TestRestoredServiceIsReadOnce(t *testing.T) {
	type scenario struct {
		name          string
		restored      model.Position
		wantFullReads int
		wantErr       bool
	}
	for _, tc := range []scenario{
		{"the revision does not exist", model.Position{Era: 2, Revision: 80}, 2, false},
		{"the revision was given out again", model.Position{Era: 2, Revision: 120}, 2, false},
		{"no restore", model.Position{Era: 1, Revision: 101}, 1, false},
		{"earlier era", model.Position{Era: 0, Revision: 101}, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			service := &restoredService{position: model.Position{Era: 1, Revision: 100}}
			f := NewStoreMirror(evlog.New(logr.Discard()), service, &countingHub{}, func(time.Time, mirror.Changes) {})
			assert.NilError(t, f.readService(t.Context()))
			service.position = tc.restored
			for range 5 {
				err := f.readService(t.Context())
				assert.Equal(t, err != nil, tc.wantErr, "%v", err)
			}
			assert.Equal(t, service.fullReads, tc.wantFullReads)
			if !tc.wantErr {
				item, position, _ := f.Get("k")
				assert.Equal(t, position, tc.restored)
				assert.DeepEqual(t, item, service.item())
			}
		})
	}
}

// TestHubOfEarlierEraIsNotCurrent: a hub that has not noticed a restore is no replacement for
// reading the service.
func TestHubOfEarlierEraIsNotCurrent(t *testing.T) {
	service := &restoredService{position: model.Position{Era: 1, Revision: 100}}
	f := NewStoreMirror(evlog.New(logr.Discard()), service, &countingHub{}, func(time.Time, mirror.Changes) {})
	assert.NilError(t, f.readService(t.Context()))
	f.AskHub(t.Context())
	assert.Assert(t, !f.hubIsCurrent(time.Now()))
	assert.Equal(t, f.Position(), service.position)
}
