package boot

import (
	"expvar"
	"net/http"
	"time"

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

// metricsHandler serves the daemon's metrics.
func (n *EdgeNode) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}
