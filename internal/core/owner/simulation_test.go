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

// pendingOp is a request to the key-value service in flight. It may be answered as
// unknown and still take effect later.
type pendingOp struct {
	process  int
	op       msgs.StoreOp
	answered bool
}

// process is one daemon process. A killed one stays in the list, so that its
// dispatches and its writes in flight still count.
type process struct {
	id     model.DaemonID
	state  *State
	in     msgs.CallInbox
	dead   bool
	paused bool
}

// runningCall is a dispatched call at the plain service.
type runningCall struct {
	process int
	id      msgs.CallID
	key     string
}

// oracle is the test oracle: what callers and the plain service saw.
type oracle struct {
	// runs counts, for each key, the runs that did or may have happened.
	runs map[string]int
	// dispatched and notRun hold calls by callName.
	dispatched map[string]bool
	notRun     map[string]bool
	// answers holds the first answer of each key.
	answers map[string]string
	// keyOf holds the key of each call by callName.
	keyOf map[string]string
}

// simulation runs daemon processes against a key-value service and a plain service
// in virtual time.
type simulation struct {
	t          *rapid.T
	now        time.Time
	store      *fakes.Store
	processes  []*process
	pendingOps []pendingOp
	running    []runningCall
	oracle     oracle
	lastCallID msgs.CallID
	out        msgs.CallOutbox
	// served counts the replies with an answer.
	served int
}

var daemonNames = []model.DaemonID{"d0", "d1", "d2"}

// testConfig returns a config with small rings and slots, which fill up quickly.
func testConfig(id model.DaemonID, processName string) Config {
	cfg := DefaultConfig(id, processName)
	cfg.Slots, cfg.SealBytes = 4, 3*entryBytes
	return cfg
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1_000_000, 0), store: fakes.NewStore(),
		oracle: oracle{runs: map[string]int{}, dispatched: map[string]bool{}, notRun: map[string]bool{}, answers: map[string]string{}, keyOf: map[string]string{}},
	}
	for _, id := range daemonNames {
		sim.startProcess(id)
	}
	return sim
}

// startProcess adds a new process of a daemon.
func (sim *simulation) startProcess(id model.DaemonID) {
	name := fmt.Sprintf("%s-%d", id, len(sim.processes))
	p := &process{id: id, state: New(testConfig(id, name))}
	p.in.Shards = 2
	p.in.Fleet = &msgs.Fleet{Live: daemonNames}
	sim.processes = append(sim.processes, p)
}

// callName identifies a call by its process and its number.
func callName(process int, id msgs.CallID) string { return fmt.Sprintf("%d/%d", process, id) }

// tick runs one tick of a process and carries out its outbox.
func (sim *simulation) tick(i int) {
	p := sim.processes[i]
	if p.dead || p.paused {
		return
	}
	p.state.Tick(sim.now, &p.in, &sim.out)
	p.in.Reset()
	for _, op := range sim.out.Ops {
		sim.pendingOps = append(sim.pendingOps, pendingOp{process: i, op: op})
	}
	for _, id := range sim.out.Dispatches {
		sim.dispatch(i, id)
	}
	for _, r := range sim.out.Replies {
		sim.reply(i, r)
	}
	if err := p.state.Check(); err != nil {
		sim.t.Fatalf("process %d: %v", i, err)
	}
}

// dispatch starts a call at the plain service, and checks that its key runs only
// once.
func (sim *simulation) dispatch(i int, id msgs.CallID) {
	name := callName(i, id)
	key := sim.oracle.keyOf[name]
	if sim.oracle.notRun[name] {
		sim.t.Fatalf("call %s is dispatched after it was answered not_run", name)
	}
	sim.oracle.dispatched[name] = true
	sim.oracle.runs[key]++
	if sim.oracle.runs[key] > 1 {
		sim.t.Fatalf("key %s runs %d times", key, sim.oracle.runs[key])
	}
	sim.running = append(sim.running, runningCall{process: i, id: id, key: key})
}

// reply checks a reply against the oracle.
func (sim *simulation) reply(i int, r msgs.CallReply) {
	name := callName(i, r.ID)
	if r.Failure != nil {
		if r.Failure.RetryAt.Sub(sim.now) > refusalRetryDelay {
			sim.t.Fatalf("call %s is told to retry after %s, which is too long", name, r.Failure.RetryAt.Sub(sim.now))
		}
		if r.Failure.Verdict == verdt.NotRun && r.Failure.Reason != verdt.StageFailed {
			sim.oracle.notRun[name] = true
			if sim.oracle.dispatched[name] {
				sim.t.Fatalf("call %s is answered not_run after it was dispatched", name)
			}
		}
		return
	}
	sim.served++
	key, got := sim.oracle.keyOf[name], string(r.Answer.Body)
	if first, ok := sim.oracle.answers[key]; ok && first != got {
		sim.t.Fatalf("key %s was answered %q first and then %q", key, first, got)
	}
	sim.oracle.answers[key] = got
}

// execute applies a request to the store and returns its result.
func (sim *simulation) execute(f pendingOp) msgs.StoreResult {
	r := msgs.StoreResult{Tag: f.op.Tag, Kind: f.op.Kind, Outcome: model.Done}
	switch f.op.Kind {
	case msgs.StoreGet:
		r.Entry = sim.store.Get(sim.now, f.op.Key)
	case msgs.StoreCAS:
		r.Revision, r.Outcome = sim.store.CAS(sim.now, f.op.CAS)
	case msgs.StoreGrant:
		r.Lease = sim.store.Grant(sim.now, f.op.Expires.Sub(sim.now))
	case msgs.StoreKeepAlive:
		r.Outcome = sim.store.KeepAlive(sim.now, f.op.Lease)
	}
	return r
}

// deliverResult puts a result into the inbox of its process, unless the request
// was answered already.
func (sim *simulation) deliverResult(f pendingOp, r msgs.StoreResult) {
	p := sim.processes[f.process]
	if !f.answered {
		p.in.Results = append(p.in.Results, r)
	}
}

// resolveOp ends a random request in flight, normally or with one of the faults
// that the key-value service may show.
func (sim *simulation) resolveOp(fault int) {
	if len(sim.pendingOps) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.pendingOps)-1).Draw(sim.t, "op")
	f := sim.pendingOps[i]
	drop := func() { sim.pendingOps = append(sim.pendingOps[:i], sim.pendingOps[i+1:]...) }
	switch fault {
	case 0, 1, 2, 3, 4:
		sim.deliverResult(f, sim.execute(f))
		drop()
	case 5: // Refused before any effect.
		sim.deliverResult(f, msgs.StoreResult{Tag: f.op.Tag, Kind: f.op.Kind, Outcome: model.Refused})
		drop()
	case 6: // The request takes effect, but its answer is lost.
		sim.execute(f)
		sim.deliverResult(f, msgs.StoreResult{Tag: f.op.Tag, Kind: f.op.Kind, Outcome: model.Unknown})
		drop()
	case 7: // The answer is lost, and the request takes effect later or never.
		sim.deliverResult(f, msgs.StoreResult{Tag: f.op.Tag, Kind: f.op.Kind, Outcome: model.Unknown})
		sim.pendingOps[i].answered = true
	}
}

// call sends a call with a key to a process.
func (sim *simulation) call(i int, key string) {
	p := sim.processes[i]
	if p.dead {
		return
	}
	sim.lastCallID++
	sim.oracle.keyOf[callName(i, sim.lastCallID)] = key
	p.in.Calls = append(p.in.Calls, msgs.Call{
		ID: sim.lastCallID, Key: rings.NewDigest(key), BodyDigest: rings.NewDigest("body"),
		Deadline: sim.now.Add(20 * time.Second), KeyExpiresAt: sim.now.Add(24 * time.Hour),
	})
}

// ownerOf returns the process that owns a key's shard and is neither dead nor
// paused.
func (sim *simulation) ownerOf(key string) (int, bool) {
	shard := rings.NewDigest(key).Shard(2)
	for i, p := range sim.processes {
		if !p.dead && !p.paused && p.state.Owns(shard) {
			return i, true
		}
	}
	return 0, false
}

// callOwner sends a call to the owner of its key, if there is one.
func (sim *simulation) callOwner(key string) {
	if i, ok := sim.ownerOf(key); ok {
		sim.call(i, key)
	}
}

// endCall ends a random dispatched call: with an answer, as lost, or as refused.
func (sim *simulation) endCall(ending int) {
	if len(sim.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.running)-1).Draw(sim.t, "running")
	r := sim.running[i]
	sim.running = append(sim.running[:i], sim.running[i+1:]...)
	end := msgs.CallEnd{ID: r.id}
	switch ending {
	case 0, 1:
		end.Answer = &rings.StoredAnswer{Status: 200, Body: []byte(callName(r.process, r.id))}
	case 2:
		end.Failure = verdt.New(verdt.MayHaveRun, verdt.StageFailed, "lost")
	case 3: // The connection was refused, so the call did not run.
		end.Failure = verdt.New(verdt.NotRun, verdt.StageFailed, "refused")
		sim.oracle.runs[r.key]--
	}
	sim.processes[r.process].in.Ends = append(sim.processes[r.process].in.Ends, end)
}

// kill ends a process and starts a new one of the same daemon.
func (sim *simulation) kill(i int) {
	p := sim.processes[i]
	if !p.dead {
		p.dead = true
		sim.startProcess(p.id)
	}
}

// runWithoutFaults runs all processes for a time without faults. Requests in
// flight of paused and dead processes stay in flight.
func (sim *simulation) runWithoutFaults(d time.Duration) {
	for range int(d / (50 * time.Millisecond)) {
		sim.now = sim.now.Add(50 * time.Millisecond)
		var kept []pendingOp
		for _, f := range sim.pendingOps {
			if sim.processes[f.process].paused || sim.processes[f.process].dead {
				kept = append(kept, f)
				continue
			}
			sim.deliverResult(f, sim.execute(f))
		}
		sim.pendingOps = kept
		sim.tickAll()
	}
}

func (sim *simulation) tickAll() {
	for i := range sim.processes {
		sim.tick(i)
	}
}

// runWithFaults runs all processes for a number of steps, and draws a fault for
// each request in flight.
func (sim *simulation) runWithFaults(steps int) {
	for range steps {
		sim.now = sim.now.Add(150 * time.Millisecond)
		for range len(sim.pendingOps) {
			sim.resolveOp(rapid.IntRange(2, 7).Draw(sim.t, "fault"))
		}
		sim.tickAll()
	}
}

// ownerCount returns how many processes, neither dead nor paused, own a shard.
func (sim *simulation) ownerCount(shard int) int {
	n := 0
	for _, p := range sim.processes {
		if !p.dead && !p.paused && shard < len(p.state.shards) && p.state.Owns(shard) {
			n++
		}
	}
	return n
}

// recover ends all faults and checks that each shard has exactly one owner
// within LeaseTTL plus a second, and that new calls are answered.
func (sim *simulation) recover(t *rapid.T) {
	for _, p := range sim.processes {
		p.paused = false
	}
	sim.endAllCalls()
	sim.runWithoutFaults(DefaultConfig("", "").LeaseTTL + time.Second)
	for shard := range 2 {
		if n := sim.ownerCount(shard); n != 1 {
			t.Fatalf("shard %d has %d owners after all faults ended", shard, n)
		}
	}
	before := sim.served
	for i := range sim.processes {
		for k := range 8 {
			sim.call(i, fmt.Sprintf("fresh-%d", k))
		}
	}
	for range 40 {
		sim.runWithoutFaults(100 * time.Millisecond)
		sim.endAllCalls()
	}
	if sim.served-before < 8 {
		t.Fatalf("only %d of 8 calls were answered after all faults ended", sim.served-before)
	}
}

// endAllCalls ends all dispatched calls with an answer.
func (sim *simulation) endAllCalls() {
	for _, r := range sim.running {
		end := msgs.CallEnd{ID: r.id, Answer: &rings.StoredAnswer{Status: 200, Body: []byte(callName(r.process, r.id))}}
		sim.processes[r.process].in.Ends = append(sim.processes[r.process].in.Ends, end)
	}
	sim.running = nil
}
