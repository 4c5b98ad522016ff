package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// serviceList returns a list with a server of service "s" for each state. The servers'
// IDs are "a", "b" and so on.
func serviceList(states ...model.MemberState) []model.Member {
	var list []model.Member
	for i, state := range states {
		list = append(list, model.Member{ID: string(rune('a' + i)), Role: model.Service, Service: "s", State: state})
	}
	return list
}

// TestServices checks that the server with the fewest calls in progress is chosen, and that
// a server that is leaving, drained or was unreachable gets no calls.
func TestServices(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := NewServices()
	take := func() string {
		m, ok := table.Acquire(now, "s")
		if !ok {
			return ""
		}
		return m.ID
	}
	table.ApplyList(serviceList(model.Live, model.Live, model.Leaving))
	assert.Assert(t, table.Listed("s") && !table.Listed("other"))
	assert.Equal(t, take()+take()+take(), "aba")
	table.Release(now, "a", false)
	table.Release(now, "a", true)
	assert.Equal(t, take(), "b")
	now = now.Add(avoidDuration)
	assert.Equal(t, take(), "a")
	table.ApplyDrained([]string{"b"})
	assert.Equal(t, take()+take(), "aa")
	table.ApplyList(serviceList(model.Leaving, model.Live))
	assert.Equal(t, take(), "")
	table.ApplyList(nil)
	assert.Assert(t, table.Listed("s"))
	table.ApplyDrained(nil)
	assert.Equal(t, take(), "b")
}
