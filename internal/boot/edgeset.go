package boot

import (
	"expvar"
	"net/http"
	"time"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

const (
	// edgeFirstToken and edgeGap are the objectives of the burn report where routes
	// have their own.
	edgeFirstToken = 500 * time.Millisecond
	edgeGap        = 250 * time.Millisecond
)

// rootPolicy is the policy of a daemon whose settings come as a routing.
func rootPolicy(r *setts.Routing) setts.Policy {
	p := setts.Defaults()
	p.FirstToken, p.TokenGap = edgeFirstToken, edgeGap
	p.EnginesCheckFence = true
	if r == nil {
		return p
	}
	for name, service := range r.Services {
		if service.Engine != nil {
			p.Models[name] = max(1, service.Engine.Layers)
		}
	}
	return p
}

// forceOf makes a routing ready for the decision core: each service with model engines
// is a model there.
func forceOf(r *setts.Routing) *setts.Force {
	root := rootPolicy(r)
	teams := map[model.Team]setts.Policy{}
	for team := range r.Teams {
		teams[team] = root
	}
	teams[""] = root
	return setts.ForceOf(r.Revision, root, teams)
}

// EdgeVars are the metrics of a daemon on the platform.
type EdgeVars struct {
	drive.Meters
	SettingsRevision uint64 `json:"settings_revision"`
	// StoreRevision is that up to which the key-value service is known, StoreAge how
	// long ago it last answered this daemon itself.
	StoreRevision    uint64 `json:"store_revision"`
	StoreAgeMs       int64  `json:"store_age_ms"`
	RequestsNow      int64  `json:"requests_in_progress"`
	StreamsRecovered uint64 `json:"streams_recovered"`
	TokensDropped    uint64 `json:"tokens_dropped"`
	EnginesKnown     int    `json:"engines_known"`
	Daemons          int    `json:"daemons"`
	// Fence is the fencing number under which this daemon places layers; 0 where
	// another one does.
	Fence           uint64 `json:"placement_fence"`
	LogLinesDropped uint64 `json:"log_lines_dropped"`
}

// publishEdge makes a daemon's metrics readable at /debug/vars. A process publishes at
// most one daemon.
func publishEdge(n *EdgeNode, w *evlog.Writer) {
	expvar.Publish("bulrushpond_edge", expvar.Func(func() any {
		v := EdgeVars{
			Meters: n.edge.Meter().Read(), StoreRevision: n.feed.At(), StoreAgeMs: n.feed.Age(time.Now()).Milliseconds(),
			RequestsNow: n.edge.Running(), Fence: n.duty.Owned(), LogLinesDropped: w.Dropped(),
		}
		if r := n.edge.Routing(); r != nil {
			v.SettingsRevision = uint64(r.Revision)
		}
		n.streams.View(func(c *core.Core) {
			v.StreamsRecovered, v.TokensDropped, v.EnginesKnown = c.Recovered(), c.Dropped(), c.Servers()
		})
		n.mu.Lock()
		defer n.mu.Unlock()
		v.Daemons = n.sharing
		return v
	}))
}

// metricsHandler serves the daemon's metrics.
func (n *EdgeNode) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}
