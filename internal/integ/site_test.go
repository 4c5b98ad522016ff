// Package integ runs the whole path as separate processes.
package integ

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/boot"
	"bulrushpond.example/bulrushpond/internal/peer"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	apiKey   = "team-a-key"
	treeText = `settings:
  models: {roster-7b: 32}
nodes:
  lisbon:
    kind: place
    nodes:
      rosters:
        kind: service
        nodes:
          team-a:
            kind: team
            settings:
              api_key_sha256: [554a0d05033791f46fede07b724fa246c95235f60a9fb74caad37d1408b4df58]
`
	patience = 30 * time.Second
)

// site is a set of processes on loopback.
type site struct {
	t         *testing.T
	daemonBin string
	fakeBin   string
	authority *peer.Authority
	platform  string
	daemons   map[string]*daemon
	standins  map[string]*exec.Cmd
}

// daemon is one daemon process.
type daemon struct {
	file boot.File
	cmd  *exec.Cmd
	done chan error
}

func newSite(t *testing.T) *site {
	t.Helper()
	dir := t.TempDir()
	s := &site{t: t, daemonBin: filepath.Join(dir, "bulrushpond"), fakeBin: filepath.Join(dir, "standin"), daemons: map[string]*daemon{}, standins: map[string]*exec.Cmd{}}
	for bin, pkg := range map[string]string{s.daemonBin: "bulrushpond.example/bulrushpond", s.fakeBin: "bulrushpond.example/bulrushpond/cmd/standin"} {
		out, err := exec.Command("go", "build", "-o", bin, pkg).CombinedOutput()
		assert.NilError(t, err, string(out))
	}
	var err error
	s.authority, err = peer.NewAuthority(time.Now().Add(time.Hour))
	assert.NilError(t, err)
	s.platform = s.standin("platform", "--list-lag", "300ms")
	return s
}

// standin starts a stand-in process and returns its address.
func (s *site) standin(args ...string) string {
	s.t.Helper()
	cmd := exec.Command(s.fakeBin, args...)
	out, err := cmd.StdoutPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, cmd.Start())
	s.standins[args[0]] = cmd
	s.t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	address, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(s.t, err)
	return address[:len(address)-1]
}

// kill ends the stand-in of a kind that was started last.
func (s *site) kill(kind string) {
	s.t.Helper()
	assert.NilError(s.t, s.standins[kind].Process.Kill())
}

func (s *site) list(m model.Member) {
	s.t.Helper()
	raw, err := json.Marshal(m)
	assert.NilError(s.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+s.platform+"/members", bytes.NewReader(raw))
	assert.NilError(s.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.t, err)
	assert.NilError(s.t, resp.Body.Close())
}

func (s *site) fault(name string) {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+s.platform+"/fault/"+name, nil)
	assert.NilError(s.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.t, err)
	assert.NilError(s.t, resp.Body.Close())
}

// engines starts pairs of engines, each with half of the layers.
func (s *site) engines(pairs int) {
	for i := range 2 * pairs {
		id := fmt.Sprintf("engine-%d", i)
		from := 16 * (i % 2)
		address := s.standin("engine", "--id", id, "--model", "roster-7b", "--from", strconv.Itoa(from), "--to", strconv.Itoa(from+16))
		s.list(model.Member{ID: id, Address: address, Role: model.Engine})
	}
}

func freePort(t *testing.T, network string) string {
	t.Helper()
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		return c.LocalAddr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// start runs a daemon process, the first time with new addresses.
func (s *site) start(name string) {
	s.t.Helper()
	s.startWith(name, nil)
	s.list(model.Member{ID: name, Address: s.daemons[name].file.Peers, Role: model.Daemon})
}

// startWith runs a daemon process that may ask seeds, and that the platform's
// list does not name yet.
func (s *site) startWith(name string, seeds []string) {
	s.t.Helper()
	d := s.daemons[name]
	if d == nil {
		keys, err := s.authority.Issue(name, time.Now().Add(time.Hour))
		assert.NilError(s.t, err)
		d = &daemon{file: boot.File{
			Daemon: name, Zone: "a", Platform: s.platform, Keys: keys,
			Callers: freePort(s.t, "tcp"), Admin: freePort(s.t, "tcp"), Peers: freePort(s.t, "udp"), Seeds: seeds,
		}}
		s.daemons[name] = d
	}
	raw, err := yaml.Marshal(d.file)
	assert.NilError(s.t, err)
	path := filepath.Join(s.t.TempDir(), name+".yaml")
	assert.NilError(s.t, os.WriteFile(path, raw, 0o600))
	d.cmd = exec.Command(s.daemonBin, "serve", "--settings", path)
	d.cmd.Stderr = os.Stderr
	assert.NilError(s.t, d.cmd.Start())
	cmd, done := d.cmd, make(chan error, 1)
	d.done = done
	go func() { done <- cmd.Wait() }()
	s.t.Cleanup(func() { _ = cmd.Process.Kill() })
}

// stop asks a daemon to stop and returns how it ended.
func (s *site) stop(name string) error {
	d := s.daemons[name]
	assert.NilError(s.t, d.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-d.done:
		return err
	case <-time.After(patience):
		return fmt.Errorf("daemon %s did not stop", name)
	}
}

// run runs a command of the command line against a daemon.
func (s *site) run(name string, args ...string) (string, error) {
	cmd := exec.Command(s.daemonBin, args...)
	cmd.Env = append(os.Environ(), "BULRUSHPOND_ADMIN="+s.daemons[name].file.Admin, "USER=ana")
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// apply writes the settings through the daemon d0, once it takes them.
func (s *site) apply() {
	s.t.Helper()
	tree := filepath.Join(s.t.TempDir(), "tree.yaml")
	assert.NilError(s.t, os.WriteFile(tree, []byte(treeText), 0o600))
	s.eventually("settings applied", func() bool {
		out, err := s.run("d0", "settings", "apply", tree)
		return err == nil && strings.Contains(out, "changes accepted")
	})
}

// eventually waits for a condition; it fails the test when it never holds.
func (s *site) eventually(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.t.Fatalf("did not happen: %s", what)
}

// post sends one request as a caller and returns the status, and body.
func (s *site) post(name, path, key, body string) (int, string) {
	return s.postWithin(patience, name, path, key, body)
}

func (s *site) postWithin(wait time.Duration, name, path, key, body string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.daemons[name].file.Callers+path, bytes.NewBufferString(body))
	assert.NilError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := (&http.Client{Timeout: wait}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(raw)
}
