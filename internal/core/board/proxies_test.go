package board

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestProxiesReachWhatTheDaemonDoesNot guards against requests that are sent to daemons behind the same cut, and
// against a cut zone whose requests all go to a few daemons. A third of the daemons, or all but one, are cut off.
func TestProxiesReachWhatTheDaemonDoesNot(t *testing.T) {
	for _, daemons := range []int{7, 195, 390} {
		for _, cutDaemons := range []int{1, daemons / 3, daemons - 1} {
			t.Run(fmt.Sprintf("%d of %d daemons", cutDaemons, daemons), func(t *testing.T) {
				now := time.Unix(1000, 0)
				st := New()
				id := func(i int) model.DaemonID { return model.DaemonID(fmt.Sprintf("d%03d", i)) }
				for i := range daemons {
					status := DaemonStatus{Address: string(id(i)), ServesProxied: true}
					switch {
					case i < cutDaemons:
						status.CutOff = []string{"engines"}
					case i%5 == 0:
						// This one reaches the engines all the same.
						status.CutOff = []string{"plain"}
					}
					st.Put(now, id(i), status)
				}
				const rounds, perRound = 40, 4
				used := map[string]int{}
				for range rounds {
					for i := range cutDaemons {
						proxies := st.Proxies(id(i), perRound)
						assert.Assert(t, len(proxies) > 0)
						for _, address := range proxies {
							used[address]++
							assert.Assert(t, address >= string(id(cutDaemons)), "%s is behind the cut", address)
						}
					}
				}
				if total := rounds * cutDaemons * perRound; total >= 8*daemons {
					most, least := 0, total
					for i := cutDaemons; i < daemons; i++ {
						most, least = max(most, used[string(id(i))]), min(least, used[string(id(i))])
					}
					assert.Assert(t, most <= 2*least+2, "used %d to %d times", least, most)
				}
			})
		}
	}
}

// TestProxiesOfReachingDaemonReachEverything guards against a daemon that does not know at the start of a cut who can
// help, and against daemons of earlier versions or stopping ones that are sent requests.
func TestProxiesOfReachingDaemonReachEverything(t *testing.T) {
	now := time.Unix(1000, 0)
	st := New()
	st.Put(now, "d0", DaemonStatus{Address: "a0", ServesProxied: true})
	st.Put(now, "d1", DaemonStatus{Address: "a1", ServesProxied: true, CutOff: []string{"plain"}})
	st.Put(now, "d2", DaemonStatus{Address: "a2"})
	st.Put(now, "d3", DaemonStatus{Address: "a3", ServesProxied: true})
	for range 4 {
		assert.DeepEqual(t, st.Proxies("d0", 4), []string{"a3"})
	}
	st.Put(now, "d0", DaemonStatus{Address: "a0", ServesProxied: true, CutOff: []string{"engines", "plain"}})
	st.Put(now, "d3", DaemonStatus{Address: "a3", ServesProxied: true, CutOff: []string{"engines"}})
	assert.Equal(t, len(st.Proxies("d0", 4)), 0)
	assert.DeepEqual(t, st.Proxies("d1", 4), []string{"a3"})
}
