package owner

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	benchStoreLatency   = 5 * time.Millisecond
	benchServiceLatency = 50 * time.Millisecond
	benchDuration       = 20 * time.Second
)

// benchRun runs one daemon in virtual time and counts the journal writes and the
// added latency of its calls (bookings in the metrics).
type benchRun struct {
	now                  time.Time
	state                *State
	store                *fakes.Store
	in                   msgs.CallInbox
	out                  msgs.CallOutbox
	events               map[time.Time][]func()
	arrived              map[msgs.CallID]time.Time
	writes, bytes        int
	dispatched, answered int
	// totalWait is the summed time from arrival to dispatch.
	totalWait time.Duration
}

// schedule runs a function after a delay in virtual time.
func (r *benchRun) schedule(d time.Duration, do func()) {
	at := r.now.Add(d).Truncate(time.Millisecond)
	r.events[at] = append(r.events[at], do)
}

// step runs one millisecond: the scheduled events, then a tick.
func (r *benchRun) step() {
	for _, do := range r.events[r.now] {
		do()
	}
	delete(r.events, r.now)
	r.state.Tick(r.now, &r.in, &r.out)
	r.in.Reset()
	for _, op := range r.out.Ops {
		r.schedule(benchStoreLatency, func() { r.in.Results = append(r.in.Results, r.execute(op)) })
	}
	for _, id := range r.out.Dispatches {
		r.dispatched++
		r.totalWait += r.now.Sub(r.arrived[id])
		r.schedule(benchServiceLatency, func() {
			r.in.Ends = append(r.in.Ends, msgs.CallEnd{ID: id, Answer: &rings.StoredAnswer{Status: 200, Body: make([]byte, 100)}})
		})
	}
	r.answered += len(r.out.Replies)
	r.now = r.now.Add(time.Millisecond)
}

// execute applies a request to the store and returns its result.
func (r *benchRun) execute(op msgs.StoreOp) msgs.StoreResult {
	res := msgs.StoreResult{Tag: op.Tag, Kind: op.Kind, Outcome: model.Done}
	switch op.Kind {
	case msgs.StoreGet:
		res.Entry = r.store.Get(r.now, op.Key)
	case msgs.StoreCAS:
		r.writes++
		r.bytes += len(op.CAS.Value)
		res.Revision, res.Outcome = r.store.CAS(r.now, op.CAS)
	case msgs.StoreGrant:
		res.Lease = r.store.Grant(r.now, op.Expires.Sub(r.now))
	case msgs.StoreKeepAlive:
		res.Outcome = r.store.KeepAlive(r.now, op.Lease)
	}
	return res
}

// BenchmarkJournal measures writes, bytes and added latency per call, by the number
// of shards and the call rate. One daemon owns all shards here; the writes of a
// shard are the same with several owners.
func BenchmarkJournal(b *testing.B) {
	for _, size := range []struct{ shards, rate int }{{8, 2}, {8, 20}, {8, 200}, {8, 850}, {16, 850}} {
		b.Run(fmt.Sprintf("shards=%d/rate=%d", size.shards, size.rate), func(b *testing.B) {
			for b.Loop() {
				r := &benchRun{
					now: time.Unix(1_000_000, 0), state: New(DefaultConfig("d0", "p")), store: fakes.NewStore(),
					events: map[time.Time][]func(){}, arrived: map[msgs.CallID]time.Time{},
				}
				r.in.Shards, r.in.Fleet = size.shards, &msgs.Fleet{Live: []model.DaemonID{"d0"}}
				for range 1000 {
					r.step()
				}
				r.writes, r.bytes = 0, 0
				startedAt := time.Now()
				r.sendCalls(size.rate)
				reportMetrics(b, r, time.Since(startedAt))
			}
		})
	}
}

// sendCalls sends calls at a rate per second for benchDuration.
func (r *benchRun) sendCalls(rate int) {
	start, sent := r.now, 0
	for r.now.Sub(start) < benchDuration {
		for want := int(float64(rate) * r.now.Sub(start).Seconds()); sent < want; sent++ {
			id := msgs.CallID(sent + 1)
			r.arrived[id] = r.now
			r.in.Calls = append(r.in.Calls, msgs.Call{ID: id, Key: rings.NewDigest(strconv.Itoa(sent)), Deadline: r.now.Add(time.Minute), KeyExpiresAt: r.now.Add(time.Hour)})
		}
		r.step()
	}
}

func reportMetrics(b *testing.B, r *benchRun, elapsed time.Duration) {
	n := float64(max(1, r.dispatched))
	b.ReportMetric(float64(r.writes)/n, "writes/booking")
	b.ReportMetric(float64(r.writes)/benchDuration.Seconds(), "writes/s")
	b.ReportMetric(float64(r.bytes)/n, "bytes/booking")
	b.ReportMetric(float64(r.totalWait.Microseconds())/1000/n, "wait-ms/booking")
	b.ReportMetric(float64(elapsed.Nanoseconds())/n, "core-ns/booking")
}

// BenchmarkTakeover kills the owner of a shard at different points of its lease
// and measures the time until the next owner dispatches a call.
func BenchmarkTakeover(b *testing.B) {
	for b.Loop() {
		h := hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)
		for phase := range 200 {
			_ = h.RecordValue(takeoverTime(time.Duration(phase) * 37 * time.Millisecond).Milliseconds())
		}
		b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ms")
		b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ms")
		b.ReportMetric(float64(h.Max()), "max-ms")
	}
}

// takeoverTime returns the time from when an owner is killed to the next owner's
// first dispatch. The owner is killed 2s plus afterClaim after its start. Other
// daemons consider it dead after five seconds without a heartbeat.
func takeoverTime(afterClaim time.Duration) time.Duration {
	const heartbeatTimeout = 5 * time.Second
	first := &benchRun{
		now: time.Unix(1_000_000, 0), state: New(DefaultConfig("d0", "p0")), store: fakes.NewStore(),
		events: map[time.Time][]func(){}, arrived: map[msgs.CallID]time.Time{},
	}
	first.in.Shards, first.in.Fleet = 1, &msgs.Fleet{Live: []model.DaemonID{"d0"}}
	for killAt := first.now.Add(2*time.Second + afterClaim); first.now.Before(killAt); {
		first.step()
	}
	next := &benchRun{
		now: first.now, state: New(DefaultConfig("d1", "p1")), store: first.store,
		events: map[time.Time][]func(){}, arrived: map[msgs.CallID]time.Time{},
	}
	next.in.Shards, next.in.Fleet = 1, &msgs.Fleet{Live: []model.DaemonID{"d0"}}
	id := msgs.CallID(0)
	for next.dispatched == 0 {
		if next.now.Sub(first.now) == heartbeatTimeout {
			next.in.Fleet = &msgs.Fleet{Live: []model.DaemonID{"d1"}}
		}
		id++
		next.arrived[id] = next.now
		next.in.Calls = append(next.in.Calls, msgs.Call{ID: id, Key: rings.NewDigest(strconv.Itoa(int(id))), Deadline: next.now.Add(time.Minute), KeyExpiresAt: next.now.Add(time.Hour)})
		next.step()
	}
	return next.now.Sub(first.now)
}
