package force

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

func newKeeper(t *testing.T, kv *fakes.KV) (k *Keeper, seen func() int, stop func()) {
	t.Helper()
	changes := make(chan model.Revision, 100)
	k = NewKeeper(evlog.New(logr.Discard()), kv, func(f *setts.Force) { changes <- f.Revision })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Serve(ctx) }()
	return k, func() int { return len(changes) }, func() { cancel(); <-ended }
}

func submit(t *testing.T, kv *fakes.KV, base model.Revision, weight string) model.Revision {
	t.Helper()
	c := setts.Change{ID: weight, Path: setts.Root, Base: base, Set: map[string]string{"weight": weight}}
	done, err := rings.NewLog(kv).Submit(t.Context(), c)
	assert.NilError(t, err)
	return done.Revision
}

// TestChangeInForceWithinSeconds: a change is in force at a daemon that watches
// within three seconds, also right after an outage.
func TestChangeInForceWithinSeconds(t *testing.T) {
	const target = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKV()
		k, _, stop := newKeeper(t, kv)
		defer stop()
		time.Sleep(time.Minute)
		first := submit(t, kv, 0, "2")
		time.Sleep(target)
		assert.Equal(t, k.Revision(), first)
		assert.Equal(t, k.Force().At("/").Weight, 2.0)

		kv.SetFault(fakes.Outage)
		time.Sleep(10 * time.Second)
		kv.SetFault(fakes.Healthy)
		second := submit(t, kv, first, "3")
		time.Sleep(target)
		assert.Equal(t, k.Revision(), second)
	})
}

// TestStale: without the platform and without peers the settings stay in force,
// and the daemon says that nobody confirms them; a peer's confirmation suffices.
func TestStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKV()
		k, _, stop := newKeeper(t, kv)
		defer stop()
		assert.Assert(t, k.Current() != nil)
		submit(t, kv, 0, "2")
		time.Sleep(time.Minute)
		assert.NilError(t, k.Current())
		kv.SetFault(fakes.Outage)
		time.Sleep(2 * time.Minute)
		assert.Assert(t, k.Current() != nil)
		assert.Equal(t, k.Force().At("/").Weight, 2.0)
		k.Confirm()
		assert.NilError(t, k.Current())
	})
}

// TestHostileHead: a head that cannot be read, or that goes back, changes nothing.
func TestHostileHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKV()
		k, seen, stop := newKeeper(t, kv)
		defer stop()
		rev := submit(t, kv, submit(t, kv, 0, "2"), "3")
		time.Sleep(time.Second)
		old, err := rings.Head{Revision: 1, Entries: []setts.Change{{Revision: 1, Path: "/", Set: map[string]string{"weight": "9"}}}}.Encode()
		assert.NilError(t, err)
		before := seen()
		for _, value := range [][]byte{[]byte("\xff\xff nonsense"), old, nil} {
			e, _ := kv.Get(t.Context(), rings.HeadKey)
			_, out := kv.CAS(t.Context(), model.CAS{Key: rings.HeadKey, Value: value, Expect: e.Revision})
			assert.Equal(t, out, model.Done)
			time.Sleep(5 * time.Second)
			assert.Equal(t, k.Revision(), rev)
			assert.Equal(t, k.Force().At("/").Weight, 3.0)
		}
		assert.Equal(t, seen(), before)
	})
}
