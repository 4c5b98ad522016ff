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

// newKeeper starts a keeper on kv. It returns a function that counts the calls of
// onChange and one that stops the keeper.
func newKeeper(t *testing.T, kv *fakes.KV) (k *Keeper, changeCount func() int, stop func()) {
	t.Helper()
	changes := make(chan model.Revision, 100)
	k = NewKeeper(evlog.New(logr.Discard()), kv, func(f *setts.EffectiveSettings) { changes <- f.Revision })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Serve(ctx) }()
	return k, func() int { return len(changes) }, func() { cancel(); <-ended }
}

// submit sets the root's weight in the settings log and returns the new revision.
func submit(t *testing.T, kv *fakes.KV, base model.Revision, weight string) model.Revision {
	t.Helper()
	c := setts.Change{ID: weight, Path: setts.Root, Base: base, Set: map[string]string{"weight": weight}}
	stored, err := rings.NewLog(kv).Submit(t.Context(), c)
	assert.NilError(t, err)
	return stored.Revision
}

// TestChangeInForceWithinSeconds checks that a watching daemon applies a change within
// three seconds, including right after an outage of the platform.
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
		assert.Equal(t, k.EffectiveSettings().At("/").Weight, 2.0)

		kv.SetFault(fakes.Outage)
		time.Sleep(10 * time.Second)
		kv.SetFault(fakes.Healthy)
		second := submit(t, kv, first, "3")
		time.Sleep(target)
		assert.Equal(t, k.Revision(), second)
	})
}

// TestStaleSettingsStayInForce checks that without the platform and peers the settings
// stay in force but are reported as stale, until a peer confirms them.
func TestStaleSettingsStayInForce(t *testing.T) {
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
		assert.Equal(t, k.EffectiveSettings().At("/").Weight, 2.0)
		k.Confirm()
		assert.NilError(t, k.Current())
	})
}

// TestInvalidHeadIsIgnored checks that a head that cannot be decoded or has an older
// revision changes nothing.
func TestInvalidHeadIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKV()
		k, changeCount, stop := newKeeper(t, kv)
		defer stop()
		rev := submit(t, kv, submit(t, kv, 0, "2"), "3")
		time.Sleep(time.Second)
		olderHead, err := rings.Head{Revision: 1, Entries: []setts.Change{{Revision: 1, Path: "/", Set: map[string]string{"weight": "9"}}}}.Encode()
		assert.NilError(t, err)
		countBefore := changeCount()
		for _, value := range [][]byte{[]byte("\xff\xff nonsense"), olderHead, nil} {
			entry, _ := kv.Get(t.Context(), rings.HeadKey)
			_, outcome := kv.CAS(t.Context(), model.CAS{Key: rings.HeadKey, Value: value, Expect: entry.Revision})
			assert.Equal(t, outcome, model.Done)
			time.Sleep(5 * time.Second)
			assert.Equal(t, k.Revision(), rev)
			assert.Equal(t, k.EffectiveSettings().At("/").Weight, 3.0)
		}
		assert.Equal(t, changeCount(), countBefore)
	})
}
