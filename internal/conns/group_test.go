package conns

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// testClient is a client that records that it was dropped.
type testClient struct {
	*Client
	dropped bool
	// droppedIn is the stage in which it was.
	droppedIn Stage
	// wasRefused is set if it was to be told that there is no room.
	wasRefused bool
}

// add adds a client to a group; nil if it was rejected.
func add(g *Group) *testClient {
	c := &testClient{}
	if c.Client = g.Add(func() { c.dropped, c.droppedIn = true, c.stage }); c.Client == nil {
		return nil
	}
	c.wasRefused = c.Refused()
	return c
}

// TestNewClientTakesLeastNeededConnection checks whose connection makes room for a new client.
func TestNewClientTakesLeastNeededConnection(t *testing.T) {
	g := NewGroup(Limits{Clients: 4, Refused: 1, Bytes: math.MaxInt64})
	serving, reading, firstIdle, secondIdle := add(g), add(g), add(g), add(g)
	serving.SetStage(Serving)
	reading.SetStage(Reading)
	for _, victim := range []*testClient{firstIdle, secondIdle} {
		next := add(g)
		assert.Assert(t, victim.dropped && !next.Refused())
		next.SetStage(Serving)
	}
	next := add(g)
	assert.Assert(t, reading.dropped && !serving.dropped)
	next.SetStage(Serving)

	refused := add(g)
	assert.Assert(t, refused.Refused())
	assert.Assert(t, !serving.dropped, "a request that was read whole makes no room")
	assert.Assert(t, add(g).Refused() && refused.dropped, "only so many clients are told that there is no room")

	done := serving.write()
	serving.since = serving.since.Add(-stalledAfter)
	assert.Assert(t, !add(g).Refused() && serving.dropped, "a client that does not read its answer makes room")
	done()
	assert.Equal(t, g.Counts().Clients, 5)
}

// TestRequestTakesNothingFromAnswersInProgress checks that a request that finds no room is refused rather than an answer that
// its client reads.
func TestRequestTakesNothingFromAnswersInProgress(t *testing.T) {
	g := NewGroup(Limits{Clients: 10, Bytes: 100})
	answered, next := add(g), add(g)
	assert.NilError(t, answered.Take(80))
	answered.SetStage(Serving)
	done := answered.write()
	defer done()
	next.SetStage(Reading)
	assert.ErrorIs(t, next.Take(30), ErrNoRoom)
	assert.Assert(t, !answered.dropped)
	answered.since = answered.since.Add(-slowAfter)
	next.SetStage(Serving)
	assert.NilError(t, next.Take(30))
	assert.Assert(t, answered.dropped)
}

// TestNoConnectionForRefusals checks that a group without connections for refusals rejects clients.
func TestNoConnectionForRefusals(t *testing.T) {
	g := NewGroup(Limits{Clients: 1, Bytes: math.MaxInt64})
	add(g).SetStage(Serving)
	assert.Assert(t, add(g) == nil)
	assert.Equal(t, g.Counts().Rejected, uint64(1))
}

// TestMemoryIsTakenFromLargestRequest checks who loses its connection when memory runs out.
func TestMemoryIsTakenFromLargestRequest(t *testing.T) {
	g := NewGroup(Limits{Clients: 10, Bytes: 100})
	serving, small, large, idle := add(g), add(g), add(g), add(g)
	assert.NilError(t, serving.Take(30))
	serving.SetStage(Serving)
	for c, bytes := range map[*testClient]int64{small: 20, large: 40} {
		c.SetStage(Reading)
		assert.NilError(t, c.Take(bytes))
	}
	assert.NilError(t, idle.Take(10))
	assert.NilError(t, small.Take(5))
	assert.Assert(t, idle.dropped)
	assert.NilError(t, small.Take(10))
	assert.Assert(t, large.dropped)
	assert.ErrorIs(t, large.Take(1), errDropped)
	assert.ErrorIs(t, small.Take(40), ErrNoRoom)
	assert.Equal(t, g.Counts().HeldBytes, int64(65))
	// An answer is kept, and others that are read slower make room.
	serving.Keep(40)
	assert.Assert(t, small.dropped)
	serving.Reset(0)
	assert.Equal(t, g.Counts().HeldBytes, int64(0))
}

// TestGroupKeepsItsLimits draws what clients do. The group must keep its limits, count right, and drop nobody whose request
// was read whole, unless its answer is being written.
func TestGroupKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Clients: rapid.IntRange(1, 6).Draw(t, "clients"), Refused: rapid.IntRange(0, 2).Draw(t, "refused"), Bytes: 1000}
		g := NewGroup(limits)
		var clients []*testClient
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(clients) == 0 || rapid.IntRange(0, 2).Draw(t, "action") == 0 {
				if c := add(g); c != nil {
					clients = append(clients, c)
				}
			} else {
				c := clients[rapid.IntRange(0, len(clients)-1).Draw(t, "client")]
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					c.SetStage(Stage(rapid.IntRange(int(Idle), int(Writing)).Draw(t, "stage")))
				case 1:
					_ = c.Take(int64(rapid.IntRange(1, 600).Draw(t, "bytes")))
				case 2:
					c.Reset(10)
				case 3:
					c.Remove()
				}
			}
			var held int64
			for _, c := range clients {
				held += c.held
				assert.Assert(t, !c.dropped || c.droppedIn != Serving || c.wasRefused)
			}
			counts := g.Counts()
			assert.Equal(t, counts.HeldBytes, held)
			assert.Assert(t, g.clients() <= limits.Clients && g.refused.Len() <= limits.Refused)
		}
	})
}

// TestKeepIsBoundedByOthers checks that answers that nobody reads make room for the next one.
func TestKeepIsBoundedByOthers(t *testing.T) {
	g := NewGroup(Limits{Clients: 100, Bytes: 1000})
	for range 50 {
		c := add(g)
		c.SetStage(Serving)
		c.Keep(300)
		c.write()
		assert.Assert(t, g.Counts().HeldBytes <= 1000)
	}
	assert.Assert(t, time.Since(clientAt(g.stages[Writing].Front()).since) < time.Minute)
}
