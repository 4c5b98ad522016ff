package boot

import (
	"expvar"
	"runtime/metrics"
	"sync"

	"bulrushpond.example/bulrushpond/internal/conns"
	"bulrushpond.example/bulrushpond/internal/core"
)

// publishedDaemon is the daemon whose metrics this process publishes. expvar has one set of
// names for a process, so if several daemons run in it, as in the dev command, the metrics
// are those of the daemon that was created last.
var publishedDaemon struct {
	mu     sync.Mutex
	daemon *Daemon
	once   sync.Once
}

// publishMetrics publishes the metrics of a daemon at /debug/vars, in place of those of
// an earlier one.
func publishMetrics(d *Daemon) {
	publishedDaemon.mu.Lock()
	publishedDaemon.daemon = d
	publishedDaemon.mu.Unlock()
	publishedDaemon.once.Do(func() {
		expvar.Publish("bulrushpond", expvar.Func(func() any {
			publishedDaemon.mu.Lock()
			defer publishedDaemon.mu.Unlock()
			return publishedDaemon.daemon.currentMetrics()
		}))
	})
}

// Vars are the metrics of a Daemon.
type Vars struct {
	SettingsRevision   uint64 `json:"settings_revision"`
	RequestsInProgress int    `json:"requests_in_progress"`
	StreamsRecovered   uint64 `json:"streams_recovered"`
	TokensDropped      uint64 `json:"tokens_dropped"`
	EnginesKnown       int    `json:"engines_known"`
	ShardsOwned        int    `json:"shards_owned"`
	HeapBytes          uint64 `json:"heap_bytes"`
	// Clients is what the clients of each port hold, and how often limits for that acted.
	Clients map[string]conns.Counts `json:"clients"`
	// UnreadBytes and UnreadCut have the meaning they have in EdgeVars.
	UnreadBytes int64  `json:"unread_bytes"`
	UnreadCut   uint64 `json:"unread_cut"`
	// BrokenAnswers has the meaning it has in EdgeVars.
	BrokenAnswers map[string]uint64 `json:"broken_answers"`
}

// currentMetrics returns the current values of the metrics.
func (d *Daemon) currentMetrics() Vars {
	vars := Vars{SettingsRevision: uint64(d.keeper.Revision()), ShardsOwned: len(d.calls.OwnedShards()), Clients: d.ports.counts(), BrokenAnswers: d.broken.Read()}
	vars.UnreadBytes, vars.UnreadCut = d.streams.Unread()
	d.View(func(c *core.Core) {
		vars.RequestsInProgress, vars.EnginesKnown = c.InProgress(), c.ServerCount()
		vars.StreamsRecovered, vars.TokensDropped = c.RecoveredStreams(), c.DroppedTokens()
	})
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	vars.HeapBytes = sample[0].Value.Uint64()
	return vars
}
