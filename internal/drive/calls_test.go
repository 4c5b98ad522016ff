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

// countingService counts what it ran, by body.
type countingService struct {
	mu   sync.Mutex
	runs map[string]int
	// fail, where set, says how a call ends after it ran.
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

// newCalls starts a carrier of calls that owns all shards.
func newCalls(t *testing.T, kv *fakes.KV, s engine.Service, name string) (calls *Calls, stop func()) {
	t.Helper()
	return newConnectedCalls(t, kv, s, name, func(*Calls) {})
}

// newConnectedCalls starts a carrier of calls that is tied to other daemons.
func newConnectedCalls(t *testing.T, kv *fakes.KV, s engine.Service, name string, connect func(*Calls)) (calls *Calls, stop func()) {
	t.Helper()
	c := NewCalls(evlog.New(logr.Discard()), owner.DefaultConfig("d0", name), kv, s)
	connect(c)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(ctx) }()
	c.SetList([]model.Member{{ID: "s0", Address: "s0", Role: model.Service, Service: "bookings"}})
	c.SetShards(2, nil)
	c.SetFleet(msgs.Fleet{Live: []model.DaemonID{"d0"}})
	return c, func() { cancel(); <-ended }
}

func booking(body string) CallRequest {
	return CallRequest{Team: "/t", Service: "bookings", Method: "POST", Path: "/", Body: []byte(body), Key: body, Deadline: time.Now().Add(10 * time.Second), Until: time.Now().Add(time.Hour)}
}

// TestOutageAndRecovery: during an outage bookings are refused at once as
// not_run; within a second of its end they run again.
func TestOutageAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, s := fakes.NewKV(), &countingService{runs: map[string]int{}}
		c, stop := newCalls(t, kv, s, "p1")
		defer stop()
		_, err := c.Do(t.Context(), booking("first"))
		assert.NilError(t, err)

		kv.SetFault(fakes.Outage)
		start := time.Now()
		_, err = c.Do(t.Context(), booking("second"))
		f := verdt.Of(err, verdt.Ran)
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

// TestLostAnswers: a booking whose journal writes lose their answers runs once
// or is refused as not_run; it never runs twice.
func TestLostAnswers(t *testing.T) {
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
			assert.Equal(t, verdt.Of(err, verdt.Ran).Verdict, verdt.NotRun)
			assert.Equal(t, s.count("second"), 0)
		}
		_, err = c.Do(t.Context(), booking("second"))
		assert.NilError(t, err)
		assert.Equal(t, s.count("second"), 1)
	})
}

// TestOwnerDies: after an owner's death bookings of its shards go on within the
// lease plus a second, and a key whose outcome is unknown is not run again.
func TestOwnerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKV()
		hang := make(chan struct{})
		s := &countingService{runs: map[string]int{}, fail: func(int) error {
			<-hang
			return verdt.New(verdt.MayHaveRun, verdt.StageFailed, "lost")
		}}
		first, stop := newCalls(t, kv, s, "p1")
		caller, leave := context.WithTimeout(t.Context(), 10*time.Second)
		defer leave()
		go func() { _, _ = first.Do(caller, booking("lost")) }()
		time.Sleep(2 * time.Second)
		go func() { time.Sleep(time.Second); close(hang) }()
		stop()
		s.mu.Lock()
		s.fail = nil
		s.mu.Unlock()

		second := NewCalls(evlog.New(logr.Discard()), owner.DefaultConfig("d1", "p2"), kv, s)
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
		f := verdt.Of(err, verdt.NotRun)
		assert.Equal(t, f.Verdict, verdt.MayHaveRun)
		assert.Equal(t, f.Reason, verdt.OutcomeUnknown)
		assert.Equal(t, s.count("lost"), 1)
	})
}

// TestPlannedStop: a stop waits for what runs and gives the shards back, so that
// the next owner serves at once.
func TestPlannedStop(t *testing.T) {
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

// cutFleet is two other daemons: the owner, whom only the relay reaches.
type cutFleet struct{ asked []model.DaemonID }

func (f *cutFleet) OwnerOf(int) (model.DaemonID, bool)     { return "owner", true }
func (f *cutFleet) Relays(model.DaemonID) []model.DaemonID { return []model.DaemonID{"gone", "relay"} }
func (f *cutFleet) ShardChanged(int, uint64, bool)         {}

func (f *cutFleet) Forward(_ context.Context, to model.DaemonID, r CallRequest) (rings.Stored, error) {
	f.asked = append(f.asked, to)
	if to == "relay" && r.Relay {
		return rings.Stored{Status: 200, Body: []byte("relayed")}, nil
	}
	return rings.Stored{}, verdt.New(verdt.NotRun, verdt.PeerLost, "cut")
}

// TestRelay: a call whose owner cannot be reached goes through another daemon;
// where none can, it is refused as not_run.
func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, s := fakes.NewKV(), &countingService{runs: map[string]int{}}
		fleet := &cutFleet{}
		c, stop := newConnectedCalls(t, kv, s, "p1", func(c *Calls) { c.Connect(fleet, fleet) })
		defer stop()
		time.Sleep(time.Second)
		c.Stop()
		time.Sleep(time.Second)
		answer, err := c.Do(t.Context(), booking("a"))
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), "relayed")
		assert.DeepEqual(t, fleet.asked, []model.DaemonID{"owner", "gone", "relay"})

		// A relay hands the call on once, and does not ask for another relay.
		fleet.asked = nil
		r := booking("b")
		r.Relay = true
		_, err = c.DoForwarded(t.Context(), r)
		assert.Equal(t, verdt.Of(err, verdt.Ran).Verdict, verdt.NotRun)
		assert.DeepEqual(t, fleet.asked, []model.DaemonID{"owner"})
	})
}

// TestStopInOutage: a planned stop while the key-value service is down does not
// wait for it: the shards are given up with the lease.
func TestStopInOutage(t *testing.T) {
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
