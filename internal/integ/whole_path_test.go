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

// Guards against failures that show only between separate processes: a model request gets the
// expected answer through each daemon, a booking repeated with its key through any daemon gets
// the first response, and a key that is reused for another booking is refused.
func TestEndToEnd(t *testing.T) {
	s := newSite(t)
	s.startEngines(2)
	serviceAddress := s.startFake("service")
	s.putMember(model.Member{ID: "bookings-0", Address: serviceAddress, Role: model.Service, Service: "bookings"})
	for _, name := range []string{"d0", "d1", "d2"} {
		s.startDaemon(name)
	}
	s.applySettings()
	out, err := s.runCLI("d1", "settings", "wait")
	assert.NilError(t, err, out)

	chatRequest := `{"model":"roster-7b","messages":[{"role":"user","content":"Draft a roster"}]}`
	want := strings.Join(fakes.Answer("user: Draft a roster\n", 32, 0), "")
	for _, name := range []string{"d0", "d1", "d2"} {
		var status int
		var body string
		s.eventually("completion through "+name, func() bool {
			status, body = s.post(name, "/v1/chat/completions", "", chatRequest)
			return status == http.StatusOK
		})
		var answer front.Completion
		assert.NilError(t, json.Unmarshal([]byte(body), &answer))
		assert.Equal(t, answer.Choices[0].Message.Content, want)
	}

	var firstBody string
	s.eventually("first booking", func() bool {
		status, body := s.post("d0", "/v1/services/bookings/visits", `"visit-1"`, "household 12")
		firstBody = body
		return status == http.StatusOK
	})
	for _, name := range []string{"d0", "d1", "d2"} {
		status, body := s.post(name, "/v1/services/bookings/visits", `"visit-1"`, "household 12")
		assert.Equal(t, status, http.StatusOK, body)
		assert.Equal(t, body, firstBody)
	}
	status, body := s.post("d1", "/v1/services/bookings/visits", `"visit-1"`, "household 13")
	assert.Equal(t, status, http.StatusUnprocessableEntity, body)
	for _, name := range []string{"d0", "d1", "d2"} {
		assert.NilError(t, s.stopDaemon(name))
	}
}
