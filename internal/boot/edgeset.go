package boot

import (
	"expvar"
	"net/http"
	"time"

	"bulrushpond.example/bulrushpond/internal/conns"
	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/length"
	"bulrushpond.example/bulrushpond/internal/core/ranks"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

const (
	// defaultFirstToken and defaultTokenGap are the objectives of the burn report, which
	// doesn't know those of the routes.
	defaultFirstToken = 500 * time.Millisecond
	defaultTokenGap   = 250 * time.Millisecond
)

// edgeRootPolicy returns the policy of a daemon that is configured by a routing, which may
// be nil.
func edgeRootPolicy(routing *setts.Routing) setts.Policy {
	policy := setts.Defaults()
	policy.FirstToken, policy.TokenGap = defaultFirstToken, defaultTokenGap
	policy.EnginesCheckFence = true
	if routing == nil {
		return policy
	}
	for name, service := range routing.Services {
		if service.Engine != nil {
			policy.Models[name] = max(1, service.Engine.Layers)
		}
	}
	return policy
}

// coreSettings converts a routing to the settings of the decision core, in which each
// service with model engines is a model.
func coreSettings(routing *setts.Routing) *setts.EffectiveSettings {
	root := edgeRootPolicy(routing)
	teams := map[model.Team]setts.Policy{}
	for team := range routing.Teams {
		teams[team] = root
	}
	teams[""] = root
	settings := setts.EffectiveSettingsOf(routing.Revision, root, teams)
	settings.Ranks = ranks.Of(routing)
	return settings
}

// EdgeVars are the metrics of an EdgeDaemon.
type EdgeVars struct {
	drive.Meters
	RankVars
	EvenVars
	SettingsRevision uint64 `json:"settings_revision"`
	// StoreRevision is the revision of the copy of the key-value service. StoreAgeMs is
	// the time since the service last answered this daemon directly.
	StoreRevision uint64 `json:"store_revision"`
	// StoreEra counts how often the key-value service was restored from an older copy.
	StoreEra           uint64 `json:"store_era"`
	StoreAgeMs         int64  `json:"store_age_ms"`
	RequestsInProgress int64  `json:"requests_in_progress"`
	StreamsRecovered   uint64 `json:"streams_recovered"`
	TokensDropped      uint64 `json:"tokens_dropped"`
	EnginesKnown       int    `json:"engines_known"`
	Daemons            int    `json:"daemons"`
	// PlacementFence is the fencing token under which this daemon places layers; 0 if
	// another daemon owns the placement.
	PlacementFence  uint64 `json:"placement_fence"`
	LogLinesDropped uint64 `json:"log_lines_dropped"`
	// ServerPauses counts the answers in which a backend server asked for a pause, and
	// ServersSaidLeaving the servers that said that they will stop.
	ServerPauses       uint64 `json:"server_pauses"`
	ServersSaidLeaving uint64 `json:"servers_said_leaving"`
	// LimitedAnswers counts the answers in which a backend server named a limit, and InvalidHeaders the
	// headers with a value that cannot be used. ServersLimited is the number of servers with a limit.
	LimitedAnswers uint64 `json:"limited_answers"`
	InvalidHeaders uint64 `json:"invalid_headers"`
	ServersLimited int    `json:"servers_limited"`
	// BrokenAnswers counts the answers of servers and of the key-value service that were broken, by what was wrong with them.
	BrokenAnswers map[string]uint64 `json:"broken_answers"`
	// BudgetDaemons is the number of daemons that the retry budget is shared by.
	BudgetDaemons int `json:"budget_daemons"`
	// RetryBudgets is how the services' retry budgets were used.
	RetryBudgets map[string]retry.Usage `json:"retry_budgets,omitempty"`
	// EngineCrashes counts the streams whose engine ended when it began the answer.
	// PartsBlocked counts the prompt parts that were blocked, PartsBlockedNow those that are, and
	// RequestsBlocked the requests that were refused or failed because of one.
	EngineCrashes   uint64 `json:"engine_crashes"`
	PartsBlocked    uint64 `json:"parts_blocked"`
	PartsBlockedNow int    `json:"parts_blocked_now"`
	RequestsBlocked uint64 `json:"requests_blocked"`
	// RequestBlocksNow is the number of requests that are refused since servers crash on them.
	// RequestsBlocked includes how often one was.
	RequestBlocksNow int `json:"request_blocks_now"`
	// ServicesCutOff are the services whose servers this daemon does not reach. RequestsProxied counts the requests of
	// its callers that were sent to other daemons for that reason; ProxiedInProgress is the number of requests of other
	// daemons in progress here.
	ServicesCutOff    []string `json:"services_cut_off,omitempty"`
	RequestsProxied   uint64   `json:"requests_proxied"`
	ProxiedInProgress int64    `json:"proxied_in_progress"`
	// Clients is what the clients of each port hold, and how often limits for that acted.
	Clients map[string]conns.Counts `json:"clients"`
	// ServerConns is the number of connections to backend servers, and ServerConnsRefused counts those that were not opened
	// since there were too many.
	ServerConns        int64  `json:"server_conns"`
	ServerConnsRefused uint64 `json:"server_conns_refused"`
	// UnreadBytes are the bytes of the events that callers have not read, and UnreadCut counts the streams that were cut
	// since these were too many.
	UnreadBytes int64  `json:"unread_bytes"`
	UnreadCut   uint64 `json:"unread_cut"`
	// AnswerLengths shows how good the estimates of answers' lengths are.
	AnswerLengths length.Metrics `json:"answer_lengths"`
}

// publishEdgeMetrics publishes the metrics of a daemon at /debug/vars. It may be called
// once in a process.
func publishEdgeMetrics(d *EdgeDaemon, logWriter *evlog.Writer) {
	expvar.Publish("bulrushpond_edge", expvar.Func(func() any {
		vars := EdgeVars{
			Meters: d.edge.Meter().Read(), StoreEra: d.feed.Position().Era, StoreRevision: d.feed.Position().Revision, StoreAgeMs: d.feed.Age(time.Now()).Milliseconds(),
			RequestsInProgress: d.edge.InProgress(), PlacementFence: d.duty.FencingToken(), LogLinesDropped: logWriter.DroppedLines(),
			ServerPauses: d.pauses.Load(), ServersSaidLeaving: d.leaving.Load(),
			Clients: d.ports.counts(), LimitedAnswers: d.limitedAnswers.Load(), InvalidHeaders: d.invalidHeaders.Load(), ServersLimited: d.edge.LimitedServers(),
			BrokenAnswers: d.broken.Read(),
		}
		if routing := d.edge.Routing(); routing != nil {
			vars.SettingsRevision = uint64(routing.Revision)
		}
		d.streams.View(func(c *core.Core) {
			vars.EvenVars = readEvenVars(c)
			vars.BudgetDaemons = c.BudgetDaemons()
			vars.RankVars = rankVars(c)
			vars.ServersLimited += c.LimitedServers()
			m := c.CrashMetrics()
			vars.EngineCrashes, vars.PartsBlocked, vars.PartsBlockedNow, vars.RequestsBlocked = m.EngineCrashes, m.PartsBlocked, m.PartsBlockedNow, m.RequestsBlocked
			vars.RequestBlocksNow = m.RequestBlocksNow
			vars.AnswerLengths = c.LengthMetrics()
			vars.StreamsRecovered, vars.TokensDropped, vars.EnginesKnown = c.RecoveredStreams(), c.DroppedTokens(), c.ServerCount()
		})
		vars.ServerConns, vars.ServerConnsRefused = d.engines.ServerConns()
		vars.UnreadBytes, vars.UnreadCut = d.streams.Unread()
		vars.RetryBudgets = d.edge.RetryUsage(time.Now())
		vars.ServicesCutOff = d.edge.CutOff()
		vars.RequestsProxied, vars.ProxiedInProgress = d.edge.ProxiedRequests()
		blocked, refused := d.edge.BlockedRequests()
		vars.RequestBlocksNow += blocked
		vars.RequestsBlocked += refused
		d.mu.Lock()
		defer d.mu.Unlock()
		vars.Daemons = d.daemonCount
		return vars
	}))
}

// metricsServer returns the HTTP server for the metrics of the process, at /debug/vars.
func (d *EdgeDaemon) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: requestTimeout, ReadTimeout: requestTimeout, IdleTimeout: metricsIdleTimeout, MaxHeaderBytes: maxMetricsHeadBytes,
	}
}
