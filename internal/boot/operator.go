package boot

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/internal/admin"
	"bulrushpond.example/bulrushpond/internal/burn"
	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/internal/peer"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// verdictError returns the verdict of an error; without one the call may have run.
func verdictError(err error) *verdt.Error { return verdt.AsError(err, verdt.MayHaveRun) }

// Show implements admin.Daemon.
func (d *Daemon) Show(path string) (admin.Shown, error) {
	settings := d.keeper.EffectiveSettings()
	if settings == nil {
		return admin.Shown{}, trace.NotFound("this daemon has no settings yet")
	}
	if path == "" {
		path = setts.Root
	}
	node, exists := settings.Tree.Nodes[path]
	return admin.Shown{
		Path: path, Revision: settings.Revision, Changed: node.Changed, Exists: exists,
		Nodes: settings.Tree.Paths(), Values: settings.Explain(path),
	}, nil
}

// Tree implements admin.Daemon.
func (d *Daemon) Tree() (setts.Tree, error) {
	settings := d.keeper.EffectiveSettings()
	if settings == nil {
		return setts.Tree{}, trace.NotFound("this daemon has no settings yet")
	}
	return settings.Tree, nil
}

// Submit implements admin.Daemon. The time of the change is set here.
func (d *Daemon) Submit(ctx context.Context, c setts.Change) (setts.Change, error) {
	c.At = time.Now()
	return rings.NewLog(d.platform).Submit(ctx, c)
}

// History implements admin.Daemon.
func (d *Daemon) History(ctx context.Context) ([]setts.Change, error) {
	entry, outcome := d.platform.Get(ctx, rings.HeadKey)
	if outcome != model.Done {
		return nil, trace.ConnectionProblem(nil, "the key-value service gave no answer: %s", outcome.String())
	}
	head, err := rings.DecodeHead(entry.Value)
	return head.Entries, err
}

// InForce implements admin.Daemon. A daemon that does not answer counts as behind.
func (d *Daemon) InForce(ctx context.Context, revision model.Revision) admin.InForce {
	result := admin.InForce{Revision: revision, Reached: []model.DaemonID{}, Behind: []model.DaemonID{}}
	classify := func(id model.DaemonID, reached bool) {
		if reached {
			result.Reached = append(result.Reached, id)
		} else {
			result.Behind = append(result.Behind, id)
		}
	}
	classify(d.daemonID(), d.keeper.Revision() >= revision)
	d.queryPeers(ctx, peer.Request{Settings: &peer.SettingsRequest{After: revision}}, func(id model.DaemonID, answer peer.Answer, err error) {
		classify(id, err == nil && answer.Revision >= revision)
	})
	slices.Sort(result.Reached)
	slices.Sort(result.Behind)
	return result
}

// queryPeers sends a request to all other listed daemons concurrently and passes each
// answer or error to handle, one at a time. It returns when all are handled.
func (d *Daemon) queryPeers(ctx context.Context, request peer.Request, handle func(model.DaemonID, peer.Answer, error)) {
	d.mu.Lock()
	peers := d.fleet.Peers()
	d.mu.Unlock()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, id := range peers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			answer, err := d.client.Ask(ctx, id, request)
			mu.Lock()
			defer mu.Unlock()
			handle(id, answer, err)
		})
	}
	wg.Wait()
}

// Burn implements admin.Daemon. The report names the daemons that did not answer.
func (d *Daemon) Burn(ctx context.Context) (burn.Report, error) {
	own, err := d.burnRecorder.Snapshot(d.daemonID())
	if err != nil {
		return burn.Report{}, err
	}
	snapshots, missing := []burn.Snapshot{own}, []model.DaemonID{}
	d.queryPeers(ctx, peer.Request{Burn: &peer.BurnRequest{}}, func(id model.DaemonID, answer peer.Answer, err error) {
		snapshot, decodeErr := burn.DecodeSnapshot(answer.Burn)
		if err != nil || decodeErr != nil {
			missing = append(missing, id)
			return
		}
		snapshots = append(snapshots, snapshot)
	})
	slices.Sort(missing)
	return burn.Merge(time.Now(), snapshots, missing)
}

// Status implements admin.Daemon.
func (d *Daemon) Status() admin.Status {
	status := admin.Status{Daemon: d.daemonID(), Revision: d.keeper.Revision(), Ready: "yes", OwnedShards: d.calls.OwnedShards(), Servers: []admin.ServerStatus{}}
	if err := d.ready(); err != nil {
		status.Ready = err.Error()
	}
	d.mu.Lock()
	status.LiveDaemons, status.ShardOwners = d.fleet.Live(time.Now()), d.fleet.Owners()
	d.mu.Unlock()
	d.View(func(c *core.Core) {
		status.InProgress, status.RecoveredStreams, status.DroppedTokens = c.InProgress(), c.RecoveredStreams(), c.DroppedTokens()
		for _, id := range c.ServerIDs() {
			if server, ok := c.Server(id); ok {
				status.Servers = append(status.Servers, serverStatus(server))
			}
		}
	})
	return status
}

// serverStatus returns the status of a backend server for operators.
func serverStatus(server table.Server) admin.ServerStatus {
	state := "live"
	switch {
	case !server.Listed:
		state = "not listed"
	case !server.Reported:
		state = "no report"
	case server.Leaving():
		state = "leaving"
	case !server.Usable(time.Now()):
		state = "resting"
	}
	return admin.ServerStatus{
		Server: server.ID, Model: server.Report.Model, Span: server.Report.Span, State: state,
		OwnStreams: len(server.Users), ReportedRunning: server.Report.Running,
	}
}

// describeLastRoute returns the engines and layers of the latest request's route as text.
func (d *Daemon) describeLastRoute() string {
	var description strings.Builder
	d.View(func(c *core.Core) {
		for i, hop := range c.LastRoute().Hops {
			if i > 0 {
				description.WriteString(" -> ")
			}
			fmt.Fprintf(&description, "%s (layers %d-%d)", hop.Server, hop.Span.From, hop.Span.To)
		}
	})
	return description.String()
}
