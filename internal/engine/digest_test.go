package engine

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestDigestTellsRequestsApart checks which requests have the same digest.
func TestDigestTellsRequestsApart(t *testing.T) {
	base := Origin{ID: "q1", Method: "POST", Host: "h", Target: "/a/b", Team: "north", Body: []byte("x")}
	with := func(change func(*Origin)) Origin {
		o := base
		change(&o)
		return o
	}
	type scenario struct {
		name string
		o    Origin
		same bool
	}
	for _, s := range []scenario{
		{"again", with(func(o *Origin) { o.ID = "q2" }), true},
		{"another priority", with(func(o *Origin) { o.Priority = 3 }), true},
		{"another method", with(func(o *Origin) { o.Method = "PUT" }), false},
		{"another host", with(func(o *Origin) { o.Host = "g" }), false},
		{"another path", with(func(o *Origin) { o.Target = "/a/c" }), false},
		{"another team", with(func(o *Origin) { o.Team = "south" }), false},
		{"another body", with(func(o *Origin) { o.Body = []byte("y") }), false},
		{"no body", with(func(o *Origin) { o.Body = nil }), false},
		{"the end of a field at the start of the next", with(func(o *Origin) { o.Host, o.Target = "h/a", "/b" }), false},
	} {
		t.Run(s.name, func(t *testing.T) {
			assert.Equal(t, DigestOf(&s.o) == DigestOf(&base), s.same)
			assert.Assert(t, DigestOf(&s.o) != 0)
		})
	}
}
