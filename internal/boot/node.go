package boot

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"

	"bulrushpond.example/bulrushpond/internal/admin"
	"bulrushpond.example/bulrushpond/internal/burn"
	"bulrushpond.example/bulrushpond/internal/conns"
	"bulrushpond.example/bulrushpond/internal/core/fleet"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/owner"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/force"
	"bulrushpond.example/bulrushpond/internal/front"
	"bulrushpond.example/bulrushpond/internal/peer"
	"bulrushpond.example/bulrushpond/internal/plat"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// Daemon is a daemon of the serve and dev commands, with all its components.
type Daemon struct {
	deps         Dependencies
	file         File
	platform     *plat.HTTPClient
	engines      *engine.HTTPClient
	broken       *brokenAnswers
	keeper       *force.Keeper
	streams      *drive.StreamExecutor
	calls        *drive.CallExecutor
	orders       *drive.OrderSender
	burnRecorder *burn.Recorder
	client       *peer.Client
	server       *peer.Server
	// ports are the listeners, which limit what their clients hold.
	ports clientPorts

	shutdownDelay time.Duration
	// gossipTrigger starts a gossip round before the interval has passed.
	gossipTrigger chan struct{}

	stopping atomic.Bool
	// initialReportsRead is set after the first attempt to read the engines' reports.
	initialReportsRead atomic.Bool

	mu sync.Mutex
	// lastIncomingGossip is when another daemon last sent gossip to this one; guarded by
	// mu.
	lastIncomingGossip time.Time
	// fleet, reports and members are guarded by mu.
	fleet   *fleet.State
	reports *fleet.Reports
	members []model.Member
	// addresses are the addresses of members by ID; guarded by mu.
	addresses map[model.ServerID]string
}

// DaemonOption configures a Daemon.
type DaemonOption func(*Daemon)

// WithShutdownDelay sets how long a stopping daemon still accepts new requests.
func WithShutdownDelay(delay time.Duration) DaemonOption {
	return func(d *Daemon) { d.shutdownDelay = delay }
}

// NewDaemon opens the listeners of a daemon and connects its components, which start in
// Run.
func NewDaemon(deps Dependencies, file File, opts ...DaemonOption) (*Daemon, error) {
	processID, base, err := newProcessID()
	if err != nil {
		return nil, err
	}
	broken := newBrokenAnswers(deps.Log)
	d := &Daemon{
		deps: deps, file: file, broken: broken,
		platform:           plat.NewHTTPClient(file.Platform, plat.WithObserver(broken)),
		engines:            engine.NewHTTPClient(engine.WithObserver(broken)),
		lastIncomingGossip: time.Now(),
		gossipTrigger:      make(chan struct{}, 1),

		shutdownDelay: defaultShutdownDelay,
		fleet:         fleet.New(model.DaemonID(file.Daemon)),
		reports:       fleet.NewReports(model.DaemonID(file.Daemon)),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.keeper = force.NewKeeper(deps.Log, d.platform, d.applySettings)
	d.streams = drive.NewStreamExecutor(deps.Log, d.engines, base)
	d.calls = drive.NewCallExecutor(deps.Log, owner.DefaultConfig(d.daemonID(), processID), d.platform, d.engines)
	d.orders = drive.NewOrderSender(deps.Log, d.engines, d.platform, d.calls.ShardOwnership)
	d.burnRecorder = burn.NewRecorder(d.burnLimits)
	if err := d.listen(); err != nil {
		return d, err
	}
	publishMetrics(d)
	return d, nil
}

// newProcessID returns a random ID that distinguishes this process from others of the same
// VM, and a random base for request IDs.
func newProcessID() (id string, base uint64, err error) {
	var random [16]byte
	if _, err := crand.Read(random[:]); err != nil {
		return "", 0, trace.Wrap(err)
	}
	return hex.EncodeToString(random[8:]), binary.LittleEndian.Uint64(random[:8]), nil
}

// daemonID returns the ID of this daemon.
func (d *Daemon) daemonID() model.DaemonID { return model.DaemonID(d.file.Daemon) }

// listen opens the listeners for peers, callers and operators.
func (d *Daemon) listen() error {
	tlsConfig, err := d.file.Keys.TLS()
	if err != nil {
		return err
	}
	d.client = peer.NewClient(tlsConfig, d.peerAddress, peer.WithObserver(d.broken))
	d.calls.Connect(d.client, d)
	if d.server, err = peer.Listen(d.file.Peers, tlsConfig, d, peer.WithPanicHook(func(err error) { d.deps.Log.Error(err, evlog.WorkFailed, "part", "peers") })); err != nil {
		return err
	}
	callers, err := listenClients(context.Background(), d.deps.Log, d.file.Callers)
	if err != nil {
		return trace.Wrap(err)
	}
	operators, err := listenClients(context.Background(), d.deps.Log, d.file.Admin)
	if err != nil {
		return trace.Wrap(err)
	}
	d.ports = newClientPorts(map[string]*conns.Listener{
		portCallers: conns.Limit(callers, processLimits(d.deps.Log), conns.WithHeadLimit(func() int { return front.MaxHeaderBytes })),
		portAdmin:   conns.Limit(operators, adminLimits, conns.WithHeadLimit(func() int { return admin.MaxHeaderBytes })),
	}, d.server)
	return nil
}

// CallersAddress returns the address that serves callers.
func (d *Daemon) CallersAddress() string { return d.ports.listeners[portCallers].Addr().String() }

// AdminAddress returns the address that serves operators.
func (d *Daemon) AdminAddress() string { return d.ports.listeners[portAdmin].Addr().String() }

// PeersAddress returns the address that serves other daemons.
func (d *Daemon) PeersAddress() string { return d.server.Address() }

const (
	// defaultShutdownDelay is how long a stopping daemon still accepts new requests: the
	// platform's balancer may send them that long after the daemon stops being ready.
	defaultShutdownDelay = 2 * time.Second
	// gracefulShutdownTimeout limits how long a stopping daemon waits for work in flight.
	gracefulShutdownTimeout = 2 * time.Minute
	// pollInterval is the time between two checks of a condition that is waited for.
	pollInterval = 20 * time.Millisecond
	// forwardGracePeriod is how long a call that was forwarded to this daemon may be in
	// transit.
	forwardGracePeriod = 500 * time.Millisecond
)

// Run serves until ctx ends, then shuts down gracefully: it fails the readiness check, still
// accepts new requests for the shutdown delay, completes the requests in flight and releases
// its shards.
func (d *Daemon) Run(ctx context.Context) error {
	servicesContext, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	callerServer, adminServer := d.httpServers()
	supervisor := d.newDaemonSupervisor(callerServer, adminServer)
	supervisorDone := supervisor.ServeBackground(servicesContext)
	d.deps.Log.Info(evlog.DaemonStarted, "daemon", d.file.Daemon, "callers", d.CallersAddress(), "admin", d.AdminAddress(), "peers", d.PeersAddress())
	select {
	case <-ctx.Done():
	case err := <-supervisorDone:
		return trace.Wrap(err)
	}
	err := d.shutDown(callerServer)
	stopServices()
	if supervisorErr := <-supervisorDone; supervisorErr != nil && !errors.Is(supervisorErr, context.Canceled) {
		err = errors.Join(err, supervisorErr)
	}
	_ = adminServer.Close()
	d.client.Close()
	return err
}

// httpServers returns the HTTP servers for callers and for operators.
func (d *Daemon) httpServers() (callerServer, adminServer *http.Server) {
	callerFront := front.New(d.deps.Log, d.streams, d.calls, d.keeper.EffectiveSettings, front.WithObserver(d.burnRecorder), front.WithReady(d.ready))
	adminAPI := admin.New(d, d.file.AdminKeySHA256)
	return callerFront.Server(), adminAPI.Server()
}

// newDaemonSupervisor returns a supervisor with all services of the daemon.
func (d *Daemon) newDaemonSupervisor(callerServer, adminServer *http.Server) *suture.Supervisor {
	supervisor := newSupervisor("daemon", d.deps.Log)
	addParts(supervisor, d.deps.Log,
		d.streams,
		d.calls,
		d.orders,
		d.keeper,
		d.server,
		periodicTask{name: "gossip", interval: gossipInterval, run: d.gossip, trigger: d.gossipTrigger},
		periodicTask{name: "members", interval: listInterval, run: d.readMembers},
		periodicTask{name: "reports", interval: reportInterval, run: d.readReports},
		d.ports.serve(d.deps.Log, portCallers, callerServer),
		d.ports.serve(d.deps.Log, portAdmin, adminServer),
		d.ports.report(d.deps.Log),
	)
	return supervisor
}

// serviceStopTimeout is how long the supervisor waits for a service to stop.
const serviceStopTimeout = 5 * time.Second

// ready returns why the daemon is not ready for new requests, or nil. It is the readiness
// check of /readyz.
func (d *Daemon) ready() error {
	if d.stopping.Load() {
		return trace.ConnectionProblem(nil, "stopping")
	}
	if !d.initialReportsRead.Load() {
		return trace.ConnectionProblem(nil, "the backend servers are not known yet")
	}
	return d.keeper.Current()
}

// shutDown stops the daemon gracefully: it fails the readiness check, waits for the shutdown
// delay, completes the work in flight and announces that its shards are released.
func (d *Daemon) shutDown(callerServer *http.Server) error {
	d.deps.Log.Info(evlog.DaemonStopping)
	d.stopping.Store(true)
	time.Sleep(d.shutdownDelay)
	d.calls.Stop()
	deadline := time.Now().Add(gracefulShutdownTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	// Shutdown closes the listener and waits for the requests in flight, which the streams
	// and calls still serve.
	err := callerServer.Shutdown(ctx)
	for !d.calls.Idle() && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
	if err != nil || !d.calls.Idle() {
		d.deps.Log.Error(trace.LimitExceeded("work was still in flight at the shutdown deadline"), evlog.DaemonStopForced)
		return trace.LimitExceeded("the graceful shutdown took longer than %s", gracefulShutdownTimeout)
	}
	// Another daemon may have forwarded a call before it received the release. It must get
	// the refusal with the verdict not_run before the process ends; without a response it
	// would have to answer may_have_run.
	d.announceRelease()
	for graceEnd := time.Now().Add(forwardGracePeriod); time.Now().Before(graceEnd) || (!d.server.Idle() && time.Now().Before(deadline)); {
		time.Sleep(pollInterval)
	}
	d.deps.Log.Info(evlog.DaemonStopped)
	return nil
}

// applySettings passes a new settings revision to the components that use it.
func (d *Daemon) applySettings(settings *setts.EffectiveSettings) {
	root := settings.At(setts.Root)
	d.streams.SetSettings(settings)
	d.calls.SetShards(root.Shards, root.DrainServers)
	d.orders.SetPlacement(root)
	d.triggerGossip()
}

// burnLimits returns the objectives of a team in the burn report.
func (d *Daemon) burnLimits(team model.Team) burn.Limits {
	policy := setts.Defaults()
	if settings := d.keeper.EffectiveSettings(); settings != nil {
		policy = settings.At(string(team))
	}
	return burn.Limits{FirstToken: policy.FirstToken, Gap: policy.TokenGap, Share: policy.ObjectiveShare}
}

// peerAddress returns the address of another daemon, if the membership list has it.
func (d *Daemon) peerAddress(id model.DaemonID) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	member, ok := d.fleet.Member(id)
	return member.Address, ok
}

// OwnerOf implements drive.Peers: it returns the owner of a shard, if it is known.
func (d *Daemon) OwnerOf(shard int) (model.DaemonID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.Owner(shard)
}

// maxRelays limits how many daemons are tried as relays to the owner of a shard.
const maxRelays = 2

// maxUnreachableTime is how long a daemon that receives no gossip may own shards.
const maxUnreachableTime = 10 * time.Second

// reachable reports whether other daemons can reach this one, judged by incoming gossip.
// If only its incoming connections fail, the others still receive its heartbeats and would
// take it for the owner of its shards, which they cannot call: it must not keep them. The
// caller holds mu.
func (d *Daemon) reachable(now time.Time) bool {
	others := slices.DeleteFunc(d.fleet.Live(now), func(id model.DaemonID) bool { return id == d.daemonID() })
	return len(others) == 0 || now.Sub(d.lastIncomingGossip) < maxUnreachableTime
}

// Relays implements drive.Peers: it returns up to maxRelays live daemons in random order,
// without this one and the owner.
func (d *Daemon) Relays(shardOwner model.DaemonID) []model.DaemonID {
	d.mu.Lock()
	defer d.mu.Unlock()
	live := slices.DeleteFunc(d.fleet.Live(time.Now()), func(id model.DaemonID) bool { return id == shardOwner || id == d.daemonID() })
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), maxRelays)]
}

// ShardChanged implements drive.Peers: it spreads a change of shard ownership by gossip.
func (d *Daemon) ShardChanged(shard int, epoch uint64, released bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.SetOwned(fleet.Ownership{Shard: shard, Epoch: epoch, Daemon: d.daemonID(), Released: released})
	d.triggerGossip()
}

// shardOwnerView returns the live daemons, which shard ownership depends on. The caller
// holds mu.
func (d *Daemon) shardOwnerView() msgs.Fleet {
	return msgs.Fleet{Live: d.fleet.Live(time.Now())}
}
