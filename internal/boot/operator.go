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

func asFailure(err error) *verdt.Error { return verdt.Of(err, verdt.MayHaveRun) }

// Show implements admin.Daemon.
func (n *Node) Show(path string) (admin.Shown, error) {
	f := n.keeper.Force()
	if f == nil {
		return admin.Shown{}, trace.NotFound("this daemon has no settings yet")
	}
	if path == "" {
		path = setts.Root
	}
	node, exists := f.Tree.Nodes[path]
	return admin.Shown{
		Path: path, Revision: f.Revision, Changed: node.Changed, Exists: exists,
		Nodes: f.Tree.Paths(), Values: f.Explain(path),
	}, nil
}

// Tree implements admin.Daemon.
func (n *Node) Tree() (setts.Tree, error) {
	f := n.keeper.Force()
	if f == nil {
		return setts.Tree{}, trace.NotFound("this daemon has no settings yet")
	}
	return f.Tree, nil
}

// Submit implements admin.Daemon.
func (n *Node) Submit(ctx context.Context, c setts.Change) (setts.Change, error) {
	c.At = time.Now()
	return rings.NewLog(n.platform).Submit(ctx, c)
}

// History implements admin.Daemon.
func (n *Node) History(ctx context.Context) ([]setts.Change, error) {
	e, out := n.platform.Get(ctx, rings.HeadKey)
	if out != model.Done {
		return nil, trace.ConnectionProblem(nil, "the key-value service gave no answer: %s", out.String())
	}
	h, err := rings.DecodeHead(e.Value)
	return h.Entries, err
}

// InForce implements admin.Daemon.
func (n *Node) InForce(ctx context.Context, r model.Revision) admin.InForce {
	result := admin.InForce{Revision: r, Reached: []model.DaemonID{}, Behind: []model.DaemonID{}}
	put := func(id model.DaemonID, reached bool) {
		if reached {
			result.Reached = append(result.Reached, id)
		} else {
			result.Behind = append(result.Behind, id)
		}
	}
	put(n.self(), n.keeper.Revision() >= r)
	n.askAll(ctx, peer.Question{Settings: &peer.SettingsQuestion{After: r}}, func(id model.DaemonID, a peer.Answer, err error) {
		put(id, err == nil && a.Revision >= r)
	})
	slices.Sort(result.Reached)
	slices.Sort(result.Behind)
	return result
}

// askAll asks all other daemons that the list names, and takes in their answers
// one after the other.
func (n *Node) askAll(ctx context.Context, q peer.Question, take func(model.DaemonID, peer.Answer, error)) {
	n.mu.Lock()
	peers := n.fleet.Peers()
	n.mu.Unlock()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, id := range peers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			a, err := n.client.Ask(ctx, id, q)
			mu.Lock()
			defer mu.Unlock()
			take(id, a, err)
		})
	}
	wg.Wait()
}

// Burn implements admin.Daemon.
func (n *Node) Burn(ctx context.Context) (burn.Report, error) {
	mine, err := n.recorder.Snapshot(n.self())
	if err != nil {
		return burn.Report{}, err
	}
	snapshots, missing := []burn.Snapshot{mine}, []model.DaemonID{}
	n.askAll(ctx, peer.Question{Burn: &peer.BurnQuestion{}}, func(id model.DaemonID, a peer.Answer, err error) {
		s, derr := burn.DecodeSnapshot(a.Burn)
		if err != nil || derr != nil {
			missing = append(missing, id)
			return
		}
		snapshots = append(snapshots, s)
	})
	slices.Sort(missing)
	return burn.Merge(time.Now(), snapshots, missing)
}

// Status implements admin.Daemon.
func (n *Node) Status() admin.Status {
	s := admin.Status{Daemon: n.self(), Revision: n.keeper.Revision(), Ready: "yes", Owned: n.calls.Owned(), Servers: []admin.ServerStatus{}}
	if err := n.ready(); err != nil {
		s.Ready = err.Error()
	}
	n.mu.Lock()
	s.Live, s.Owners = n.fleet.Live(time.Now()), n.fleet.Owners()
	n.mu.Unlock()
	n.View(func(c *core.Core) {
		s.InProgress, s.Recovered, s.Dropped = c.InProgress(), c.Recovered(), c.Dropped()
		for _, id := range c.ServerIDs() {
			if row, ok := c.Server(id); ok {
				s.Servers = append(s.Servers, statusOf(row))
			}
		}
	})
	return s
}

func statusOf(row table.Server) admin.ServerStatus {
	state := "live"
	switch {
	case !row.Listed:
		state = "not listed"
	case !row.Reported:
		state = "no report"
	case row.Leaving():
		state = "leaving"
	case !row.Usable(time.Now()):
		state = "resting"
	}
	return admin.ServerStatus{
		Server: row.ID, Model: row.Report.Model, Span: row.Report.Span, State: state,
		Own: len(row.Users), Running: row.Report.Running,
	}
}

// lastRoute describes the route of the request that was answered last.
func (n *Node) lastRoute() string {
	var b strings.Builder
	n.View(func(c *core.Core) {
		for i, h := range c.LastRoute().Hops {
			if i > 0 {
				b.WriteString(" -> ")
			}
			fmt.Fprintf(&b, "%s (layers %d-%d)", h.Server, h.Span.From, h.Span.To)
		}
	})
	return b.String()
}
