package owner

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// flight is a call to the key-value service on its way. It may be answered as
// unknown and land later all the same.
type flight struct {
	process  int
	op       msgs.StoreOp
	answered bool
}

// process is one daemon process. A killed one stays in the list, so that its
// dispatches and writes under way still count.
type process struct {
	id     model.DaemonID
	state  *State
	in     msgs.CallInbox
	dead   bool
	paused bool
}

// running is a dispatched call at the plain service.
type running struct {
	process int
	id      msgs.CallID
	key     string
}

// ledger is the oracle: what callers and the plain service saw.
type ledger struct {
	// ran counts, for each key, the runs that did or may have happened.
	ran map[string]int
	// dispatched and notRun are calls by process and number.
	dispatched map[string]bool
	notRun     map[string]bool
	// answers is the first answer of each key.
	answers map[string]string
	keyOf   map[string]string
}

type world struct {
	t         *rapid.T
	now       time.Time
	store     *fakes.Store
	processes []*process
	flights   []flight
	running   []running
	ledger    ledger
	next      msgs.CallID
	out       msgs.CallOutbox
	served    int
}

var daemonNames = []model.DaemonID{"d0", "d1", "d2"}

func testConfig(id model.DaemonID, name string) Config {
	cfg := DefaultConfig(id, name)
	cfg.Slots, cfg.SlotBytes = 4, 3*entryBytes
	return cfg
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), store: fakes.NewStore(),
		ledger: ledger{ran: map[string]int{}, dispatched: map[string]bool{}, notRun: map[string]bool{}, answers: map[string]string{}, keyOf: map[string]string{}},
	}
	for _, id := range daemonNames {
		w.spawn(id)
	}
	return w
}

func (w *world) spawn(id model.DaemonID) {
	name := fmt.Sprintf("%s-%d", id, len(w.processes))
	p := &process{id: id, state: New(testConfig(id, name))}
	p.in.Shards = 2
	p.in.Fleet = &msgs.Fleet{Live: daemonNames}
	w.processes = append(w.processes, p)
}

func callName(process int, id msgs.CallID) string { return fmt.Sprintf("%d/%d", process, id) }

// tick runs one process and takes its commands in.
func (w *world) tick(i int) {
	p := w.processes[i]
	if p.dead || p.paused {
		return
	}
	p.state.Tick(w.now, &p.in, &w.out)
	p.in.Reset()
	for _, op := range w.out.Ops {
		w.flights = append(w.flights, flight{process: i, op: op})
	}
	for _, id := range w.out.Dispatches {
		w.dispatch(i, id)
	}
	for _, r := range w.out.Replies {
		w.reply(i, r)
	}
	if err := p.state.Check(); err != nil {
		w.t.Fatalf("process %d: %v", i, err)
	}
}

func (w *world) dispatch(i int, id msgs.CallID) {
	name := callName(i, id)
	key := w.ledger.keyOf[name]
	if w.ledger.notRun[name] {
		w.t.Fatalf("call %s was answered not_run and is dispatched", name)
	}
	w.ledger.dispatched[name] = true
	w.ledger.ran[key]++
	if w.ledger.ran[key] > 1 {
		w.t.Fatalf("key %s runs %d times", key, w.ledger.ran[key])
	}
	w.running = append(w.running, running{process: i, id: id, key: key})
}

func (w *world) reply(i int, r msgs.CallReply) {
	name := callName(i, r.ID)
	if r.Failure != nil {
		if r.Failure.RetryAt.Sub(w.now) > quickRetry {
			w.t.Fatalf("call %s is told to come back only after %s", name, r.Failure.RetryAt.Sub(w.now))
		}
		if r.Failure.Verdict == verdt.NotRun && r.Failure.Reason != verdt.StageFailed {
			w.ledger.notRun[name] = true
			if w.ledger.dispatched[name] {
				w.t.Fatalf("call %s was dispatched and is answered not_run", name)
			}
		}
		return
	}
	w.served++
	key, got := w.ledger.keyOf[name], string(r.Answer.Body)
	if first, ok := w.ledger.answers[key]; ok && first != got {
		w.t.Fatalf("key %s was answered %q and then %q", key, first, got)
	}
	w.ledger.answers[key] = got
}

// land carries a call to the store out.
func (w *world) land(f flight) msgs.StoreResult {
	r := msgs.StoreResult{Tag: f.op.Tag, Kind: f.op.Kind, Outcome: model.Done}
	switch f.op.Kind {
	case msgs.StoreGet:
		r.Entry = w.store.Get(w.now, f.op.Key)
	case msgs.StoreCAS:
		r.Revision, r.Outcome = w.store.CAS(w.now, f.op.CAS)
	case msgs.StoreGrant:
		r.Lease = w.store.Grant(w.now, f.op.Expires.Sub(w.now))
	case msgs.StoreKeepAlive:
		r.Outcome = w.store.KeepAlive(w.now, f.op.Lease)
	}
	return r
}

func (w *world) answer(f flight, r msgs.StoreResult) {
	p := w.processes[f.process]
	if !f.answered {
		p.in.Results = append(p.in.Results, r)
	}
}

// storeStep lets one call to the store end in one of the ways that the brief
// allows.
func (w *world) storeStep(fault int) {
	if len(w.flights) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.flights)-1).Draw(w.t, "flight")
	f := w.flights[i]
	drop := func() { w.flights = append(w.flights[:i], w.flights[i+1:]...) }
	switch fault {
	case 0, 1, 2, 3, 4:
		w.answer(f, w.land(f))
		drop()
	case 5: // Refused before any effect.
		w.answer(f, msgs.StoreResult{Tag: f.op.Tag, Kind: f.op.Kind, Outcome: model.Refused})
		drop()
	case 6: // The answer is lost after the effect.
		w.land(f)
		w.answer(f, msgs.StoreResult{Tag: f.op.Tag, Kind: f.op.Kind, Outcome: model.Unknown})
		drop()
	case 7: // The answer is lost, and the effect comes later or never.
		w.answer(f, msgs.StoreResult{Tag: f.op.Tag, Kind: f.op.Kind, Outcome: model.Unknown})
		w.flights[i].answered = true
	}
}

// call sends a call with one of a few keys to a process.
func (w *world) call(i int, key string) {
	p := w.processes[i]
	if p.dead {
		return
	}
	w.next++
	w.ledger.keyOf[callName(i, w.next)] = key
	p.in.Calls = append(p.in.Calls, msgs.Call{
		ID: w.next, Key: rings.Digest(key), Body: rings.Digest("body"),
		Deadline: w.now.Add(20 * time.Second), Until: w.now.Add(24 * time.Hour),
	})
}

// ownerOf returns the running process that owns a key's shard.
func (w *world) ownerOf(key string) (int, bool) {
	shard := rings.Digest(key).Shard(2)
	for i, p := range w.processes {
		if !p.dead && !p.paused && p.state.Owns(shard) {
			return i, true
		}
	}
	return 0, false
}

func (w *world) callOwner(key string) {
	if i, ok := w.ownerOf(key); ok {
		w.call(i, key)
	}
}

// endCall lets a dispatched call end.
func (w *world) endCall(how int) {
	if len(w.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.running)-1).Draw(w.t, "running")
	r := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	end := msgs.CallEnd{ID: r.id}
	switch how {
	case 0, 1:
		end.Answer = &rings.Stored{Status: 200, Body: []byte(callName(r.process, r.id))}
	case 2:
		end.Failure = verdt.New(verdt.MayHaveRun, verdt.StageFailed, "lost")
	case 3: // The connection was refused: it did not run after all.
		end.Failure = verdt.New(verdt.NotRun, verdt.StageFailed, "refused")
		w.ledger.ran[r.key]--
	}
	w.processes[r.process].in.Ends = append(w.processes[r.process].in.Ends, end)
}

func (w *world) kill(i int) {
	p := w.processes[i]
	if !p.dead {
		p.dead = true
		w.spawn(p.id)
	}
}

// settle runs everything without faults for a while. What paused and dead
// processes have under way to the store stays under way.
func (w *world) settle(d time.Duration) {
	for range int(d / (50 * time.Millisecond)) {
		w.now = w.now.Add(50 * time.Millisecond)
		var held []flight
		for _, f := range w.flights {
			if w.processes[f.process].paused || w.processes[f.process].dead {
				held = append(held, f)
				continue
			}
			w.answer(f, w.land(f))
		}
		w.flights = held
		w.tickAll()
	}
}

func (w *world) tickAll() {
	for i := range w.processes {
		w.tick(i)
	}
}

// storm runs everything while each call to the store meets a fault of its own.
func (w *world) storm(steps int) {
	for range steps {
		w.now = w.now.Add(150 * time.Millisecond)
		for range len(w.flights) {
			w.storeStep(rapid.IntRange(2, 7).Draw(w.t, "fault"))
		}
		w.tickAll()
	}
}

func (w *world) owners(shard int) int {
	n := 0
	for _, p := range w.processes {
		if !p.dead && !p.paused && shard < len(p.state.shards) && p.state.Owns(shard) {
			n++
		}
	}
	return n
}

// recover lets all faults end: then each shard has one owner again within the
// lease plus a second, and serves.
func (w *world) recover(t *rapid.T) {
	for _, p := range w.processes {
		p.paused = false
	}
	w.finish()
	w.settle(DefaultConfig("", "").LeaseTTL + time.Second)
	for shard := range 2 {
		if n := w.owners(shard); n != 1 {
			t.Fatalf("shard %d has %d owners after all faults ended", shard, n)
		}
	}
	before := w.served
	for i := range w.processes {
		for k := range 8 {
			w.call(i, fmt.Sprintf("fresh-%d", k))
		}
	}
	for range 40 {
		w.settle(100 * time.Millisecond)
		w.finish()
	}
	if w.served-before < 8 {
		t.Fatalf("only %d of 8 calls were answered after all faults ended", w.served-before)
	}
}

// finish ends all running calls with an answer.
func (w *world) finish() {
	for _, r := range w.running {
		end := msgs.CallEnd{ID: r.id, Answer: &rings.Stored{Status: 200, Body: []byte(callName(r.process, r.id))}}
		w.processes[r.process].in.Ends = append(w.processes[r.process].in.Ends, end)
	}
	w.running = nil
}
