package integ

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// The platform dies; a daemon that knows only a peer's address starts all the
// same, has the settings in force, and serves model requests.
func TestJoinInOutage(t *testing.T) {
	s := newSite(t)
	s.engines(1)
	s.start("d0")
	s.apply()
	const question = `{"model":"roster-7b","prompt":"Draft a roster"}`
	s.eventually("answer through d0", func() bool {
		status, _ := s.post("d0", "/v1/completions", "", question)
		return status == http.StatusOK
	})
	s.kill("platform")
	s.startWith("d1", []string{s.daemons["d0"].file.Peers})
	s.eventually("answer through d1", func() bool {
		status, _ := s.post("d1", "/v1/completions", "", question)
		return status == http.StatusOK
	})
	resp, err := http.Get("http://" + s.daemons["d1"].file.Callers + "/readyz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
