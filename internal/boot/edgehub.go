package boot

import (
	"context"
	"slices"
	"strings"
	"time"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/internal/peer"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// hubAddress returns the peer address of the hub, the daemon that reads the key-value
// service for all; empty if there is none.
func (d *EdgeDaemon) hubAddress() string {
	address, _, _ := strings.Cut(d.OwnerView().Owner, ownerSeparator)
	return address
}

// Ask implements drive.HubClient. It also sends the load of this daemon and takes over the
// load of the others, their number and a few peers from the answer.
func (d *EdgeDaemon) Ask(ctx context.Context, after model.Position) (mirror.Delta, time.Duration, bool) {
	hub := d.hubAddress()
	if hub == "" || hub == d.vm.PeersAddress {
		return mirror.Delta{}, 0, false
	}
	reportedAt := time.Now()
	request := peer.HubRequest{From: model.DaemonID(d.vm.VMName), Status: d.ownLoad(), After: after.Revision, Era: &after.Era}
	answer, err := d.client.AskAddress(ctx, hub, peer.Request{Hub: &request})
	if err != nil || answer.Hub == nil {
		d.deps.Log.Info(evlog.PeerUnreachable, "peer", hub, "error", hubErrorText(err))
		return mirror.Delta{}, 0, false
	}
	d.applyOthers(reportedAt, answer.Hub.Others, hub)
	d.edge.SetProxies(answer.Hub.Proxies)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(answer.Hub.Peers) > 0 {
		d.peers = answer.Hub.Peers
	}
	d.setDaemonCount(answer.Hub.Daemons)
	return answer.Hub.Delta, answer.Hub.Age, true
}

// applyOthers takes over what the other daemons reported, in answer to this daemon's report made at a time. source is
// logged.
func (d *EdgeDaemon) applyOthers(reportedAt time.Time, others board.View, source string) {
	d.streams.SetOthers(others)
	d.applyRetryGrants(reportedAt, others.Retries)
	d.edge.ApplyLimits(others.Limits)
	d.edge.ApplyCrashes(others.PlainRequests)
	d.edge.ApplyOthersCutOff(others.CutOff)
	d.serversLeave(others.Leaving, source)
}

// applyRetryGrants applies the hub's answer to a report made at a time.
func (d *EdgeDaemon) applyRetryGrants(reportedAt time.Time, g retry.Grants) {
	d.edge.ApplyRetryGrants(reportedAt, g)
	if g.Shared {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.retryHub = g.Hub
	}
}

// hubErrorText returns the log text of a failed hub request; err is nil if the answer has no
// hub data.
func hubErrorText(err error) string {
	if err == nil {
		return "the peer is not the hub"
	}
	return err.Error()
}

// setDaemonCount sets the number of daemons that share the backend servers. The caller
// holds mu.
func (d *EdgeDaemon) setDaemonCount(count int) {
	d.daemonCount = max(1, count)
	d.streams.SetDaemons(d.daemonCount)
	d.edge.SetDaemons(d.daemonCount)
}

// AskAnyDaemon implements drive.HubClient. It asks the next peer or seed.
func (d *EdgeDaemon) AskAnyDaemon(ctx context.Context, after model.Position) (mirror.Delta, bool) {
	address := d.nextPeer()
	if address == "" {
		return mirror.Delta{}, false
	}
	answer, err := d.client.AskAddress(ctx, address, peer.Request{Mirror: &peer.MirrorRequest{After: after.Revision, Era: &after.Era}})
	if err != nil || answer.Mirror == nil || answer.Mirror.Revision == 0 {
		d.deps.Log.Debug(evlog.PeerUnreachable, "peer", address)
		return mirror.Delta{}, false
	}
	return *answer.Mirror, true
}

// nextPeer returns the next of the known peers and seeds in round-robin order, or an
// empty string.
func (d *EdgeDaemon) nextPeer() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	peers := append(slices.Clone(d.peers), d.vm.Seeds...)
	if len(peers) == 0 {
		return ""
	}
	d.peerCursor++
	return peers[d.peerCursor%len(peers)]
}

// Answer implements peer.Handler. Hub requests get an empty answer if this daemon is not
// the hub.
func (d *EdgeDaemon) Answer(_ context.Context, request peer.Request) peer.Answer {
	switch {
	case request.Mirror != nil:
		delta := d.changesSince(request.Mirror.After, request.Mirror.Era)
		return peer.Answer{Mirror: &delta}
	case request.Hub != nil && d.hubAddress() == d.vm.PeersAddress:
		answer := d.exchangeLoad(request.Hub.From, request.Hub.Status)
		answer.Delta, answer.Age = d.changesSince(request.Hub.After, request.Hub.Era), d.feed.Age(time.Now())
		return peer.Answer{Hub: &answer}
	}
	return peer.Answer{}
}

// ServeProxied implements peer.ProxyHandler.
func (d *EdgeDaemon) ServeProxied(ctx context.Context, q *drive.ProxyRequest, write func(drive.ProxyFrame) error) {
	d.edge.ServeProxied(ctx, q, write)
}

// changesSince returns the changes in the key-value service after a revision of an era. A
// daemon that knows no eras gets those after the revision in the current era.
func (d *EdgeDaemon) changesSince(revision uint64, era *uint64) mirror.Delta {
	after := model.Position{Era: d.feed.Position().Era, Revision: revision}
	if era != nil {
		after.Era = *era
	}
	return d.feed.ChangesSince(after)
}

const (
	// ownLoadInterval is how often the hub records its own load.
	ownLoadInterval = 250 * time.Millisecond
	// maxPeersPerAnswer is how many peer addresses the hub sends to each daemon.
	maxPeersPerAnswer = 4
)

// ownLoad returns the load in progress of this daemon, as sent to the hub.
func (d *EdgeDaemon) ownLoad() board.DaemonStatus {
	var load board.DaemonStatus
	d.streams.View(func(c *core.Core) { load = c.DaemonStatus(time.Now()) })
	load.Address = d.vm.PeersAddress
	load.Limits = append(load.Limits, d.edge.LimitReports(time.Now())...)
	load.PlainRequests = d.edge.CrashReport(time.Now())
	load.CutOff, load.ServesProxied = d.edge.CutOff(), !d.edge.Stopping()
	demands := d.edge.RetryDemands(time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryReports++
	load.Retries = retry.Report{Start: d.run, Seq: d.retryReports, Demands: demands, Hub: d.retryHub}
	load.Leaving = d.roster.SaidLeaving()
	return load
}

// recordOwnLoad records the load of this daemon if it is the hub.
func (d *EdgeDaemon) recordOwnLoad(context.Context) {
	if d.hubAddress() != d.vm.PeersAddress {
		return
	}
	reportedAt := time.Now()
	answer := d.exchangeLoad(model.DaemonID(d.vm.VMName), d.ownLoad())
	d.applyOthers(reportedAt, answer.Others, "other daemons")
	d.edge.SetProxies(answer.Proxies)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = answer.Peers
	d.setDaemonCount(answer.Daemons)
}

// exchangeLoad records the load of one daemon and returns the load of the others.
func (d *EdgeDaemon) exchangeLoad(from model.DaemonID, load board.DaemonStatus) peer.HubAnswer {
	moving, outageEnds := d.duty.ReplacingLayers(), d.duty.OutageEnds()
	sharing := 1
	d.streams.View(func(c *core.Core) { sharing = max(1, c.BudgetDaemons()) })
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.loadBoard.Put(now, from, load)
	others := d.loadBoard.Others(now, from)
	others.ReplacingLayers = moving
	for service, end := range outageEnds {
		others.Outages = append(others.Outages, board.Outage{Service: service, Left: end.Sub(now)})
	}
	reporting := float64(d.loadBoard.Daemons(now)) / float64(sharing)
	others.Limits = d.limits.Exchange(now, from, load.Limits, min(1, reporting))
	_, stored := d.storedFleet()
	others.Retries = d.retries.Exchange(now, from, load.Retries, max(sharing, stored))
	return peer.HubAnswer{
		Others: others, Daemons: d.loadBoard.Daemons(now), Peers: d.loadBoard.Peers(from, maxPeersPerAnswer),
		Proxies: d.loadBoard.Proxies(from, maxPeersPerAnswer),
	}
}
