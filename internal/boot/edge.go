package boot

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"

	"bulrushpond.example/bulrushpond/internal/burn"
	"bulrushpond.example/bulrushpond/internal/conns"
	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/elect"
	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/internal/core/relay"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/internal/core/roster"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/peer"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/platform"
)

// EdgeCmd runs a daemon on a VM of the platform.
type EdgeCmd struct {
	MetricsPort uint16 `default:"0" help:"${help_metrics_port}"`
	Debug       bool   `name:"debug-log" help:"${help_debug}"`
	Balance     string `enum:"cheapest,paced,even" default:"cheapest" help:"${help_balance}"`
}

// Run implements the command.
func (c *EdgeCmd) Run(ctx context.Context, deps Dependencies) error {
	vm, err := platform.ReadVMSettings()
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	setRuntimeLimits(vm)
	// The reader of the log may go away; the daemon goes on without one.
	signal.Ignore(syscall.SIGPIPE)
	writer := evlog.NewWriter(deps.Out)
	logContext, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	go writer.Run(logContext)
	defer func() {
		stopLogging()
		<-writer.Ended()
	}()
	deps.Log = NewLog(writer, c.Debug)
	daemon, err := NewEdgeDaemon(deps, vm, c.MetricsPort, c.options()...)
	if err != nil {
		return err
	}
	publishEdgeMetrics(daemon, writer)
	return daemon.Run(ctx)
}

const (
	// memoryLimitShare is the fraction of the VM's memory limit above which the
	// garbage collector runs more often; the rest is for stacks, sockets and the program
	// itself.
	memoryLimitShare = 0.6
	// gcPercent is how much the heap may grow between two collections, in percent.
	gcPercent = 200
)

// setRuntimeLimits adapts the Go runtime to the VM's cores and memory limit.
func setRuntimeLimits(vm platform.VMSettings) {
	runtime.GOMAXPROCS(vm.Cores)
	debug.SetGCPercent(gcPercent)
	if vm.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(vm.MemoryBytes)))
	}
}

// edgeFDs returns the number of descriptors that a daemon on a VM may have open.
func edgeFDs(l evlog.Log, vm platform.VMSettings) int {
	if vm.MaxFDs > 0 {
		return min(processFDs(l), vm.MaxFDs)
	}
	return processFDs(l)
}

// edgeLimits returns the limits for what callers hold.
func edgeLimits(l evlog.Log, vm platform.VMSettings) conns.Limits {
	return conns.Limits{Clients: maxCallers(edgeFDs(l, vm)), Refused: refusedCallers, Bytes: shareOf(vm.MemoryBytes, callersMemoryShare, defaultCallersMemory)}
}

// headLimit returns the operators' limit for the head of a request, in bytes.
func (d *EdgeDaemon) headLimit() int {
	if routing := d.edge.Routing(); routing != nil && routing.Limits.HeaderBytes > 0 {
		return routing.Limits.HeaderBytes
	}
	return platform.MaxHeaderBytes
}

const (
	// placementKey is the key in the platform's key-value service that names the owner of
	// the placement. The owner is also the hub: it reads the service for all daemons.
	placementKey = "bulrushpond/placement"
	// ownerSeparator separates the peer address from the process ID in the value of
	// placementKey.
	ownerSeparator = "/"
)

const (
	// claimDelaySpread spreads the claims of a vacant placement ownership, so that most
	// daemons see the first claim before they make their own.
	claimDelaySpread = 600 * time.Millisecond
	// lapsedEntryHold is how long after an outage or a restore of the key-value service a
	// server whose entry is missing is still used: live servers write their entries again.
	lapsedEntryHold = 2200 * time.Millisecond
	// entryExpiryBeats is the number of missed heartbeats after which an entry expires, and
	// entryExpiryMargin the time until this daemon has learned of it.
	entryExpiryBeats  = 3
	entryExpiryMargin = time.Second
	// certificateLifetime exceeds the uptime of any process.
	certificateLifetime = 10 * 365 * 24 * time.Hour
	// edgeShutdownDelay is how long a stopping daemon still accepts new requests. It
	// covers two readiness checks of the balancer.
	edgeShutdownDelay = 2500 * time.Millisecond
	// shutdownMargin is subtracted from the VM's stop time to get the shutdown deadline.
	shutdownMargin = 300 * time.Millisecond
	// shutdownAnswerTime is how long after the shutdown deadline the last answers may take: less than shutdownMargin.
	shutdownAnswerTime = 150 * time.Millisecond
	// shutdownPollInterval is how often a stopping daemon checks whether requests are in progress.
	shutdownPollInterval = 20 * time.Millisecond
)

// claimDelay returns how long a daemon waits before it claims the vacant placement
// ownership: less than 1.5 times claimDelaySpread. VMs with more CPU get a shorter delay,
// because the owner answers all other daemons several times a second.
func claimDelay(vm platform.VMSettings) time.Duration {
	weakness := 1 - min(1, vm.CPUShare*float64(vm.Cores))
	return time.Duration(weakness*float64(claimDelaySpread)) + time.Duration(rand.Int64N(int64(claimDelaySpread/2)))
}

// EdgeDaemon is a daemon on a VM of the platform, with all its components.
type EdgeDaemon struct {
	deps         Dependencies
	vm           platform.VMSettings
	store        *platform.StoreClient
	engines      *platform.EngineClient
	streams      *drive.StreamExecutor
	edge         *drive.Edge
	feed         *drive.StoreMirror
	duty         *drive.Duty
	server       *peer.Server
	client       *peer.Client
	burnRecorder *burn.Recorder
	processID    string
	// shutdownDelay is how long a stopping daemon still accepts new requests.
	shutdownDelay time.Duration
	broken        *brokenAnswers
	// serverOptions configure the client for backend servers.
	serverOptions []platform.EngineClientOption
	// balance is how the load of the engines is balanced; nil for the cheapest chain.
	balance func(*even.Paces) route.ChainsOption

	// ports are the listeners that limit what their clients hold.
	ports    clientPorts
	stopping atomic.Bool
	// pauses counts the answers in which a server asked for a pause, leaving the servers that
	// said that they will stop.
	pauses, leaving atomic.Uint64
	// limitedAnswers counts the answers in which a server named a limit, invalidHeaders the headers
	// that could not be used.
	limitedAnswers, invalidHeaders atomic.Uint64

	mu sync.Mutex
	// roster holds the backend servers as of changesAsOf, the time of the last changes from
	// the key-value service; both guarded by mu.
	roster      *roster.State
	changesAsOf time.Time
	// rejectedSpans holds the layers of the entries that are not used because their model does not have them, by key;
	// guarded by mu.
	rejectedSpans map[string]model.Span
	// peers are the addresses of a few other daemons; daemonCount is the number of all
	// daemons, at least 1; both guarded by mu.
	peers       []string
	daemonCount int
	// fleetSize is used by storeFleet only.
	fleetSize retry.FleetSize
	// peerCursor is the round-robin position among the peers and seeds, modulo their
	// number; guarded by mu.
	peerCursor int
	// loadBoard holds the load in progress of all daemons, while this daemon is the hub;
	// guarded by mu.
	loadBoard *board.State
	// limits shares out the limits of servers, while this daemon is the hub; guarded by mu.
	limits *limit.Allocator
	// retries shares out the retry budgets, while this daemon is the hub; guarded by mu.
	retries *retry.Allocator
	// run identifies this run in the reports to the hub and, as the hub, in its answers.
	run uint64
	// retryReports is the number of reports to hubs, and retryHub the run of the hub whose shares this daemon
	// holds; both guarded by mu.
	retryReports, retryHub uint64
}

// EdgeDaemonOption configures an EdgeDaemon.
type EdgeDaemonOption func(*EdgeDaemon)

// WithEdgeShutdownDelay sets how long a stopping daemon still accepts new requests.
func WithEdgeShutdownDelay(delay time.Duration) EdgeDaemonOption {
	return func(d *EdgeDaemon) { d.shutdownDelay = delay }
}

// WithServerDialer replaces how connections to backend servers are opened.
func WithServerDialer(dial platform.DialFunc) EdgeDaemonOption {
	return func(d *EdgeDaemon) { d.serverOptions = append(d.serverOptions, platform.WithDialer(dial)) }
}

// NewEdgeDaemon opens the listeners of a daemon and connects its components, which start
// in Run.
func NewEdgeDaemon(deps Dependencies, vm platform.VMSettings, metricsPort uint16, opts ...EdgeDaemonOption) (*EdgeDaemon, error) {
	processID, base, err := newProcessID()
	if err != nil {
		return nil, err
	}
	broken := newBrokenAnswers(deps.Log)
	d := &EdgeDaemon{
		deps: deps, vm: vm, store: platform.NewStoreClient(vm.StoreAddress, platform.WithStoreObserver(broken)), broken: broken, processID: processID,
		roster: roster.New(entryExpiryBeats*vm.HeartbeatInterval+entryExpiryMargin, lapsedEntryHold), loadBoard: board.New(), limits: limit.NewAllocator(base), daemonCount: 1, shutdownDelay: edgeShutdownDelay,
		run: uint64(time.Now().UnixNano()),
	}
	d.retries = retry.NewAllocator(d.run, vm.RetryBurst, vm.RetryWindow)
	for _, opt := range opts {
		opt(d)
	}
	d.engines = platform.NewEngineClient(append(d.serverOptions, platform.WithObserver(d), platform.WithMaxConns(maxCallers(edgeFDs(deps.Log, vm))), platform.WithLongAnswersLimit(shareOf(vm.MemoryBytes, answersMemoryShare, defaultAnswersMemory)))...)
	budget := func() *retry.Budget {
		return retry.New(vm.RetryRatio, vm.RetryBurst, vm.RetryWindow, retry.WithShares())
	}
	d.streams = drive.NewStreamExecutor(deps.Log, d.engines, base,
		append(d.routing(base), core.WithBudget(budget()), core.WithStallCheck(), core.WithSeed(base), core.WithAuthoritativeList())...)
	d.streams.LimitUnread(shareOf(vm.MemoryBytes, eventsMemoryShare, defaultEventsMemory))
	d.burnRecorder = burn.NewRecorder(d.burnLimits)
	d.edge = drive.NewEdge(deps.Log, d.streams, d.engines, relay.New(vm.Zone, budget(), base), base, d.burnRecorder, drive.WithProxies(d.engines, proxyClient{d}))
	// Entries expire after some missed heartbeats, of which the latest may have come long before an outage, and the next
	// long after it.
	d.feed = drive.NewStoreMirror(deps.Log, d.store, d, d.applyStoreChanges, drive.WithMinOutage((entryExpiryBeats-2)*vm.HeartbeatInterval))
	if err := d.listen(metricsPort); err != nil {
		return nil, err
	}
	d.duty = drive.NewDuty(deps.Log, d.store, d.engines, d, &elect.State{
		Process: d.vm.PeersAddress + ownerSeparator + processID, DutyKey: placementKey,
		Wait: claimDelay(vm), FleetStarts: vm.FleetStarts,
	})
	return d, nil
}

// proxyClient sends requests to other daemons over a daemon's peer client, which is created after the Edge.
type proxyClient struct{ daemon *EdgeDaemon }

// OpenProxy implements drive.ProxyClient.
func (p proxyClient) OpenProxy(ctx context.Context, address string, q drive.ProxyRequest) (drive.ProxyStream, error) {
	return p.daemon.client.OpenProxy(ctx, address, q)
}

// listen opens the listeners and replaces the addresses in d.vm by the actual ones, since
// a port may be 0.
func (d *EdgeDaemon) listen(metricsPort uint16) error {
	tlsConfig, err := peer.UnauthenticatedTLS(d.vm.VMName, time.Now().Add(certificateLifetime))
	if err != nil {
		return err
	}
	d.client = peer.NewClient(tlsConfig, func(model.DaemonID) (string, bool) { return "", false }, peer.WithObserver(d))
	if d.server, err = peer.Listen(d.vm.PeersAddress, tlsConfig, d, peer.WithRequestMemory(shareOf(d.vm.MemoryBytes, peersMemoryShare, defaultPeersMemory)), peer.WithPanicHook(func(err error) { d.deps.Log.Error(err, evlog.WorkFailed, "part", "peers") })); err != nil {
		return err
	}
	callers, err := listenClients(context.Background(), d.deps.Log, d.vm.CallersAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	readiness, err := listenClients(context.Background(), d.deps.Log, d.vm.ReadinessAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	d.vm.PeersAddress, d.vm.CallersAddress, d.vm.ReadinessAddress = d.server.Address(), callers.Addr().String(), readiness.Addr().String()
	listeners := map[string]*conns.Listener{
		portCallers:   conns.Limit(callers, edgeLimits(d.deps.Log, d.vm), conns.WithHeadLimit(d.headLimit)),
		portReadiness: conns.Limit(readiness, checkLimits, conns.WithHeadLimit(func() int { return platform.MaxCheckHeaderBytes })),
	}
	if metricsPort > 0 {
		metrics, err := listenClients(context.Background(), d.deps.Log, net.JoinHostPort(d.vm.IP, strconv.Itoa(int(metricsPort))))
		if err != nil {
			return trace.Wrap(err)
		}
		listeners[portMetrics] = conns.Limit(metrics, metricsLimits, conns.WithHeadLimit(func() int { return maxMetricsHeadBytes }))
	}
	d.ports = newClientPorts(listeners, d.server)
	return nil
}

// CallersAddress returns the address that serves callers.
func (d *EdgeDaemon) CallersAddress() string { return d.vm.CallersAddress }

// ReadinessAddress returns the address that serves the balancer's readiness checks.
func (d *EdgeDaemon) ReadinessAddress() string { return d.vm.ReadinessAddress }

// PeersAddress returns the address that serves other daemons.
func (d *EdgeDaemon) PeersAddress() string { return d.vm.PeersAddress }

// Run serves until ctx ends, then shuts down gracefully. SIGHUP reloads the seeds.
func (d *EdgeDaemon) Run(ctx context.Context) error {
	servicesContext, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	callers := newCallerServer(platform.NewIngress(d.edge), d.ports.listeners[portCallers])
	supervisor := newSupervisor("edge", d.deps.Log)
	parts := []suture.Service{
		d.streams,
		d.feed,
		periodicTask{name: "hub", interval: drive.HubInterval, run: d.feed.AskHub},
		d.duty,
		periodicTask{name: "reach", interval: drive.ReachInterval, run: d.edge.CheckReach},
		periodicTask{name: "board", interval: ownLoadInterval, run: d.recordOwnLoad},
		periodicTask{name: "fleet", interval: fleetInterval, run: d.storeFleet},
		periodicTask{name: "blocks", interval: blocksInterval, run: d.storeBlocks},
		d.server,
		d.ports.serve(d.deps.Log, portCallers, callers.Server),
		d.ports.report(d.deps.Log),
		d.reportUnlogged(),
		d.ports.serve(d.deps.Log, portReadiness, platform.NewReadinessServer(d.ready)),
	}
	if d.ports.listeners[portMetrics] != nil {
		parts = append(parts, d.ports.serve(d.deps.Log, portMetrics, d.metricsServer()))
	}
	addParts(supervisor, d.deps.Log, parts...)
	supervisorDone := supervisor.ServeBackground(servicesContext)
	d.deps.Log.Info(evlog.DaemonStarted, "daemon", d.vm.VMName, "zone", d.vm.Zone, "process", d.processID,
		"version", d.deps.Build.Version, "callers", d.vm.CallersAddress, "peers", d.vm.PeersAddress, "store", d.vm.StoreAddress)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.deps.Hangups:
			d.reloadSeeds()
		case err := <-supervisorDone:
			return trace.Wrap(err)
		}
	}
	d.shutDown(callers)
	stopServices()
	err := <-supervisorDone
	d.client.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// reloadSeeds reads the VM's settings file again and applies its seeds. All other values of
// the file need a restart.
func (d *EdgeDaemon) reloadSeeds() {
	vm, err := platform.ReadVMSettings()
	if err != nil {
		d.deps.Log.Error(err, evlog.FileUnreadable)
		return
	}
	d.mu.Lock()
	d.vm.Seeds = vm.Seeds
	d.mu.Unlock()
	d.deps.Log.Info(evlog.FileReloaded, "seeds", vm.Seeds)
}

// reportUnlogged returns the task that logs how many refused requests were not logged.
func (d *EdgeDaemon) reportUnlogged() periodicTask {
	last := d.edge.UnloggedRefusals()
	return periodicTask{name: "refusals", interval: clientsInterval, run: func(context.Context) {
		if now := d.edge.UnloggedRefusals(); now > last {
			d.deps.Log.Info(evlog.RefusalsUnlogged, "requests", now-last)
			last = now
		}
	}}
}

// ready returns why the daemon is not ready for new requests, or nil. It is the
// balancer's readiness check.
func (d *EdgeDaemon) ready() error {
	switch {
	case d.stopping.Load():
		return trace.ConnectionProblem(nil, "stopping")
	case d.edge.Routing() == nil:
		return trace.ConnectionProblem(nil, "no settings yet")
	}
	return nil
}

// shutDown stops the daemon gracefully: it fails the readiness check, still accepts new
// requests for the shutdown delay, and then waits for requests in flight until the VM's
// stop time is nearly used up. The rest end with an answer that says whether they may have run.
func (d *EdgeDaemon) shutDown(callers *callerServer) {
	began := time.Now()
	deadline := began.Add(d.vm.ShutdownTimeout - shutdownMargin)
	d.deps.Log.Info(evlog.DaemonStopping, "running", d.edge.InProgress())
	d.stopping.Store(true)
	d.edge.Stop()
	d.duty.Stop()
	time.Sleep(min(d.shutdownDelay, time.Until(deadline)))
	d.edge.Refuse()
	callers.stopAccepting()
	// Requests of other daemons have no connection of a caller.
	idle := func() bool { return callers.active() == 0 && d.edge.InProgress() == 0 }
	if pollUntil(deadline, idle) {
		d.deps.Log.Info(evlog.DaemonStopped, "took_ms", time.Since(began).Milliseconds())
		return
	}
	d.deps.Log.Error(trace.LimitExceeded("requests were still in flight at the shutdown deadline"), evlog.DaemonStopForced, "running", d.edge.InProgress())
	d.edge.End()
	pollUntil(deadline.Add(shutdownAnswerTime), idle)
}

// pollUntil waits until a condition holds, and returns false if it does not by the deadline.
func pollUntil(deadline time.Time, condition func() bool) bool {
	for !condition() {
		if !time.Now().Before(deadline) {
			return false
		}
		time.Sleep(shutdownPollInterval)
	}
	return true
}

// burnLimits returns the objectives of the burn report, which are the same for all teams.
func (d *EdgeDaemon) burnLimits(model.Team) burn.Limits {
	policy := edgeRootPolicy(nil)
	return burn.Limits{FirstToken: policy.FirstToken, Gap: policy.TokenGap, Share: policy.ObjectiveShare}
}
