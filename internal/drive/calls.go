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

// storeTimeout bounds one call to the key-value service. The outcome of a write
// that times out is unknown.
const storeTimeout = 2 * time.Second

// CallRequest is a call to a plain service. It is also the wire format in which
// daemons forward calls to each other.
type CallRequest struct {
	Team        model.Team `cbor:"1,keyasint"`
	Service     string     `cbor:"2,keyasint"`
	Method      string     `cbor:"3,keyasint"`
	Path        string     `cbor:"4,keyasint"`
	ContentType string     `cbor:"5,keyasint"`
	Body        []byte     `cbor:"6,keyasint"`
	// Key is the caller's idempotency key; empty for a call without one.
	Key string `cbor:"7,keyasint"`
	// Deadline is when the caller stops waiting; KeyExpiresAt is when the record of the
	// idempotency key may be discarded.
	Deadline     time.Time `cbor:"8,keyasint"`
	KeyExpiresAt time.Time `cbor:"9,keyasint"`
	// Repeatable is set if the service itself deduplicates calls by the key.
	Repeatable bool `cbor:"10,keyasint"`
	// Relay asks a daemon that does not own the key's shard to forward the call
	// to the owner, because the sending daemon cannot reach the owner.
	Relay bool `cbor:"11,keyasint,omitempty"`
}

// keyDigest returns the digest of the idempotency key. It includes the team and
// the service, so that equal keys of different teams or services differ.
func (r CallRequest) keyDigest() rings.Digest {
	return rings.NewDigest(string(r.Team), r.Service, r.Key)
}

// fingerprint returns a digest of the call's content, by which the reuse of a key
// for a different call is detected.
func (r CallRequest) fingerprint() rings.Digest {
	return rings.NewDigest(r.Method, r.Path, r.ContentType, string(r.Body))
}

// Forwarder sends a call to another daemon: the owner of the call's shard, or a
// relay. Errors are *verdt.Error.
type Forwarder interface {
	Forward(ctx context.Context, to model.DaemonID, r CallRequest) (rings.StoredAnswer, error)
}

// Peers provides what CallExecutor needs to know about the other daemons, and is told of
// changes to the shards owned here.
type Peers interface {
	// OwnerOf returns the last known owner of a shard, or false if none is known.
	OwnerOf(shard int) (model.DaemonID, bool)
	// Relays returns daemons that may be able to reach an owner that this daemon
	// cannot reach.
	Relays(owner model.DaemonID) []model.DaemonID
	// ShardChanged reports that this daemon acquired a shard or released it.
	ShardChanged(shard int, epoch uint64, released bool)
}

// noPeers is the Peers implementation in use until Connect is called.
type noPeers struct{}

func (noPeers) OwnerOf(int) (model.DaemonID, bool)     { return "", false }
func (noPeers) Relays(model.DaemonID) []model.DaemonID { return nil }
func (noPeers) ShardChanged(int, uint64, bool)         {}

// pendingCall is a call with an idempotency key that has no reply yet.
type pendingCall struct {
	request CallRequest
	reply   chan msgs.CallReply
}

// CallExecutor executes calls to plain services: it connects the decision core for shard
// ownership (owner.State) to the services, the key-value service and the other
// daemons.
type CallExecutor struct {
	log     evlog.Log
	self    model.DaemonID
	kv      plat.KV
	service engine.Service
	loop    *eventLoop[*msgs.CallInbox]
	outbox  msgs.CallOutbox

	mu        sync.Mutex
	ctx       context.Context
	ownership *owner.State
	pending   map[msgs.CallID]pendingCall
	lastID    msgs.CallID
	services  *route.Services
	forwarder Forwarder
	peers     Peers
	storeDown bool
	wg        sync.WaitGroup
}

// NewCallExecutor returns a CallExecutor that owns no shards.
func NewCallExecutor(log evlog.Log, cfg owner.Config, kv plat.KV, service engine.Service) *CallExecutor {
	c := &CallExecutor{
		log: log, self: cfg.Self, kv: kv, service: service, ownership: owner.New(cfg),
		pending: map[msgs.CallID]pendingCall{}, services: route.NewServices(),
		peers: noPeers{},
	}
	c.loop = newEventLoop(&msgs.CallInbox{}, &msgs.CallInbox{}, c.tick)
	return c
}

// Connect sets the access to the other daemons. It must be called before Serve.
func (c *CallExecutor) Connect(f Forwarder, p Peers) { c.forwarder, c.peers = f, p }

// String returns the name of this suture.Service in log events.
func (c *CallExecutor) String() string { return "calls" }

// Serve runs the event loop until the context ends. It implements suture.Service.
func (c *CallExecutor) Serve(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	err := c.loop.run(ctx)
	c.wg.Wait()
	return err
}

// SetShards sets the number of shards and the servers to drain.
func (c *CallExecutor) SetShards(n int, drained []string) {
	c.mu.Lock()
	c.services.ApplyDrained(drained)
	c.mu.Unlock()
	c.loop.post(func(in *msgs.CallInbox) { in.Shards = n })
}

// SetFleet sets the daemons that may own shards.
func (c *CallExecutor) SetFleet(f msgs.Fleet) {
	c.loop.post(func(in *msgs.CallInbox) { in.Fleet = &f })
}

// SetList sets the platform's membership list.
func (c *CallExecutor) SetList(list []model.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services.ApplyList(list)
}

// ShardsReleased reports shards that another daemon has released.
func (c *CallExecutor) ShardsReleased(shards []int) {
	c.loop.post(func(in *msgs.CallInbox) { in.Released = append(in.Released, shards...) })
}

// Stop starts the release of all shards; Idle reports when it is complete.
func (c *CallExecutor) Stop() { c.loop.post(func(in *msgs.CallInbox) { in.Stop = true }) }

// HasService reports whether a plain service of this name exists.
func (c *CallExecutor) HasService(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.services.Listed(service)
}

// HasLease reports whether this daemon holds a valid lease, so that it may own shards.
func (c *CallExecutor) HasLease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownership.HasLease(time.Now())
}

// OwnedShards returns the shards that this daemon owns.
func (c *CallExecutor) OwnedShards() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownership.OwnedShards()
}

// ShardOwnership returns the number of shards, the epochs of those owned here, and when the
// lease ends. Its signature is that of the type ShardOwnership.
func (c *CallExecutor) ShardOwnership() (shards int, epochs map[int]uint64, leaseUntil time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownership.ShardOwnership()
}

// Idle reports whether this daemon owns no shard and has no call in progress.
func (c *CallExecutor) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownership.Idle()
}

const (
	// ownerWaitTimeout is how long a call waits for its shard to get an owner.
	ownerWaitTimeout = 3 * time.Second
	// ownerPollInterval is how often a waiting call looks for an owner.
	ownerPollInterval = 50 * time.Millisecond
)

// Do runs a call with a key at the daemon that owns its shard. While the shard has
// no owner, for example during a failover, the call is retried: this is safe, since
// it has not run anywhere yet.
func (c *CallExecutor) Do(ctx context.Context, r CallRequest) (rings.StoredAnswer, error) {
	retryUntil := time.Now().Add(ownerWaitTimeout)
	for {
		answer, err := c.doAtOwner(ctx, r)
		if !isOwnerUnknown(err) || time.Now().After(retryUntil) || time.Now().Add(ownerPollInterval).After(r.Deadline) {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return answer, err
		case <-time.After(ownerPollInterval):
		}
	}
}

// isOwnerUnknown reports whether a call did not run only because its shard has no
// known owner at present.
func isOwnerUnknown(err error) bool {
	f := verdt.AsError(err, verdt.MayHaveRun)
	return f != nil && f.Verdict == verdt.NotRun && f.Reason == verdt.OwnerUnknown
}

// doAtOwner runs a call once: here if this daemon owns the shard, otherwise at the
// owner, directly or via a relay.
func (c *CallExecutor) doAtOwner(ctx context.Context, r CallRequest) (rings.StoredAnswer, error) {
	c.mu.Lock()
	shard, shardsKnown := c.ownership.ShardOf(r.keyDigest())
	ownedHere := shardsKnown && c.ownership.Owns(shard)
	c.mu.Unlock()
	if ownedHere {
		return c.DoLocal(ctx, r)
	}
	to, ok := c.peers.OwnerOf(shard)
	if !shardsKnown || !ok || to == c.self || c.forwarder == nil {
		return rings.StoredAnswer{}, verdt.New(verdt.NotRun, verdt.OwnerUnknown, "no daemon owns the key's shard at present", verdt.RetryAt(time.Now().Add(time.Second)))
	}
	answer, err := c.forwarder.Forward(ctx, to, r)
	if isUnreachable(err) {
		return c.forwardViaRelay(ctx, to, r, err)
	}
	return answer, err
}

// isUnreachable reports whether forwarding failed before any byte of the call
// reached the other daemon.
func isUnreachable(err error) bool {
	f := verdt.AsError(err, verdt.MayHaveRun)
	return f != nil && f.Verdict == verdt.NotRun && f.Reason == verdt.PeerLost
}

// forwardViaRelay sends a call to the owner through a third daemon: with an
// asymmetric network partition the owner may be live, but unreachable from here.
// directErr is the error of the direct attempt.
func (c *CallExecutor) forwardViaRelay(ctx context.Context, owner model.DaemonID, r CallRequest, directErr error) (rings.StoredAnswer, error) {
	r.Relay = true
	for _, to := range c.peers.Relays(owner) {
		answer, err := c.forwarder.Forward(ctx, to, r)
		if !isUnreachable(err) {
			return answer, err
		}
	}
	f := verdt.AsError(directErr, verdt.NotRun)
	return rings.StoredAnswer{}, verdt.New(verdt.NotRun, verdt.OwnerUnknown, f.Message, verdt.RetryAt(f.RetryAt))
}

// DoForwarded runs a call that another daemon forwarded. As a relay it forwards the
// call to the owner once, without the Relay flag, so that calls don't loop.
func (c *CallExecutor) DoForwarded(ctx context.Context, r CallRequest) (rings.StoredAnswer, error) {
	c.mu.Lock()
	shard, shardsKnown := c.ownership.ShardOf(r.keyDigest())
	ownedHere := shardsKnown && c.ownership.Owns(shard)
	c.mu.Unlock()
	to, ok := c.peers.OwnerOf(shard)
	if ownedHere || !r.Relay || !shardsKnown || !ok || to == c.self {
		return c.DoLocal(ctx, r)
	}
	r.Relay = false
	return c.forwarder.Forward(ctx, to, r)
}

// DoLocal runs a call with a key at this daemon, which must own its shard. The end
// of the context ends only the wait: the call continues and its outcome is recorded.
func (c *CallExecutor) DoLocal(ctx context.Context, r CallRequest) (rings.StoredAnswer, error) {
	pending := pendingCall{request: r, reply: make(chan msgs.CallReply, 1)}
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.pending[id] = pending
	c.mu.Unlock()
	call := msgs.Call{ID: id, Key: r.keyDigest(), BodyDigest: r.fingerprint(), Deadline: r.Deadline, KeyExpiresAt: r.KeyExpiresAt, Repeatable: r.Repeatable}
	c.loop.post(func(in *msgs.CallInbox) { in.Calls = append(in.Calls, call) })
	select {
	case reply := <-pending.reply:
		if reply.Failure != nil {
			return rings.StoredAnswer{}, reply.Failure
		}
		return *reply.Answer, nil
	case <-ctx.Done():
		return rings.StoredAnswer{}, verdt.New(verdt.MayHaveRun, verdt.DeadlinePassed, "the deadline passed while the call was in progress")
	}
}

// DoUnjournaled sends a call without a journal entry, in up to maxAttempts attempts. It
// retries only a call that is idempotent or that has not run: any other call runs at
// most once.
func (c *CallExecutor) DoUnjournaled(ctx context.Context, r CallRequest, idempotent bool) (rings.StoredAnswer, error) {
	const maxAttempts = 3
	var lastErr error
	for range maxAttempts {
		answer, err := c.sendToServer(ctx, r)
		if err == nil {
			return answer, nil
		}
		lastErr = err
		if !verdt.AsError(err, verdt.MayHaveRun).Verdict.Retryable(idempotent) || ctx.Err() != nil {
			break
		}
	}
	return rings.StoredAnswer{}, lastErr
}

// sendToServer sends a call to a server of its service. A server that refuses the
// connection has not run the call, so the next server is tried.
func (c *CallExecutor) sendToServer(ctx context.Context, r CallRequest) (rings.StoredAnswer, error) {
	for {
		c.mu.Lock()
		member, ok := c.services.Acquire(time.Now(), r.Service)
		c.mu.Unlock()
		if !ok {
			return rings.StoredAnswer{}, verdt.New(verdt.NotRun, verdt.NoRoute, "no server of the service takes calls", verdt.RetryAt(time.Now().Add(time.Second)))
		}
		answer, err := c.service.Do(ctx, toEngineCall(member, r))
		unreachable := err != nil && verdt.AsError(err, verdt.MayHaveRun).Verdict == verdt.NotRun
		c.mu.Lock()
		c.services.Release(time.Now(), member.ID, unreachable)
		c.mu.Unlock()
		if err == nil {
			return rings.StoredAnswer{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body}, nil
		}
		if !unreachable || ctx.Err() != nil {
			return rings.StoredAnswer{}, err
		}
	}
}

// toEngineCall builds the HTTP call to a server. The server gets the idempotency key
// only if it deduplicates calls by it.
func toEngineCall(member model.Member, r CallRequest) engine.Call {
	call := engine.Call{Address: member.Address, Method: r.Method, Path: r.Path, Header: http.Header{}, Body: r.Body}
	if r.ContentType != "" {
		call.Header.Set("Content-Type", r.ContentType)
	}
	if r.Repeatable {
		call.Key = r.Key
	}
	return call
}

// tick runs one tick of the ownership core and executes the commands it returns.
func (c *CallExecutor) tick(now time.Time, in *msgs.CallInbox) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownership.Tick(now, in, &c.outbox)
	for _, op := range c.outbox.Ops {
		c.wg.Go(func() { c.executeStoreOp(op) })
	}
	for _, id := range c.outbox.Dispatches {
		if pending, ok := c.pending[id]; ok {
			c.wg.Go(func() { c.dispatch(id, pending.request) })
		}
	}
	for _, reply := range c.outbox.Replies {
		if pending, ok := c.pending[reply.ID]; ok {
			pending.reply <- reply
			delete(c.pending, reply.ID)
		}
	}
	for _, n := range c.outbox.Notices {
		c.handleNotice(n)
	}
	return c.outbox.Wake
}

// dispatch sends a call whose intent is in the journal. It continues for
// dispatchGrace after the caller's deadline, to record the outcome in the journal.
func (c *CallExecutor) dispatch(id msgs.CallID, r CallRequest) {
	ctx, cancel := context.WithDeadline(c.ctx, r.Deadline.Add(dispatchGrace))
	defer cancel()
	answer, err := c.sendToServer(ctx, r)
	end := msgs.CallEnd{ID: id}
	if err != nil {
		end.Failure = verdt.AsError(err, verdt.MayHaveRun)
	} else {
		end.Answer = &answer
	}
	c.loop.post(func(in *msgs.CallInbox) { in.Ends = append(in.Ends, end) })
}

// dispatchGrace is how long after a call's deadline its outcome is still awaited.
const dispatchGrace = 10 * time.Second

// executeStoreOp makes one call to the key-value service and posts the result.
func (c *CallExecutor) executeStoreOp(op msgs.StoreOp) {
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	result := msgs.StoreResult{Tag: op.Tag, Kind: op.Kind}
	switch op.Kind {
	case msgs.StoreGet:
		result.Entry, result.Outcome = c.kv.Get(ctx, op.Key)
	case msgs.StoreCAS:
		result.Revision, result.Outcome = c.kv.CAS(ctx, op.CAS)
	case msgs.StoreGrant:
		result.Lease, result.Outcome = c.kv.Grant(ctx, time.Until(op.Expires))
	case msgs.StoreKeepAlive:
		result.Outcome = c.kv.KeepAlive(ctx, op.Lease)
	}
	c.logStoreState(result.Outcome)
	c.loop.post(func(in *msgs.CallInbox) { in.Results = append(in.Results, result) })
}

// logStoreState logs when the key-value service becomes unavailable and when it is
// available again.
func (c *CallExecutor) logStoreState(outcome model.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	down := outcome == model.Refused || outcome == model.Unknown
	if down == c.storeDown || c.ctx.Err() != nil {
		return
	}
	c.storeDown = down
	if down {
		c.log.Info(evlog.StoreDown, "outcome", outcome.String())
	} else {
		c.log.Info(evlog.StoreUp)
	}
}

// handleNotice logs what happened to a shard and tells the peers if it was acquired
// or released. The caller holds mu.
func (c *CallExecutor) handleNotice(notice msgs.ShardNotice) {
	switch notice.Kind {
	case msgs.ShardOwned:
		c.log.Info(evlog.ShardOwned, "shard", notice.Shard, "detail", notice.Detail)
		c.peers.ShardChanged(notice.Shard, c.ownership.Epoch(notice.Shard), false)
	case msgs.ShardLost:
		c.log.Info(evlog.ShardLost, "shard", notice.Shard, "detail", notice.Detail)
	case msgs.ShardReleased:
		c.log.Info(evlog.ShardReleased, "shard", notice.Shard)
		c.peers.ShardChanged(notice.Shard, c.ownership.Epoch(notice.Shard), true)
	case msgs.ShardFull:
		c.log.Info(evlog.ShardFull, "shard", notice.Shard)
	case msgs.ShardCorrupt:
		c.log.Info(evlog.ShardCorrupt, "shard", notice.Shard, "detail", notice.Detail)
	}
}
