package boot

import (
	"expvar"
	"runtime/metrics"
	"sync"

	"bulrushpond.example/bulrushpond/internal/core"
)

// nodeVars are the metrics of the daemon that runs in this process. expvar has
// one set of names for a process; with several daemons in it, as in the dev
// command, the metrics are those of the daemon that was made last.
var nodeVars struct {
	mu   sync.Mutex
	node *Node
	once sync.Once
}

// publish makes a daemon's metrics readable at /debug/vars.
func publish(n *Node) {
	nodeVars.mu.Lock()
	nodeVars.node = n
	nodeVars.mu.Unlock()
	nodeVars.once.Do(func() {
		expvar.Publish("bulrushpond", expvar.Func(func() any {
			nodeVars.mu.Lock()
			defer nodeVars.mu.Unlock()
			return nodeVars.node.vars()
		}))
	})
}

// Vars are a daemon's metrics.
type Vars struct {
	SettingsRevision uint64 `json:"settings_revision"`
	RequestsNow      int    `json:"requests_in_progress"`
	StreamsRecovered uint64 `json:"streams_recovered"`
	TokensDropped    uint64 `json:"tokens_dropped"`
	EnginesKnown     int    `json:"engines_known"`
	ShardsOwned      int    `json:"shards_owned"`
	HeapBytes        uint64 `json:"heap_bytes"`
}

func (n *Node) vars() Vars {
	v := Vars{SettingsRevision: uint64(n.keeper.Revision()), ShardsOwned: len(n.calls.Owned())}
	n.View(func(c *core.Core) {
		v.RequestsNow, v.EnginesKnown = c.InProgress(), c.Servers()
		v.StreamsRecovered, v.TokensDropped = c.Recovered(), c.Dropped()
	})
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	v.HeapBytes = sample[0].Value.Uint64()
	return v
}
