//go:build linux && !race

package crowd

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/boot"
	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/internal/peer"
	edgefakes "bulrushpond.example/bulrushpond/platform/fakes"
)

// ownDaemon is a daemon with the product's own interface.
type ownDaemon struct {
	*process
	settings boot.File
}

// startOwnDaemon starts a daemon with the product's own interface and waits until it answers. Its limits are those of the
// process: the descriptors, and the memory of the Go runtime.
func startOwnDaemon(t *testing.T) *ownDaemon {
	t.Helper()
	platform := httptest.NewServer(fakes.NewPlatform().Handler())
	t.Cleanup(platform.CloseClientConnections)
	authority, err := peer.NewCertificateAuthority(time.Now().Add(time.Hour))
	assert.NilError(t, err)
	keys, err := authority.Issue("d0", time.Now().Add(time.Hour))
	assert.NilError(t, err)
	d := &ownDaemon{settings: boot.File{Daemon: "d0", Zone: "a", Platform: strings.TrimPrefix(platform.URL, "http://"), Keys: keys}}
	for _, address := range []*string{&d.settings.Callers, &d.settings.Admin, &d.settings.Peers} {
		*address, err = edgefakes.FreeAddress()
		assert.NilError(t, err)
	}
	raw, err := yaml.Marshal(d.settings)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "d0.yaml")
	assert.NilError(t, os.WriteFile(path, raw, 0o600))
	d.process = startProcess(t, false, lowered, nil, []string{"GOMEMLIMIT=" + goMemoryLimit}, "serve", "--settings", path)
	d.eventually("an ordinary request is answered", d.serves)
	return d
}

// goMemoryLimit is the memory limit of the Go runtime, 0.6 of the lowered limit as with a VM's settings.
const goMemoryLimit = "55200000B"

// serves reports whether callers get an answer.
func (d *ownDaemon) serves() bool { return answers(d.settings.Callers, "/healthz") }

// administers reports whether operators get an answer.
func (d *ownDaemon) administers() bool { return answers(d.settings.Admin, "/admin/status") }

// withstand checks that the daemon lives, keeps its limits, and answers callers and operators while a crowd is there and
// after it has gone.
func (d *ownDaemon) withstand(c crowd) {
	d.t.Helper()
	d.withstandUntil(c, func() { d.eventually("an ordinary request is answered beside the crowd", d.serves) })
	d.eventually("an ordinary request is answered after the crowd", d.serves)
	d.eventually("operators are answered after the crowd", d.administers)
	d.check()
}

func TestOwnIdleCallers(t *testing.T) {
	d := startOwnDaemon(t)
	d.withstand(crowd{clients: manyClients, address: d.settings.Callers, behave: sendAndHold("")})
}

func TestOwnManySmallFields(t *testing.T) {
	d := startOwnDaemon(t)
	d.withstand(crowd{clients: fewClients, address: d.settings.Callers, behave: sendAndHold("GET / HTTP/1.1\r\n" + smallFields(66_000))})
}

func TestOwnIdleOperators(t *testing.T) {
	d := startOwnDaemon(t)
	d.withstand(crowd{clients: manyClients, address: d.settings.Admin, behave: sendAndHold("")})
}

func TestOwnManySmallFieldsOfOperators(t *testing.T) {
	d := startOwnDaemon(t)
	d.withstand(crowd{clients: fewClients, address: d.settings.Admin, behave: sendAndHold("GET / HTTP/1.1\r\n" + smallFields(33_000))})
}

// TestOwnSlowBodiesOfOperators sends bodies without end.
func TestOwnSlowBodiesOfOperators(t *testing.T) {
	d := startOwnDaemon(t)
	head := http.MethodPost + " /admin/settings HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n{"
	d.withstand(crowd{clients: manyClients, address: d.settings.Admin, behave: sendEndlessly(head, " ", 100*time.Millisecond)})
}
