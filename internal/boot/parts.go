package boot

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/fleet"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/peer"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	gossipInterval = time.Second
	listInterval   = time.Second
	reportInterval = time.Second
	// peersPerGossipRound is how many daemons get a message in one gossip round.
	peersPerGossipRound = 2
	// requestTimeout limits requests to peers and to the platform.
	requestTimeout = 2 * time.Second
	// reportTimeout limits the request for an engine's report.
	reportTimeout = time.Second
	// maxConcurrentReports limits concurrent requests for reports.
	maxConcurrentReports = 32
)

// periodicTask is a supervised service that runs a function at a fixed interval.
type periodicTask struct {
	name     string
	interval time.Duration
	run      func(ctx context.Context)
	// trigger starts a run before the interval has passed; may be nil.
	trigger <-chan struct{}
}

// Serve implements suture.Service.
func (t periodicTask) Serve(ctx context.Context) error {
	ticker := time.NewTicker(t.interval)
	defer ticker.Stop()
	for {
		t.run(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-t.trigger:
		}
	}
}

// String returns the name that the supervisor's events show.
func (t periodicTask) String() string { return t.name }

// newSupervisor returns a supervisor that restarts failed services and logs the failures.
func newSupervisor(name string, log evlog.Log) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(event suture.Event) {
			if event.Type() != suture.EventTypeStopTimeout {
				log.Error(errors.New(event.String()), evlog.PartFailed)
			}
		},
		Timeout: serviceStopTimeout,
	})
}

// addParts adds each service under a supervisor of its own. One that fails again and again is restarted less often then,
// and the others are not. Services have a String method that returns their name.
func addParts(parent *suture.Supervisor, log evlog.Log, services ...suture.Service) {
	for _, service := range services {
		part := newSupervisor(fmt.Sprintf("supervisor of %s", service), log)
		part.Add(service)
		parent.Add(part)
	}
}

// httpService is a supervised service that runs an HTTP server.
type httpService struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// Serve implements suture.Service.
func (s httpService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// String returns the name that the supervisor's events show.
func (s httpService) String() string { return s.name }

// readMembers reads the platform's membership list. If it is unavailable, the seeds are
// asked instead.
func (d *Daemon) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	members, err := d.platform.List(ctx)
	if err != nil {
		d.deps.Log.Debug(evlog.ListUnreachable, "error", err.Error())
		d.askSeeds(ctx)
		return
	}
	d.applyMembers(members)
	d.readInitialReports(ctx)
}

// readInitialReports reads the engines' reports right after the first membership list.
// Until then this daemon knows no route and must not be ready: the balancer would send it
// requests that another daemon could have served.
func (d *Daemon) readInitialReports(ctx context.Context) {
	if d.initialReportsRead.Load() {
		return
	}
	d.readReports(ctx)
	d.initialReportsRead.Store(true)
}

// applyMembers applies a membership list.
func (d *Daemon) applyMembers(members []model.Member) {
	d.mu.Lock()
	d.members = members
	d.addresses = make(map[model.ServerID]string, len(members))
	for _, member := range members {
		d.addresses[model.ServerID(member.ID)] = member.Address
	}
	d.fleet.ApplyList(members)
	count := d.fleet.Count()
	d.mu.Unlock()
	d.streams.SetList(members, count)
	d.calls.SetList(members)
}

// readReports reads the reports of the engines that this daemon reads for the fleet, and
// occasionally those of all engines.
func (d *Daemon) readReports(ctx context.Context) {
	d.mu.Lock()
	dueMembers := d.reports.Due(time.Now(), d.members, d.fleet.ReportReaders(time.Now()))
	d.mu.Unlock()
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReports)
	for _, member := range dueMembers {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			report, err := d.engines.Report(ctx, member.Address)
			if err == nil && report.Server == model.ServerID(member.ID) {
				report.ReportedAt = time.Now()
				d.acceptReport(report)
			}
		})
	}
	wg.Wait()
}

// acceptReport applies a report, read here or sent by a peer, if it is newer.
func (d *Daemon) acceptReport(report model.Report) {
	d.mu.Lock()
	newer := d.reports.Record(time.Now(), report)
	address := d.addresses[report.Server]
	d.mu.Unlock()
	if newer && address != "" {
		d.streams.AddReport(report)
		d.orders.AddReport(report, address)
	}
}

// gossip renews this daemon's heartbeat and runs one gossip round.
func (d *Daemon) gossip(ctx context.Context) {
	// HasLease is called before mu is locked: the calls lock mu while they hold their own
	// lock, in ShardChanged, so the reverse order could deadlock.
	canOwn := d.calls.HasLease()
	d.mu.Lock()
	now := time.Now()
	d.fleet.SetSelf(now, canOwn && d.reachable(now))
	view := d.shardOwnerView()
	d.mu.Unlock()
	d.calls.SetFleet(view)
	d.gossipRound(ctx)
}

// triggerGossip starts a gossip round without waiting for the interval.
func (d *Daemon) triggerGossip() {
	select {
	case d.gossipTrigger <- struct{}{}:
	default:
	}
}

// announceRelease sends gossip to all other daemons that this one no longer owns shards.
func (d *Daemon) announceRelease() {
	d.mu.Lock()
	d.fleet.SetSelf(time.Now(), false)
	peers := d.fleet.Peers()
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	d.sendGossip(ctx, peers)
}

// gossipRound exchanges gossip with the next few daemons.
func (d *Daemon) gossipRound(ctx context.Context) {
	d.mu.Lock()
	peers := d.fleet.NextPeers(peersPerGossipRound)
	d.mu.Unlock()
	d.sendGossip(ctx, peers)
}

// sendGossip sends a gossip message to daemons concurrently and merges their answers.
func (d *Daemon) sendGossip(ctx context.Context, peers []model.DaemonID) {
	d.mu.Lock()
	message := d.gossipMessage()
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, to := range peers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			answer, err := d.client.Ask(ctx, to, peer.Request{Gossip: &message})
			if err != nil || answer.Gossip == nil {
				d.deps.Log.Debug(evlog.PeerUnreachable, "peer", to)
				return
			}
			d.mergeGossip(ctx, *answer.Gossip)
		})
	}
	wg.Wait()
}

// gossipMessage returns the gossip message that this daemon sends to a peer. The caller
// holds mu.
func (d *Daemon) gossipMessage() fleet.Gossip {
	message := d.fleet.Gossip(d.keeper.Revision())
	message.Reports = d.reports.Changed(time.Now())
	return message
}

// mergeGossip merges a peer's gossip message, and fetches the settings if the peer's
// revision is newer.
func (d *Daemon) mergeGossip(ctx context.Context, message fleet.Gossip) {
	d.mu.Lock()
	released := d.fleet.Merge(time.Now(), message)
	d.mu.Unlock()
	if len(released) > 0 {
		d.calls.ShardsReleased(released)
	}
	for _, report := range message.Reports {
		d.acceptReport(report)
	}
	ownRevision := d.keeper.Revision()
	switch {
	case message.Revision > ownRevision:
		d.fetchSettings(ctx, message.From)
	case ownRevision > 0:
		d.keeper.Confirm()
	}
}

// fetchSettings requests the settings after the revision of this daemon from a peer.
func (d *Daemon) fetchSettings(ctx context.Context, from model.DaemonID) {
	answer, err := d.client.Ask(ctx, from, peer.Request{Settings: &peer.SettingsRequest{After: d.keeper.Revision()}})
	if err != nil || answer.Settings == nil {
		return
	}
	d.mergeSettings(*answer.Settings)
}

// mergeSettings applies the settings of a peer as far as they are newer.
func (d *Daemon) mergeSettings(settings peer.SettingsAnswer) {
	if settings.Tree != nil {
		d.keeper.ApplyTree(*settings.Tree)
	}
	if _, err := d.keeper.ApplyChanges(settings.Changes); err != nil {
		d.deps.Log.Error(err, evlog.SettingsUnreadable)
		return
	}
	d.keeper.Confirm()
}

// askSeeds requests the settings and the membership list from the seeds, one after the
// other, unless this daemon already has a membership list.
func (d *Daemon) askSeeds(ctx context.Context) {
	d.mu.Lock()
	membersKnown := len(d.members) > 0
	d.mu.Unlock()
	if membersKnown {
		return
	}
	for _, seed := range d.file.Seeds {
		answer, err := d.client.AskAddress(ctx, seed, peer.Request{Settings: &peer.SettingsRequest{}})
		if err != nil || answer.Settings == nil {
			continue
		}
		d.mergeSettings(*answer.Settings)
		if len(answer.Settings.Members) > 0 {
			d.applyMembers(answer.Settings.Members)
			d.readInitialReports(ctx)
			return
		}
	}
}

// Answer implements peer.Handler. Unknown requests get an empty answer.
func (d *Daemon) Answer(ctx context.Context, request peer.Request) peer.Answer {
	switch {
	case request.Gossip != nil:
		return d.answerGossip(*request.Gossip)
	case request.Call != nil:
		return d.answerCall(ctx, request)
	case request.Settings != nil:
		return d.answerSettings(request.Settings.After)
	case request.Burn != nil:
		return d.answerBurn()
	}
	return peer.Answer{}
}

// answerGossip answers a gossip message at once and merges it in the background, since
// merging may request settings from the sender.
func (d *Daemon) answerGossip(message fleet.Gossip) peer.Answer {
	d.mu.Lock()
	d.lastIncomingGossip = time.Now()
	ownMessage := d.gossipMessage()
	d.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		d.mergeGossip(ctx, message)
	}()
	return peer.Answer{Gossip: &ownMessage}
}

// answerSettings returns the settings after a revision and the membership list.
func (d *Daemon) answerSettings(after model.Revision) peer.Answer {
	settings := peer.SettingsAnswer{}
	if d.keeper.EffectiveSettings() != nil {
		settings.Changes, settings.Tree = d.keeper.ChangesSince(after)
	}
	d.mu.Lock()
	settings.Members = d.members
	d.mu.Unlock()
	return peer.Answer{Settings: &settings, Revision: d.keeper.Revision()}
}

// answerBurn returns the burn snapshot of this daemon; the answer is empty on an error.
func (d *Daemon) answerBurn() peer.Answer {
	snapshot, err := d.burnRecorder.Snapshot(d.daemonID())
	if err != nil {
		return peer.Answer{}
	}
	encoded, err := snapshot.Encode()
	if err != nil {
		return peer.Answer{}
	}
	return peer.Answer{Burn: encoded}
}

// answerCall runs a forwarded call. The call continues if the forwarding daemon
// disconnects: its outcome is recorded and returned to a retry.
func (d *Daemon) answerCall(ctx context.Context, request peer.Request) peer.Answer {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.Call.Deadline)
	defer cancel()
	stored, err := d.calls.DoForwarded(ctx, *request.Call)
	if err != nil {
		return peer.Answer{Failure: verdictError(err)}
	}
	return peer.Answer{Stored: &stored}
}

// View calls f with the decision core.
func (d *Daemon) View(f func(*core.Core)) { d.streams.View(f) }
