package drive

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
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

// fleetStore is a key-value service with a configuration that changes, and entries that do not. All answers share a link.
type fleetStore struct {
	configBytes, entriesBytes int
	// maxChanges is how many bytes of changes are read at once.
	maxChanges int
	revision   atomic.Uint64

	mu sync.Mutex
	// linkFreeAt is when the link has sent all answers so far; guarded by mu.
	linkFreeAt time.Time
	// calls and bytes are those of all daemons; guarded by mu.
	calls, bytes int
}

const (
	configKey = "op/config"
	// linkBytesPerSecond is the rate of the service's link, and storeLatency the time of a call without it.
	linkBytesPerSecond = 125e6
	storeLatency       = 4 * time.Millisecond
	// unreadBytes is what is under way of an answer that is not read.
	unreadBytes = 128 << 10
)

// queue counts an answer and returns when it will have been sent.
func (s *fleetStore) queue(bytes int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.bytes += bytes
	if now := time.Now(); s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(time.Duration(float64(bytes) / linkBytesPerSecond * float64(time.Second)))
	return s.linkFreeAt
}

// send counts an answer and waits until it was sent.
func (s *fleetStore) send(ctx context.Context, bytes int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(s.queue(bytes)) + storeLatency):
		return nil
	}
}

// state returns the position of the service and its configuration.
func (s *fleetStore) state() (uint64, mirror.Item) {
	revision := s.revision.Load()
	return revision, mirror.Item{Key: configKey, Revision: revision}
}

func (s *fleetStore) Read(ctx context.Context, _ string) (mirror.Delta, error) {
	revision, config := s.state()
	d := mirror.Delta{Revision: revision, Full: true, Items: []mirror.Item{config}}
	return d, s.send(ctx, s.configBytes+s.entriesBytes)
}

func (s *fleetStore) Changes(ctx context.Context, _ string, after model.Position, wait time.Duration) (mirror.Delta, error) {
	for began := time.Now(); s.revision.Load() == after.Revision && time.Since(began) < wait; {
		time.Sleep(10 * time.Millisecond)
	}
	revision, config := s.state()
	d := mirror.Delta{Revision: revision}
	bytes := int(revision-after.Revision) * s.configBytes
	if bytes > s.maxChanges {
		if err := s.send(ctx, min(bytes, unreadBytes)); err != nil {
			return d, err
		}
		return d, plat.ErrTooManyChanges
	}
	if bytes > 0 {
		d.Items = append(d.Items, config)
	}
	return d, s.send(ctx, bytes)
}

// fleetPeers gives a daemon access to the copies of the others; there is no hub.
type fleetPeers struct {
	mirrors []*StoreMirror

	mu sync.Mutex
	// rng and calls are guarded by mu.
	rng   *rand.Rand
	calls int
}

func (p *fleetPeers) Ask(context.Context, model.Position) (mirror.Delta, time.Duration, bool) {
	return mirror.Delta{}, 0, false
}

func (p *fleetPeers) AskAnyDaemon(_ context.Context, after model.Position) (mirror.Delta, bool) {
	time.Sleep(time.Millisecond)
	return p.pick().ChangesSince(after), true
}

// pick counts a call and returns the copy of any daemon.
func (p *fleetPeers) pick() *StoreMirror {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.mirrors[p.rng.IntN(len(p.mirrors))]
}

// TestFleetFollowsLargeConfigurations guards against daemons that never catch up with large changes, whatever they missed:
// the daemon that reads the service for all is cut off, and a large configuration changes 25 times in 2 s. The last
// change is in force everywhere within the bound.
func TestFleetFollowsLargeConfigurations(t *testing.T) {
	const entries = 41 * 400
	playLargeChanges(t, 7, 630<<10, entries)
	playLargeChanges(t, 7, 1400<<10, entries)
}

// TestLargeFleetFollowsLargeConfigurations is TestFleetFollowsLargeConfigurations at the size that the design is for.
func TestLargeFleetFollowsLargeConfigurations(t *testing.T) {
	const entries = 12000 * 400
	playLargeChanges(t, 390, 630<<10, entries)
	playLargeChanges(t, 390, 1400<<10, entries)
}

// largeChangeBound is how long after a change it must be in force.
const largeChangeBound = 2 * time.Second

// playLargeChanges plays the changes of a configuration of a size to a fleet.
func playLargeChanges(t *testing.T, daemons, configBytes, entriesBytes int) {
	t.Run(fmt.Sprintf("%d daemons, %d KiB", daemons, configBytes>>10), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := &fleetStore{configBytes: configBytes, entriesBytes: entriesBytes, maxChanges: 4 << 20}
			store.revision.Store(100)
			peers := &fleetPeers{rng: rand.New(rand.NewPCG(1, 2))}
			ctx, cancel := context.WithCancel(t.Context())
			inForce := make([]time.Time, daemons)
			for i := range daemons {
				f := NewStoreMirror(evlog.New(logr.Discard()), store, peers, func(_ time.Time, changes mirror.Changes) {
					for _, item := range changes.Items {
						if item.Key == configKey && item.Revision == 125 {
							inForce[i] = time.Now()
						}
					}
				})
				// What the hub said before it was cut off.
				f.applyCurrent(mirror.Delta{Revision: 100, Full: true, Items: []mirror.Item{{Key: configKey, Revision: 100}}}, time.Now())
				peers.mirrors = append(peers.mirrors, f)
			}
			ended := make(chan error, daemons)
			for i, f := range peers.mirrors {
				go func() {
					// The hub counts as current for a while.
					time.Sleep(maxHubAge + hubCurrentFor*time.Duration(i)/time.Duration(daemons))
					ended <- f.Serve(ctx)
				}()
			}
			for range 25 {
				time.Sleep(80 * time.Millisecond)
				store.revision.Add(1)
			}
			changed := time.Now()
			time.Sleep(6 * time.Second)
			cancel()
			for range daemons {
				<-ended
			}
			late, latest := 0, time.Duration(0)
			for _, at := range inForce {
				took := at.Sub(changed)
				if at.IsZero() {
					took = time.Since(changed)
				}
				if took > largeChangeBound {
					late++
				}
				latest = max(latest, took)
			}
			t.Logf("in force everywhere %s after the last change, too late at %d; for each daemon %d KiB and %.1f calls to the service, %.1f to others",
				latest, late, store.bytes>>10/daemons, float64(store.calls)/float64(daemons), float64(peers.calls)/float64(daemons))
			assert.Equal(t, late, 0)
		})
	})
}
