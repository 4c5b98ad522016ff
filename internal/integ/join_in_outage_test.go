package integ

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// The platform is killed before a daemon starts that knows only a peer's address. Guards against
// a daemon that can't start, get the current settings and serve model requests without the
// platform.
func TestDaemonJoinsDuringPlatformOutage(t *testing.T) {
	s := newSite(t)
	s.startEngines(1)
	s.startDaemon("d0")
	s.applySettings()
	const completion = `{"model":"roster-7b","prompt":"Draft a roster"}`
	s.eventually("completion through d0", func() bool {
		status, _ := s.post("d0", "/v1/completions", "", completion)
		return status == http.StatusOK
	})
	s.killFake("platform")
	s.startUnlistedDaemon("d1", []string{s.daemons["d0"].settings.Peers})
	s.eventually("completion through d1", func() bool {
		status, _ := s.post("d1", "/v1/completions", "", completion)
		return status == http.StatusOK
	})
	resp, err := http.Get("http://" + s.daemons["d1"].settings.Callers + "/readyz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
