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
	benchStoreTime   = 5 * time.Millisecond
	benchServiceTime = 50 * time.Millisecond
	benchLength      = 20 * time.Second
)

// journalRun counts what bookings cost in virtual time.
type journalRun struct {
	now                  time.Time
	state                *State
	store                *fakes.Store
	in                   msgs.CallInbox
	out                  msgs.CallOutbox
	due                  map[time.Time][]func()
	arrived              map[msgs.CallID]time.Time
	writes, bytes        int
	dispatched, answered int
	wait                 time.Duration
}

func (r *journalRun) after(d time.Duration, do func()) {
	at := r.now.Add(d).Truncate(time.Millisecond)
	r.due[at] = append(r.due[at], do)
}

func (r *journalRun) step() {
	for _, do := range r.due[r.now] {
		do()
	}
	delete(r.due, r.now)
	r.state.Tick(r.now, &r.in, &r.out)
	r.in.Reset()
	for _, op := range r.out.Ops {
		r.after(benchStoreTime, func() { r.in.Results = append(r.in.Results, r.land(op)) })
	}
	for _, id := range r.out.Dispatches {
		r.dispatched++
		r.wait += r.now.Sub(r.arrived[id])
		r.after(benchServiceTime, func() {
			r.in.Ends = append(r.in.Ends, msgs.CallEnd{ID: id, Answer: &rings.Stored{Status: 200, Body: make([]byte, 100)}})
		})
	}
	r.answered += len(r.out.Replies)
	r.now = r.now.Add(time.Millisecond)
}

func (r *journalRun) land(op msgs.StoreOp) msgs.StoreResult {
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

// BenchmarkJournal measures writes, bytes and added wait for each booking, by the
// number of shards and the rate. All shards have one owner here; with several the
// writes of a shard are the same.
func BenchmarkJournal(b *testing.B) {
	for _, size := range []struct{ shards, rate int }{{8, 2}, {8, 20}, {8, 200}, {8, 850}, {16, 850}} {
		b.Run(fmt.Sprintf("shards=%d/rate=%d", size.shards, size.rate), func(b *testing.B) {
			for b.Loop() {
				r := &journalRun{
					now: time.Unix(1_000_000, 0), state: New(DefaultConfig("d0", "p")), store: fakes.NewStore(),
					due: map[time.Time][]func(){}, arrived: map[msgs.CallID]time.Time{},
				}
				r.in.Shards, r.in.Fleet = size.shards, &msgs.Fleet{Live: []model.DaemonID{"d0"}}
				for range 1000 {
					r.step()
				}
				r.writes, r.bytes = 0, 0
				began := time.Now()
				r.load(size.rate)
				report(b, r, time.Since(began))
			}
		})
	}
}

func (r *journalRun) load(rate int) {
	start, sent := r.now, 0
	for r.now.Sub(start) < benchLength {
		for want := int(float64(rate) * r.now.Sub(start).Seconds()); sent < want; sent++ {
			id := msgs.CallID(sent + 1)
			r.arrived[id] = r.now
			r.in.Calls = append(r.in.Calls, msgs.Call{ID: id, Key: rings.Digest(strconv.Itoa(sent)), Deadline: r.now.Add(time.Minute), Until: r.now.Add(time.Hour)})
		}
		r.step()
	}
}

func report(b *testing.B, r *journalRun, took time.Duration) {
	n := float64(max(1, r.dispatched))
	b.ReportMetric(float64(r.writes)/n, "writes/booking")
	b.ReportMetric(float64(r.writes)/benchLength.Seconds(), "writes/s")
	b.ReportMetric(float64(r.bytes)/n, "bytes/booking")
	b.ReportMetric(float64(r.wait.Microseconds())/1000/n, "wait-ms/booking")
	b.ReportMetric(float64(took.Nanoseconds())/n, "core-ns/booking")
}

// BenchmarkTakeover kills the owner of a shard at many moments of its lease and
// measures the time until the next owner dispatches a call.
func BenchmarkTakeover(b *testing.B) {
	for b.Loop() {
		h := hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)
		for phase := range 200 {
			_ = h.RecordValue(takeover(time.Duration(phase) * 37 * time.Millisecond).Milliseconds())
		}
		b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ms")
		b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ms")
		b.ReportMetric(float64(h.Max()), "max-ms")
	}
}

// takeover returns the time from an owner's death, some time after it took its
// shards, to the next owner's first dispatch. The other daemons see the death
// after five seconds without a heartbeat.
func takeover(after time.Duration) time.Duration {
	const silence = 5 * time.Second
	first := &journalRun{
		now: time.Unix(1_000_000, 0), state: New(DefaultConfig("d0", "p0")), store: fakes.NewStore(),
		due: map[time.Time][]func(){}, arrived: map[msgs.CallID]time.Time{},
	}
	first.in.Shards, first.in.Fleet = 1, &msgs.Fleet{Live: []model.DaemonID{"d0"}}
	for died := first.now.Add(2*time.Second + after); first.now.Before(died); {
		first.step()
	}
	next := &journalRun{
		now: first.now, state: New(DefaultConfig("d1", "p1")), store: first.store,
		due: map[time.Time][]func(){}, arrived: map[msgs.CallID]time.Time{},
	}
	next.in.Shards, next.in.Fleet = 1, &msgs.Fleet{Live: []model.DaemonID{"d0"}}
	id := msgs.CallID(0)
	for next.dispatched == 0 {
		if next.now.Sub(first.now) == silence {
			next.in.Fleet = &msgs.Fleet{Live: []model.DaemonID{"d1"}}
		}
		id++
		next.arrived[id] = next.now
		next.in.Calls = append(next.in.Calls, msgs.Call{ID: id, Key: rings.Digest(strconv.Itoa(int(id))), Deadline: next.now.Add(time.Minute), Until: next.now.Add(time.Hour)})
		next.step()
	}
	return next.now.Sub(first.now)
}
