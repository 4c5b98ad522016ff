package drive

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/owner"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/plat"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// storeTimeout bounds one call to the key-value service; after it the outcome
// of a write is unknown.
const storeTimeout = 2 * time.Second

// CallRequest is a call to a plain service, as it also travels between daemons.
type CallRequest struct {
	Team        model.Team `cbor:"1,keyasint"`
	Service     string     `cbor:"2,keyasint"`
	Method      string     `cbor:"3,keyasint"`
	Path        string     `cbor:"4,keyasint"`
	ContentType string     `cbor:"5,keyasint"`
	Body        []byte     `cbor:"6,keyasint"`
	// Key is the caller's idempotency key; empty for a call without one.
	Key string `cbor:"7,keyasint"`
	// Deadline is when the caller no longer waits, Until when the key may be
	// forgotten.
	Deadline time.Time `cbor:"8,keyasint"`
	Until    time.Time `cbor:"9,keyasint"`
	// Repeatable is set where the service itself honours the key.
	Repeatable bool `cbor:"10,keyasint"`
	// Relay asks a daemon that does not own the key's shard to forward the call
	// once more, because the asking daemon cannot reach the owner.
	Relay bool `cbor:"11,keyasint,omitempty"`
}

// key returns the key's digest: keys of different teams and services differ.
func (r CallRequest) key() rings.Key { return rings.Digest(string(r.Team), r.Service, r.Key) }

func (r CallRequest) body() rings.Key {
	return rings.Digest(r.Method, r.Path, r.ContentType, string(r.Body))
}

// Forwarder hands a call to the daemon that owns its shard. Errors are
// *verdt.Error.
type Forwarder interface {
	Forward(ctx context.Context, to model.DaemonID, r CallRequest) (rings.Stored, error)
}

// Peers is what calls need to know of the other daemons.
type Peers interface {
	// OwnerOf returns who owns a shard, as far as is known.
	OwnerOf(shard int) (model.DaemonID, bool)
	// Relays returns daemons that may reach an owner whom this one cannot.
	Relays(owner model.DaemonID) []model.DaemonID
	// ShardChanged takes in that this daemon owns a shard or released it.
	ShardChanged(shard int, epoch uint64, released bool)
}

// nobody stands for the other daemons before Connect.
type nobody struct{}

func (nobody) OwnerOf(int) (model.DaemonID, bool)     { return "", false }
func (nobody) Relays(model.DaemonID) []model.DaemonID { return nil }
func (nobody) ShardChanged(int, uint64, bool)         {}

type pendingCall struct {
	request CallRequest
	reply   chan msgs.CallReply
}

// Calls carries calls to plain services.
type Calls struct {
	log     evlog.Log
	self    model.DaemonID
	kv      plat.KV
	service engine.Service
	loop    *loop[*msgs.CallInbox]
	out     msgs.CallOutbox

	mu       sync.Mutex
	ctx      context.Context
	owner    *owner.State
	rows     map[msgs.CallID]pendingCall
	next     msgs.CallID
	services *route.Services
	forward  Forwarder
	peers    Peers
	down     bool
	wg       sync.WaitGroup
}

// NewCalls returns a carrier of calls.
func NewCalls(log evlog.Log, cfg owner.Config, kv plat.KV, service engine.Service) *Calls {
	c := &Calls{
		log: log, self: cfg.Self, kv: kv, service: service, owner: owner.New(cfg),
		rows: map[msgs.CallID]pendingCall{}, services: route.NewServices(),
		peers: nobody{},
	}
	c.loop = newLoop(&msgs.CallInbox{}, &msgs.CallInbox{}, c.machine)
	return c
}

// Connect ties the calls to the other daemons. It must precede Serve.
func (c *Calls) Connect(f Forwarder, p Peers) { c.forward, c.peers = f, p }

// Serve ticks until the context ends. It implements suture.Service.
func (c *Calls) Serve(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	err := c.loop.run(ctx)
	c.wg.Wait()
	return err
}

// SetShards hands over the number of shards and the drained servers.
func (c *Calls) SetShards(n int, drained []string) {
	c.mu.Lock()
	c.services.ApplyDrained(drained)
	c.mu.Unlock()
	c.loop.post(func(in *msgs.CallInbox) { in.Shards = n })
}

// SetFleet hands over who may own shards.
func (c *Calls) SetFleet(f msgs.Fleet) {
	c.loop.post(func(in *msgs.CallInbox) { in.Fleet = &f })
}

// SetList hands over the platform's list.
func (c *Calls) SetList(list []model.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services.ApplyList(list)
}

// Released tells that an owner gave shards back.
func (c *Calls) Released(shards []int) {
	c.loop.post(func(in *msgs.CallInbox) { in.Released = append(in.Released, shards...) })
}

// Stop hands all shards over.
func (c *Calls) Stop() { c.loop.post(func(in *msgs.CallInbox) { in.Stop = true }) }

// Known reports whether a plain service exists.
func (c *Calls) Known(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.services.Known(service)
}

// CanOwn reports whether this daemon holds a lease.
func (c *Calls) CanOwn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner.HasLease(time.Now())
}

// Owned lists the shards that this daemon owns.
func (c *Calls) Owned() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner.Owned()
}

// Grants implements Ownership.
func (c *Calls) Grants() (shards int, epochs map[int]uint64, leaseUntil time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner.Grants()
}

// Idle reports whether nothing is owned and no call is in progress.
func (c *Calls) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner.Idle()
}

const (
	// ownerWait is how long a call waits for its shard to get an owner.
	ownerWait = 3 * time.Second
	ownerPoll = 50 * time.Millisecond
)

// Do runs a call with a key, here or at the daemon that owns its shard. While
// the shard changes hands the call waits: it has not run anywhere yet.
func (c *Calls) Do(ctx context.Context, r CallRequest) (rings.Stored, error) {
	giveUp := time.Now().Add(ownerWait)
	for {
		answer, err := c.try(ctx, r)
		if !ownerChanges(err) || time.Now().After(giveUp) || time.Now().Add(ownerPoll).After(r.Deadline) {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return answer, err
		case <-time.After(ownerPoll):
		}
	}
}

// ownerChanges reports whether a call was refused only because its shard has no
// owner at present.
func ownerChanges(err error) bool {
	f := verdt.Of(err, verdt.MayHaveRun)
	return f != nil && f.Verdict == verdt.NotRun && f.Reason == verdt.OwnerUnknown
}

func (c *Calls) try(ctx context.Context, r CallRequest) (rings.Stored, error) {
	c.mu.Lock()
	shard, known := c.owner.ShardOf(r.key())
	here := known && c.owner.Owns(shard)
	c.mu.Unlock()
	if here {
		return c.DoHere(ctx, r)
	}
	to, ok := c.peers.OwnerOf(shard)
	if !known || !ok || to == c.self || c.forward == nil {
		return rings.Stored{}, verdt.New(verdt.NotRun, verdt.OwnerUnknown, "no daemon owns the key's shard at present", verdt.RetryAt(time.Now().Add(time.Second)))
	}
	answer, err := c.forward.Forward(ctx, to, r)
	if unreachable(err) {
		return c.relay(ctx, to, r, err)
	}
	return answer, err
}

// unreachable reports whether no byte of a call reached the daemon asked.
func unreachable(err error) bool {
	f := verdt.Of(err, verdt.MayHaveRun)
	return f != nil && f.Verdict == verdt.NotRun && f.Reason == verdt.PeerLost
}

// relay hands a call to another daemon, which hands it to the owner: a link cut
// one way may leave an owner live whom this daemon cannot reach.
func (c *Calls) relay(ctx context.Context, owner model.DaemonID, r CallRequest, direct error) (rings.Stored, error) {
	r.Relay = true
	for _, to := range c.peers.Relays(owner) {
		answer, err := c.forward.Forward(ctx, to, r)
		if !unreachable(err) {
			return answer, err
		}
	}
	f := verdt.Of(direct, verdt.NotRun)
	return rings.Stored{}, verdt.New(verdt.NotRun, verdt.OwnerUnknown, f.Message, verdt.RetryAt(f.RetryAt))
}

// DoForwarded runs a call that another daemon forwarded.
func (c *Calls) DoForwarded(ctx context.Context, r CallRequest) (rings.Stored, error) {
	c.mu.Lock()
	shard, known := c.owner.ShardOf(r.key())
	here := known && c.owner.Owns(shard)
	c.mu.Unlock()
	to, ok := c.peers.OwnerOf(shard)
	if here || !r.Relay || !known || !ok || to == c.self {
		return c.DoHere(ctx, r)
	}
	r.Relay = false
	return c.forward.Forward(ctx, to, r)
}

// DoHere runs a call with a key at this daemon, which must own its shard. The
// call is not withdrawn when the context ends: its outcome is recorded.
func (c *Calls) DoHere(ctx context.Context, r CallRequest) (rings.Stored, error) {
	row := pendingCall{request: r, reply: make(chan msgs.CallReply, 1)}
	c.mu.Lock()
	c.next++
	id := c.next
	c.rows[id] = row
	c.mu.Unlock()
	call := msgs.Call{ID: id, Key: r.key(), Body: r.body(), Deadline: r.Deadline, Until: r.Until, Repeatable: r.Repeatable}
	c.loop.post(func(in *msgs.CallInbox) { in.Calls = append(in.Calls, call) })
	select {
	case reply := <-row.reply:
		if reply.Failure != nil {
			return rings.Stored{}, reply.Failure
		}
		return *reply.Answer, nil
	case <-ctx.Done():
		return rings.Stored{}, verdt.New(verdt.MayHaveRun, verdt.DeadlinePassed, "the deadline passed while the call was in progress")
	}
}

// Direct sends a call without a journal: a call that is safe to repeat, or one
// that goes out once at most.
func (c *Calls) Direct(ctx context.Context, r CallRequest, idempotent bool) (rings.Stored, error) {
	const tries = 3
	var last error
	for range tries {
		answer, err := c.send(ctx, r)
		if err == nil {
			return answer, nil
		}
		last = err
		if !verdt.Of(err, verdt.MayHaveRun).Verdict.Retryable(idempotent) || ctx.Err() != nil {
			break
		}
	}
	return rings.Stored{}, last
}

// send carries one call to one server. A server that refuses the connection did
// not run the call, so the next one is tried.
func (c *Calls) send(ctx context.Context, r CallRequest) (rings.Stored, error) {
	for {
		c.mu.Lock()
		m, ok := c.services.Take(time.Now(), r.Service)
		c.mu.Unlock()
		if !ok {
			return rings.Stored{}, verdt.New(verdt.NotRun, verdt.NoRoute, "no server of the service takes calls", verdt.RetryAt(time.Now().Add(time.Second)))
		}
		answer, err := c.service.Do(ctx, toEngine(m, r))
		unreachable := err != nil && verdt.Of(err, verdt.MayHaveRun).Verdict == verdt.NotRun
		c.mu.Lock()
		c.services.Give(time.Now(), m.ID, unreachable)
		c.mu.Unlock()
		if err == nil {
			return rings.Stored{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body}, nil
		}
		if !unreachable || ctx.Err() != nil {
			return rings.Stored{}, err
		}
	}
}

func toEngine(m model.Member, r CallRequest) engine.Call {
	call := engine.Call{Address: m.Address, Method: r.Method, Path: r.Path, Header: http.Header{}, Body: r.Body}
	if r.ContentType != "" {
		call.Header.Set("Content-Type", r.ContentType)
	}
	if r.Repeatable {
		call.Key = r.Key
	}
	return call
}

func (c *Calls) machine(now time.Time, in *msgs.CallInbox) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner.Tick(now, in, &c.out)
	for _, op := range c.out.Ops {
		c.wg.Go(func() { c.store(op) })
	}
	for _, id := range c.out.Dispatches {
		if row, ok := c.rows[id]; ok {
			c.wg.Go(func() { c.dispatch(id, row.request) })
		}
	}
	for _, r := range c.out.Replies {
		if row, ok := c.rows[r.ID]; ok {
			row.reply <- r
			delete(c.rows, r.ID)
		}
	}
	for _, n := range c.out.Notices {
		c.notice(n)
	}
	return c.out.Wake
}

// dispatch sends a call whose intent is durable. It goes on past the caller's
// deadline, since its outcome is wanted for the journal.
func (c *Calls) dispatch(id msgs.CallID, r CallRequest) {
	ctx, cancel := context.WithDeadline(c.ctx, r.Deadline.Add(dispatchGrace))
	defer cancel()
	answer, err := c.send(ctx, r)
	end := msgs.CallEnd{ID: id}
	if err != nil {
		end.Failure = verdt.Of(err, verdt.MayHaveRun)
	} else {
		end.Answer = &answer
	}
	c.loop.post(func(in *msgs.CallInbox) { in.Ends = append(in.Ends, end) })
}

// dispatchGrace is how long after its deadline a call's outcome is waited for.
const dispatchGrace = 10 * time.Second

// store carries one call to the key-value service.
func (c *Calls) store(op msgs.StoreOp) {
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	r := msgs.StoreResult{Tag: op.Tag, Kind: op.Kind}
	switch op.Kind {
	case msgs.StoreGet:
		r.Entry, r.Outcome = c.kv.Get(ctx, op.Key)
	case msgs.StoreCAS:
		r.Revision, r.Outcome = c.kv.CAS(ctx, op.CAS)
	case msgs.StoreGrant:
		r.Lease, r.Outcome = c.kv.Grant(ctx, time.Until(op.Expires))
	case msgs.StoreKeepAlive:
		r.Outcome = c.kv.KeepAlive(ctx, op.Lease)
	}
	c.watchStore(r.Outcome)
	c.loop.post(func(in *msgs.CallInbox) { in.Results = append(in.Results, r) })
}

// watchStore logs when the key-value service goes down and comes back.
func (c *Calls) watchStore(out model.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	down := out == model.Refused || out == model.Unknown
	if down == c.down || c.ctx.Err() != nil {
		return
	}
	c.down = down
	if down {
		c.log.Info(evlog.StoreDown, "outcome", out.String())
	} else {
		c.log.Info(evlog.StoreUp)
	}
}

// notice logs what happened to a shard. The caller holds mu.
func (c *Calls) notice(n msgs.ShardNotice) {
	switch n.Kind {
	case msgs.ShardOwned:
		c.log.Info(evlog.ShardOwned, "shard", n.Shard, "detail", n.Detail)
		c.peers.ShardChanged(n.Shard, c.owner.Epoch(n.Shard), false)
	case msgs.ShardLost:
		c.log.Info(evlog.ShardLost, "shard", n.Shard, "detail", n.Detail)
	case msgs.ShardReleased:
		c.log.Info(evlog.ShardReleased, "shard", n.Shard)
		c.peers.ShardChanged(n.Shard, c.owner.Epoch(n.Shard), true)
	case msgs.ShardFull:
		c.log.Info(evlog.ShardFull, "shard", n.Shard)
	case msgs.ShardCorrupt:
		c.log.Info(evlog.ShardCorrupt, "shard", n.Shard, "detail", n.Detail)
	}
}
