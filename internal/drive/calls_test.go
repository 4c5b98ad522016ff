package drive

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/owner"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// countingService counts the calls that it ran, by body.
type countingService struct {
	mu   sync.Mutex
	runs map[string]int
	// fail, if set, returns the error with which the n-th run of a body ends.
	fail func(n int) error
}

func (s *countingService) Do(_ context.Context, c engine.Call) (engine.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[string(c.Body)]++
	if s.fail != nil {
		if err := s.fail(s.runs[string(c.Body)]); err != nil {
			return engine.Answer{}, err
		}
	}
	return engine.Answer{Status: 200, Body: []byte("booked " + string(c.Body))}, nil
}

func (s *countingService) count(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// newCalls starts a CallExecutor that acquires all shards.
func newCalls(t *testing.T, kv *fakes.KV, service engine.Service, process string) (calls *CallExecutor, stop func()) {
	t.Helper()
	return newConnectedCalls(t, kv, service, process, func(*CallExecutor) {})
}

// newConnectedCalls starts a CallExecutor like newCalls; connect runs before Serve and can
// connect it to other daemons.
func newConnectedCalls(t *testing.T, kv *fakes.KV, service engine.Service, process string, connect func(*CallExecutor)) (calls *CallExecutor, stop func()) {
	t.Helper()
	c := NewCallExecutor(evlog.New(logr.Discard()), owner.DefaultConfig("d0", process), kv, service)
	connect(c)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(ctx) }()
	c.SetList([]model.Member{{ID: "s0", Address: "s0", Role: model.Service, Service: "bookings"}})
	c.SetShards(2, nil)
	c.SetFleet(msgs.Fleet{Live: []model.DaemonID{"d0"}})
	return c, func() { cancel(); <-ended }
}

// booking returns a call to the test service, whose idempotency key is its body.
func booking(body string) CallRequest {
	return CallRequest{Team: "/t", Service: "bookings", Method: "POST", Path: "/", Body: []byte(body), Key: body, Deadline: time.Now().Add(10 * time.Second), KeyExpiresAt: time.Now().Add(time.Hour)}
}

// TestStoreOutageAndRecovery: during an outage of the key-value service, calls are
// refused as not_run within a second; a second after the outage they run again.
func TestStoreOutageAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, s := fakes.NewKV(), &countingService{runs: map[string]int{}}
		c, stop := newCalls(t, kv, s, "p1")
		defer stop()
		_, err := c.Do(t.Context(), booking("first"))
		assert.NilError(t, err)

		kv.SetFault(fakes.Outage)
		start := time.Now()
		_, err = c.Do(t.Context(), booking("second"))
		f := verdt.AsError(err, verdt.Ran)
		assert.Equal(t, f.Verdict, verdt.NotRun)
		assert.Assert(t, !f.RetryAt.IsZero())
		assert.Assert(t, time.Since(start) < time.Second)
		assert.Equal(t, s.count("second"), 0)

		kv.SetFault(fakes.Healthy)
		time.Sleep(time.Second)
		answer, err := c.Do(t.Context(), booking("second"))
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), "booked second")
		assert.Equal(t, s.count("second"), 1)
	})
}

// TestLostStoreAnswers: if the answers to journal writes are lost, a call runs once or
// is refused as not_run; it never runs twice.
func TestLostStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, s := fakes.NewKV(), &countingService{runs: map[string]int{}}
		c, stop := newCalls(t, kv, s, "p1")
		defer stop()
		_, err := c.Do(t.Context(), booking("first"))
		assert.NilError(t, err)
		kv.SetFault(fakes.LostAnswers)
		_, err = c.Do(t.Context(), booking("second"))
		kv.SetFault(fakes.Healthy)
		time.Sleep(10 * time.Second)
		if err != nil {
			assert.Equal(t, verdt.AsError(err, verdt.Ran).Verdict, verdt.NotRun)
			assert.Equal(t, s.count("second"), 0)
		}
		_, err = c.Do(t.Context(), booking("second"))
		assert.NilError(t, err)
		assert.Equal(t, s.count("second"), 1)
	})
}

// TestOwnerFailover: after an owner has crashed, another daemon takes over its shards
// within the lease TTL plus a second, and does not run a call again whose outcome is
// unknown.
func TestOwnerFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKV()
		release := make(chan struct{})
		s := &countingService{runs: map[string]int{}, fail: func(int) error {
			<-release
			return verdt.New(verdt.MayHaveRun, verdt.StageFailed, "lost")
		}}
		first, stop := newCalls(t, kv, s, "p1")
		callerCtx, cancelCaller := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancelCaller()
		go func() { _, _ = first.Do(callerCtx, booking("lost")) }()
		time.Sleep(2 * time.Second)
		go func() { time.Sleep(time.Second); close(release) }()
		stop()
		s.mu.Lock()
		s.fail = nil
		s.mu.Unlock()

		second := NewCallExecutor(evlog.New(logr.Discard()), owner.DefaultConfig("d1", "p2"), kv, s)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- second.Serve(ctx) }()
		defer func() { cancel(); <-ended }()
		second.SetList([]model.Member{{ID: "s0", Address: "s0", Role: model.Service, Service: "bookings"}})
		second.SetShards(2, nil)
		second.SetFleet(msgs.Fleet{Live: []model.DaemonID{"d1"}})
		time.Sleep(owner.DefaultConfig("", "").LeaseTTL + time.Second)
		_, err := second.Do(t.Context(), booking("fresh"))
		assert.NilError(t, err)

		_, err = second.Do(t.Context(), booking("lost"))
		f := verdt.AsError(err, verdt.NotRun)
		assert.Equal(t, f.Verdict, verdt.MayHaveRun)
		assert.Equal(t, f.Reason, verdt.OutcomeUnknown)
		assert.Equal(t, s.count("lost"), 1)
	})
}

// TestPlannedStopReleasesShards: a planned stop waits for the calls in progress and
// releases the shards, so that the next owner serves within a second and knows the
// recorded outcomes.
func TestPlannedStopReleasesShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, s := fakes.NewKV(), &countingService{runs: map[string]int{}}
		first, stop := newCalls(t, kv, s, "p1")
		defer stop()
		_, err := first.Do(t.Context(), booking("first"))
		assert.NilError(t, err)
		first.Stop()
		start := time.Now()
		for !first.Idle() {
			time.Sleep(10 * time.Millisecond)
		}
		second, stopSecond := newCalls(t, kv, s, "p2")
		defer stopSecond()
		_, err = second.Do(t.Context(), booking("second"))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) < time.Second, "took %s", time.Since(start))
		answer, err := second.Do(t.Context(), booking("first"))
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), "booked first")
		assert.Equal(t, s.count("first"), 1)
	})
}

// partitionedPeers simulates three other daemons: the owner, which only "relay" can
// reach, "relay", and "gone", which is unreachable.
type partitionedPeers struct{ forwardedTo []model.DaemonID }

func (p *partitionedPeers) OwnerOf(int) (model.DaemonID, bool) { return "owner", true }
func (p *partitionedPeers) Relays(model.DaemonID) []model.DaemonID {
	return []model.DaemonID{"gone", "relay"}
}
func (p *partitionedPeers) ShardChanged(int, uint64, bool) {}

func (p *partitionedPeers) Forward(_ context.Context, to model.DaemonID, r CallRequest) (rings.StoredAnswer, error) {
	p.forwardedTo = append(p.forwardedTo, to)
	if to == "relay" && r.Relay {
		return rings.StoredAnswer{Status: 200, Body: []byte("relayed")}, nil
	}
	return rings.StoredAnswer{}, verdt.New(verdt.NotRun, verdt.PeerLost, "cut")
}

// TestForwardViaRelay: a call whose owner is unreachable is forwarded through another
// daemon; a relay that cannot reach the owner either refuses it as not_run.
func TestForwardViaRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, s := fakes.NewKV(), &countingService{runs: map[string]int{}}
		peers := &partitionedPeers{}
		c, stop := newConnectedCalls(t, kv, s, "p1", func(c *CallExecutor) { c.Connect(peers, peers) })
		defer stop()
		time.Sleep(time.Second)
		c.Stop()
		time.Sleep(time.Second)
		answer, err := c.Do(t.Context(), booking("a"))
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), "relayed")
		assert.DeepEqual(t, peers.forwardedTo, []model.DaemonID{"owner", "gone", "relay"})

		// A relay forwards the call once and does not use a further relay.
		peers.forwardedTo = nil
		r := booking("b")
		r.Relay = true
		_, err = c.DoForwarded(t.Context(), r)
		assert.Equal(t, verdt.AsError(err, verdt.Ran).Verdict, verdt.NotRun)
		assert.DeepEqual(t, peers.forwardedTo, []model.DaemonID{"owner"})
	})
}

// TestStopDuringStoreOutage: a planned stop does not wait for an unavailable key-value
// service: the shards are given up when the lease expires.
func TestStopDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, s := fakes.NewKV(), &countingService{runs: map[string]int{}}
		c, stop := newCalls(t, kv, s, "p1")
		defer stop()
		_, err := c.Do(t.Context(), booking("first"))
		assert.NilError(t, err)
		kv.SetFault(fakes.Outage)
		c.Stop()
		start := time.Now()
		for !c.Idle() {
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, time.Since(start) <= owner.DefaultConfig("", "").LeaseTTL+time.Second)
		}
	})
}
