package integ

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/internal/front"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// A model request and a booking are served from end to end by separate
// processes, and a repeated booking through another daemon gets the first
// answer.
func TestWholePath(t *testing.T) {
	s := newSite(t)
	s.engines(2)
	booking := s.standin("service")
	s.list(model.Member{ID: "bookings-0", Address: booking, Role: model.Service, Service: "bookings"})
	for _, name := range []string{"d0", "d1", "d2"} {
		s.start(name)
	}
	s.apply()
	out, err := s.run("d1", "settings", "wait")
	assert.NilError(t, err, out)

	question := `{"model":"roster-7b","messages":[{"role":"user","content":"Draft a roster"}]}`
	want := strings.Join(fakes.Answer("user: Draft a roster\n", 32, 0), "")
	for _, name := range []string{"d0", "d1", "d2"} {
		var status int
		var body string
		s.eventually("answer from "+name, func() bool {
			status, body = s.post(name, "/v1/chat/completions", "", question)
			return status == http.StatusOK
		})
		var answer front.Completion
		assert.NilError(t, json.Unmarshal([]byte(body), &answer))
		assert.Equal(t, answer.Choices[0].Message.Content, want)
	}

	var first string
	s.eventually("first booking", func() bool {
		status, body := s.post("d0", "/v1/services/bookings/visits", `"visit-1"`, "household 12")
		first = body
		return status == http.StatusOK
	})
	for _, name := range []string{"d0", "d1", "d2"} {
		status, body := s.post(name, "/v1/services/bookings/visits", `"visit-1"`, "household 12")
		assert.Equal(t, status, http.StatusOK, body)
		assert.Equal(t, body, first)
	}
	status, body := s.post("d1", "/v1/services/bookings/visits", `"visit-1"`, "household 13")
	assert.Equal(t, status, http.StatusUnprocessableEntity, body)
	for _, name := range []string{"d0", "d1", "d2"} {
		assert.NilError(t, s.stop(name))
	}
}
