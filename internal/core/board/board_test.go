package board

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestBoard: a daemon learns the sum of the others' loads and not its own, and what a
// silent daemon told is forgotten.
func TestBoard(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	st := New()
	st.Put(now, "a", Told{Address: "10.0.0.1:1", Loads: []Load{{Server: "e", Tokens: 10, Streams: 1}}, Suspects: []model.ServerID{"g", "f"}})
	st.Put(now, "b", Told{Address: "10.0.0.2:1", Loads: []Load{{Server: "e", Tokens: 20, Streams: 2}, {Server: "f", Tokens: 1, Streams: 1}}})
	st.Put(now, "c", Told{Address: "10.0.0.3:1", Loads: []Load{{Server: "e", Tokens: 5, Streams: 1}}, Suspects: []model.ServerID{"g"}})
	assert.DeepEqual(t, st.Suspects(now), []model.ServerID{"f", "g"})
	assert.DeepEqual(t, st.Others(now, "a"), []Load{{Server: "e", Tokens: 25, Streams: 3}, {Server: "f", Tokens: 1, Streams: 1}})
	assert.Equal(t, st.Daemons(now), 3)
	assert.DeepEqual(t, st.Peers("a", 4), []string{"10.0.0.2:1", "10.0.0.3:1"})
	later := now.Add(Fresh)
	st.Put(later, "c", Told{Address: "10.0.0.3:1"})
	assert.Equal(t, len(st.Suspects(later)), 0)
	assert.Equal(t, st.Daemons(later), 1)
	assert.Equal(t, len(st.Others(later, "a")), 0)
	assert.Equal(t, len(st.Peers("c", 4)), 0)
}
