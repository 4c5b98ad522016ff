package peer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/fleet"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// BenchmarkGossipRound measures merging and encoding the gossip of one round, by fleet
// size.
func BenchmarkGossipRound(b *testing.B) {
	for _, size := range []struct{ daemons, shards int }{{7, 8}, {390, 16}} {
		b.Run(fmt.Sprintf("daemons=%d", size.daemons), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			state := fleet.New("daemon-000")
			var list []model.Member
			var gossip fleet.Gossip
			for i := range size.daemons {
				id := fmt.Sprintf("daemon-%03d", i)
				list = append(list, model.Member{ID: id, Role: model.Daemon})
				gossip.Heartbeats = append(gossip.Heartbeats, fleet.Heartbeat{Daemon: model.DaemonID(id), Count: uint64(now.Unix()), CanOwn: true})
			}
			for i := range size.shards {
				gossip.Owners = append(gossip.Owners, fleet.Ownership{Shard: i, Epoch: 1000, Daemon: "daemon-001"})
			}
			state.ApplyList(list)
			codec, err := sharedCodec()
			if err != nil {
				b.Fatal(err)
			}
			var raw []byte
			b.ReportAllocs()
			for b.Loop() {
				state.Merge(now, gossip)
				outgoing := state.Gossip(12345)
				if raw, err = codec.enc.Marshal(Request{Gossip: &outgoing}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "bytes/message")
		})
	}
}

// BenchmarkSettingsFootprint measures the heap use and snapshot size of the settings, up
// to the number of teams that the design targets.
func BenchmarkSettingsFootprint(b *testing.B) {
	for _, teams := range []int{10, 2700} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			var before, after runtime.MemStats
			var inForce *setts.EffectiveSettings
			var raw []byte
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				tree := setts.NewTree()
				for i := range teams {
					tree.Nodes[fmt.Sprintf("/region-%02d/service/team-%04d", i%11, i)] = setts.Node{Kind: setts.Team, Settings: map[string]string{
						"weight": "2", "requests_per_second": "100", "api_key_sha256": fmt.Sprintf("[%064x]", i),
					}}
				}
				inForce = setts.NewEffectiveSettings(tree)
				runtime.GC()
				runtime.ReadMemStats(&after)
				var err error
				if raw, err = rings.EncodeTree(tree); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "snapshot-bytes")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
			runtime.KeepAlive(inForce)
		})
	}
}
