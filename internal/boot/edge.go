package boot

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"

	"bulrushpond.example/bulrushpond/internal/burn"
	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/elect"
	"bulrushpond.example/bulrushpond/internal/core/relay"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/internal/peer"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/platform"
)

// EdgeCmd runs a daemon on the platform.
type EdgeCmd struct {
	MetricsPort uint16 `default:"0" help:"${help_metrics_port}"`
	Debug       bool   `name:"debug-log" help:"${help_debug}"`
}

// Run implements the command.
func (c *EdgeCmd) Run(ctx context.Context, common Common) error {
	node, err := platform.ReadNode()
	if err != nil {
		return withCode(ExitUsage, err)
	}
	limitProcess(node)
	writer := evlog.NewWriter(common.Out)
	logging, stop := context.WithCancel(context.WithoutCancel(ctx))
	go writer.Run(logging)
	defer func() {
		stop()
		<-writer.Ended()
	}()
	common.Log = NewLog(writer, c.Debug)
	e, err := NewEdgeNode(common, node, c.MetricsPort)
	if err != nil {
		return err
	}
	publishEdge(e, writer)
	return e.Run(ctx)
}

const (
	// heapShare is the part of the VM's memory limit at which the collector works
	// harder; the rest is for stacks, sockets and the program itself.
	heapShare = 0.6
	// heapGrowth is by how many percent the heap may grow between two collections.
	heapGrowth = 200
)

// limitProcess fits the runtime to the VM.
func limitProcess(n platform.Node) {
	runtime.GOMAXPROCS(n.Cores)
	debug.SetGCPercent(heapGrowth)
	if n.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(n.MemoryBytes)))
	}
}

const (
	// placementKey is the key of the placement's owner in the platform's key-value
	// service. The owner also reads the service for the others.
	placementKey = "bulrushpond/placement"
	// processSeparator stands between a daemon's address and its process.
	processSeparator = "/"
)

const (
	// claimSpread is the time over which daemons claim a free duty, so that most see the
	// first claim before they make theirs.
	claimSpread = 600 * time.Millisecond
	// goneHold is how long after the key-value service was away the entries that
	// lapsed meanwhile count as standing: their servers write them anew.
	goneHold = 2200 * time.Millisecond
	// certificateLife is longer than any process.
	certificateLife = 10 * 365 * 24 * time.Hour
	// stopNotice is how long a stopping daemon takes new requests, until the balancer
	// has noticed twice that it is not ready.
	stopNotice = 2500 * time.Millisecond
	// stopMargin is how much of the time for a stop is left unused.
	stopMargin = 300 * time.Millisecond
)

// EdgeNode is a daemon on the platform with all its parts.
type EdgeNode struct {
	common  Common
	node    platform.Node
	store   *platform.Store
	engines *platform.Engines
	streams *drive.Streams
	edge    *drive.Edge
	feed    *drive.Feed
	duty    *drive.Duty
	server  *peer.Server
	client  *peer.Client
	burn    *burn.Recorder
	process string
	// stopNotice is how long a stopping daemon takes new requests.
	stopNotice time.Duration

	callers, readiness, metrics net.Listener
	stopping                    atomic.Bool

	mu sync.Mutex
	// members are the backend servers by key, gone those whose entry lapsed while the
	// service was away, with when they count as gone; guarded by mu.
	members map[string]model.Member
	gone    map[string]time.Time
	// peers are the addresses of a few other daemons, sharing how many there are;
	// guarded by mu.
	peers   []string
	sharing int
	// turn is whose turn it is among the peers; guarded by mu.
	turn int
	// board is what the daemons have in progress, while this one owns the placement;
	// guarded by mu.
	board *board.State
}

// EdgeOption adjusts a daemon on the platform.
type EdgeOption func(*EdgeNode)

// WithStopNotice replaces how long a stopping daemon takes new requests.
func WithStopNotice(d time.Duration) EdgeOption { return func(n *EdgeNode) { n.stopNotice = d } }

// NewEdgeNode opens a daemon's addresses and wires its parts. Nothing runs before Run.
func NewEdgeNode(common Common, node platform.Node, metricsPort uint16, opts ...EdgeOption) (*EdgeNode, error) {
	process, base, err := newProcess()
	if err != nil {
		return nil, err
	}
	n := &EdgeNode{
		common: common, node: node, store: platform.NewStore(node.Store), engines: platform.NewEngines(), process: process,
		members: map[string]model.Member{}, gone: map[string]time.Time{}, board: board.New(), sharing: 1, stopNotice: stopNotice,
	}
	for _, opt := range opts {
		opt(n)
	}
	budget := func() *retry.Budget { return retry.New(node.RetryRatio, node.RetryBurst, node.RetryWindow) }
	n.streams = drive.NewStreams(common.Log, n.engines, base,
		core.WithPicker(route.NewChains(node.Zone, base)), core.WithBudget(budget()), core.WithStallCheck())
	n.burn = burn.NewRecorder(n.limits)
	n.edge = drive.NewEdge(common.Log, n.streams, n.engines, relay.New(node.Zone, budget(), base), base, n.burn)
	n.feed = drive.NewFeed(common.Log, n.store, n, n.changed)
	if err := n.open(metricsPort); err != nil {
		return nil, err
	}
	n.duty = drive.NewDuty(common.Log, n.store, n.engines, n, &elect.State{
		Process: n.node.Peers + processSeparator + process, DutyKey: placementKey,
		Wait: time.Duration(rand.Int64N(int64(claimSpread))),
	})
	return n, nil
}

// open listens on the daemon's addresses.
func (n *EdgeNode) open(metricsPort uint16) error {
	conf, err := peer.NetworkTLS(n.node.Daemon, time.Now().Add(certificateLife))
	if err != nil {
		return err
	}
	n.client = peer.NewClient(conf, func(model.DaemonID) (string, bool) { return "", false })
	if n.server, err = peer.Listen(n.node.Peers, conf, n); err != nil {
		return err
	}
	if n.callers, err = net.Listen("tcp", n.node.Callers); err != nil {
		return trace.Wrap(err)
	}
	if n.readiness, err = net.Listen("tcp", n.node.Readiness); err != nil {
		return trace.Wrap(err)
	}
	n.node.Peers, n.node.Callers, n.node.Readiness = n.server.Address(), n.callers.Addr().String(), n.readiness.Addr().String()
	if metricsPort > 0 {
		n.metrics, err = net.Listen("tcp", net.JoinHostPort(n.node.IP, strconv.Itoa(int(metricsPort))))
	}
	return trace.Wrap(err)
}

// CallersAddress is where callers are served.
func (n *EdgeNode) CallersAddress() string { return n.node.Callers }

// ReadinessAddress is where the balancer asks.
func (n *EdgeNode) ReadinessAddress() string { return n.node.Readiness }

// PeersAddress is where other daemons are served.
func (n *EdgeNode) PeersAddress() string { return n.node.Peers }

// Run serves until ctx ends, then stops in a planned way.
func (n *EdgeNode) Run(ctx context.Context) error {
	running, kill := context.WithCancel(context.WithoutCancel(ctx))
	defer kill()
	callers := platform.NewIngress(n.edge)
	s := suture.New("edge", suture.Spec{
		EventHook: func(e suture.Event) {
			if e.Type() != suture.EventTypeStopTimeout {
				n.common.Log.Error(errors.New(e.String()), evlog.PartFailed)
			}
		},
		Timeout: shutdownTimeout,
	})
	s.Add(n.streams)
	s.Add(n.feed)
	s.Add(n.duty)
	s.Add(part{name: "board", every: boardEvery, do: n.ownLoad})
	s.Add(n.server)
	s.Add(httpPart{name: "callers", server: callers, listener: n.callers})
	s.Add(httpPart{name: "readiness", server: platform.NewReadiness(n.ready), listener: n.readiness})
	if n.metrics != nil {
		s.Add(httpPart{name: "metrics", server: &http.Server{Handler: n.metricsHandler(), ReadHeaderTimeout: askTimeout}, listener: n.metrics})
	}
	ended := s.ServeBackground(running)
	n.common.Log.Info(evlog.DaemonStarted, "daemon", n.node.Daemon, "zone", n.node.Zone, "process", n.process,
		"version", n.common.Build.Version, "callers", n.node.Callers, "peers", n.node.Peers, "store", n.node.Store)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-hangups:
			n.reload()
		case err := <-ended:
			return trace.Wrap(err)
		}
	}
	n.stop(callers)
	kill()
	err := <-ended
	n.client.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// reload reads the VM's settings file anew. The peers to ask at first follow it; what
// else it says holds for the life of a process.
func (n *EdgeNode) reload() {
	node, err := platform.ReadNode()
	if err != nil {
		n.common.Log.Error(err, evlog.FileUnreadable)
		return
	}
	n.mu.Lock()
	n.node.Seeds = node.Seeds
	n.mu.Unlock()
	n.common.Log.Info(evlog.FileReloaded, "seeds", node.Seeds)
}

// ready is the test behind the balancer's question.
func (n *EdgeNode) ready() error {
	switch {
	case n.stopping.Load():
		return trace.ConnectionProblem(nil, "stopping")
	case n.edge.Routing() == nil:
		return trace.ConnectionProblem(nil, "no settings yet")
	}
	return nil
}

// stop ends the process without cutting a request: the balancer is told first, then
// what runs is finished.
func (n *EdgeNode) stop(callers *http.Server) {
	began := time.Now()
	giveUp := began.Add(n.node.StopTime - stopMargin)
	n.common.Log.Info(evlog.DaemonStopping, "running", n.edge.Running())
	n.stopping.Store(true)
	n.edge.Stop()
	n.duty.Stop()
	time.Sleep(min(n.stopNotice, time.Until(giveUp)))
	ctx, cancel := context.WithDeadline(context.Background(), giveUp)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.common.Log.Error(trace.LimitExceeded("work was still in progress"), evlog.DaemonStopForced, "running", n.edge.Running())
		return
	}
	n.common.Log.Info(evlog.DaemonStopped, "took_ms", time.Since(began).Milliseconds())
}

// changed takes in what is news in the copy of the key-value service.
func (n *EdgeNode) changed(now time.Time, items []mirror.Item) {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := false
	for _, item := range items {
		switch {
		case item.Key == platform.KeyRouting:
			if n.applyRouting(item) {
				listed = true
			}
		case strings.HasPrefix(item.Key, platform.PrefixServers):
			if n.applyServer(now, item) {
				listed = true
			}
		}
	}
	if n.expireGone(now) {
		listed = true
	}
	if listed {
		n.tell(now)
	}
}

// applyRouting puts the operators' configuration in force. The caller holds mu.
func (n *EdgeNode) applyRouting(item mirror.Item) bool {
	if item.Removed {
		return false
	}
	routing, err := platform.DecodeRouting(item.Value)
	if err != nil {
		n.common.Log.Error(err, evlog.SettingsUnreadable, "revision", item.Revision)
		return false
	}
	if !n.edge.SetRouting(routing) {
		return false
	}
	n.common.Log.Info(evlog.SettingsInForce, "revision", uint64(routing.Revision), "stored_at", item.Revision, "routes", len(routing.Routes), "teams", len(routing.Teams))
	n.streams.SetForce(forceOf(routing))
	return true
}

// applyServer takes in a backend server's entry. It returns whether anything but the
// server's heartbeat changed. The caller holds mu.
func (n *EdgeNode) applyServer(now time.Time, item mirror.Item) bool {
	if item.Removed {
		was, known := n.members[item.Key]
		if !known {
			return false
		}
		if hold := n.feed.Returned().Add(goneHold); was.State == model.Live && now.Before(hold) {
			n.gone[item.Key] = hold
			return false
		}
		delete(n.members, item.Key)
		n.common.Log.Info(evlog.ServerGone, "server", was.ID, "revision", item.Revision)
		return true
	}
	m, err := platform.DecodeMember(item.Key, item.Value)
	if err != nil {
		n.common.Log.Error(err, evlog.MemberUnreadable, "key", item.Key, "revision", item.Revision)
		return false
	}
	delete(n.gone, item.Key)
	was, known := n.members[item.Key]
	if known && was == m {
		return false
	}
	n.members[item.Key] = m
	n.common.Log.Info(evlog.ServerSeen, "server", m.ID, "address", m.Address, "zone", m.Zone, "service", m.Service, "kind", m.Kind,
		"state", m.State.String(), "from", m.Span.From, "to", m.Span.To, "revision", item.Revision)
	return true
}

// expireGone forgets servers whose entry did not come back. The caller holds mu.
func (n *EdgeNode) expireGone(now time.Time) bool {
	changed := false
	for key, until := range n.gone {
		if now.Before(until) {
			continue
		}
		delete(n.gone, key)
		delete(n.members, key)
		changed = true
	}
	return changed
}

// tell hands the servers and daemons on to the parts that use them. The caller holds mu.
func (n *EdgeNode) tell(now time.Time) {
	routing := n.edge.Routing()
	if routing == nil {
		return
	}
	var list []model.Member
	seen := map[string]bool{}
	for _, m := range n.members {
		service, known := routing.Services[m.Service]
		if !known || service.Engine == nil {
			m.Role = model.Service
			n.edge.SetServer(m)
		} else {
			m.Role = model.Engine
		}
		seen[m.ID] = true
		list = append(list, m)
	}
	n.edge.KeepServers(seen)
	n.streams.SetList(list, n.sharing)
	for _, m := range list {
		if m.Role == model.Engine {
			n.streams.AddReport(route.ReportOf(now, m, routing.Services[m.Service].Engine))
		}
	}
}

// Seen implements drive.DutyView.
func (n *EdgeNode) Seen() elect.Seen {
	var s elect.Seen
	if item, ok := n.feed.Get(placementKey); ok {
		s.Owner, s.OwnerRevision = string(item.Value), item.Revision
	}
	s.Known = n.feed.At() > 0
	return s
}

// Pools implements drive.DutyView.
func (n *EdgeNode) Pools() []drive.Pool {
	routing := n.edge.Routing()
	if routing == nil {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	suspects := n.board.Suspects(time.Now())
	var pools []drive.Pool
	for name, service := range routing.Services {
		if service.Engine == nil {
			continue
		}
		pool := drive.Pool{Profile: service.Engine}
		for _, m := range n.members {
			if m.Service == name {
				if slices.Contains(suspects, model.ServerID(m.ID)) {
					// Its layers are taken over before its entry is gone.
					m.State = model.Leaving
				}
				pool.Members = append(pool.Members, m)
			}
		}
		pools = append(pools, pool)
	}
	return pools
}

// hubAddress returns where the daemon that reads the key-value service serves others;
// empty where nobody does.
func (n *EdgeNode) hubAddress() string {
	address, _, _ := strings.Cut(n.Seen().Owner, processSeparator)
	return address
}

// Ask implements drive.Hub.
func (n *EdgeNode) Ask(ctx context.Context, after uint64) (mirror.Delta, time.Duration, bool) {
	hub := n.hubAddress()
	if hub == "" || hub == n.node.Peers {
		return mirror.Delta{}, 0, false
	}
	q := peer.HubQuestion{From: model.DaemonID(n.node.Daemon), Told: n.told(), After: after}
	a, err := n.client.AskAddress(ctx, hub, peer.Question{Hub: &q})
	if err != nil || a.Hub == nil {
		n.common.Log.Info(evlog.PeerUnreachable, "peer", hub, "error", errorText(err))
		return mirror.Delta{}, 0, false
	}
	n.streams.SetOthers(a.Hub.Others, a.Hub.Suspects)
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(a.Hub.Peers) > 0 {
		n.peers = a.Hub.Peers
	}
	n.share(a.Hub.Daemons)
	return a.Hub.Delta, a.Hub.Age, true
}

func errorText(err error) string {
	if err == nil {
		return "it is not the hub"
	}
	return err.Error()
}

// share takes in how many daemons share the servers. The caller holds mu.
func (n *EdgeNode) share(daemons int) {
	n.sharing = max(1, daemons)
	n.streams.SetDaemons(n.sharing)
	n.edge.SetDaemons(n.sharing)
}

// AskAny implements drive.Hub.
func (n *EdgeNode) AskAny(ctx context.Context, after uint64) (mirror.Delta, bool) {
	address := n.nextPeer()
	if address == "" {
		return mirror.Delta{}, false
	}
	a, err := n.client.AskAddress(ctx, address, peer.Question{Mirror: &peer.MirrorQuestion{After: after}})
	if err != nil || a.Mirror == nil || a.Mirror.At == 0 {
		n.common.Log.Debug(evlog.PeerUnreachable, "peer", address)
		return mirror.Delta{}, false
	}
	return *a.Mirror, true
}

// nextPeer returns the peer whose turn it is: a daemon that was heard of, or a seed.
func (n *EdgeNode) nextPeer() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := append(slices.Clone(n.peers), n.node.Seeds...)
	if len(peers) == 0 {
		return ""
	}
	n.turn++
	return peers[n.turn%len(peers)]
}

// Answer implements peer.Handler.
func (n *EdgeNode) Answer(_ context.Context, q peer.Question) peer.Answer {
	switch {
	case q.Mirror != nil:
		d := n.feed.Since(q.Mirror.After)
		return peer.Answer{Mirror: &d}
	case q.Hub != nil && n.hubAddress() == n.node.Peers:
		a := n.exchange(q.Hub.From, q.Hub.Told)
		a.Delta, a.Age = n.feed.Since(q.Hub.After), n.feed.Age(time.Now())
		return peer.Answer{Hub: &a}
	}
	return peer.Answer{}
}

const (
	// boardEvery is how often the hub notes what it has in progress itself.
	boardEvery = 250 * time.Millisecond
	// namedPeers is how many daemons the hub names to each other one.
	namedPeers = 4
)

// told is what this daemon tells the hub.
func (n *EdgeNode) told() board.Told {
	t := board.Told{Address: n.node.Peers}
	n.streams.View(func(c *core.Core) { t.Loads, t.Suspects = c.Loads(), c.Suspects(time.Now()) })
	return t
}

// ownLoad notes what the hub has in progress itself.
func (n *EdgeNode) ownLoad(context.Context) {
	if n.hubAddress() != n.node.Peers {
		return
	}
	a := n.exchange(model.DaemonID(n.node.Daemon), n.told())
	n.streams.SetOthers(a.Others, a.Suspects)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = a.Peers
	n.share(a.Daemons)
}

// exchange takes in what a daemon tells, and returns what the others told.
func (n *EdgeNode) exchange(from model.DaemonID, told board.Told) peer.HubAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.board.Put(now, from, told)
	return peer.HubAnswer{
		Others: n.board.Others(now, from), Suspects: n.board.Suspects(now),
		Daemons: n.board.Daemons(now), Peers: n.board.Peers(from, namedPeers),
	}
}

func (n *EdgeNode) limits(model.Team) burn.Limits {
	p := rootPolicy(nil)
	return burn.Limits{FirstToken: p.FirstToken, Gap: p.TokenGap, Share: p.ObjectiveShare}
}
