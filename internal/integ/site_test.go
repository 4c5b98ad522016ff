// Package integ tests daemons, fake engines and a fake platform end to end, as separate
// processes.
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
	apiKey       = "team-a-key"
	settingsYAML = `settings:
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
	// waitTimeout bounds each wait for a condition, a response or an exit.
	waitTimeout = 30 * time.Second
)

// site is a set of daemon and fake processes on loopback addresses.
type site struct {
	t         *testing.T
	daemonBin string
	fakeBin   string
	authority *peer.CertificateAuthority
	// platform is the address of the fake platform.
	platform string
	daemons  map[string]*daemon
	// fakeCmds holds the fake of each kind that was started last.
	fakeCmds map[string]*exec.Cmd
}

// daemon is one daemon process.
type daemon struct {
	settings boot.File
	cmd      *exec.Cmd
	done     chan error
}

// newSite builds the programs and starts the platform.
func newSite(t *testing.T) *site {
	t.Helper()
	dir := t.TempDir()
	s := &site{t: t, daemonBin: filepath.Join(dir, "bulrushpond"), fakeBin: filepath.Join(dir, "standin"), daemons: map[string]*daemon{}, fakeCmds: map[string]*exec.Cmd{}}
	for bin, pkg := range map[string]string{s.daemonBin: "bulrushpond.example/bulrushpond", s.fakeBin: "bulrushpond.example/bulrushpond/cmd/standin"} {
		out, err := exec.Command("go", "build", "-o", bin, pkg).CombinedOutput()
		assert.NilError(t, err, string(out))
	}
	var err error
	s.authority, err = peer.NewCertificateAuthority(time.Now().Add(time.Hour))
	assert.NilError(t, err)
	s.platform = s.startFake("platform", "--list-lag", "300ms")
	return s
}

// startFake starts a process of cmd/standin and returns its address. The first argument is the
// kind of the fake.
func (s *site) startFake(args ...string) string {
	s.t.Helper()
	cmd := exec.Command(s.fakeBin, args...)
	out, err := cmd.StdoutPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, cmd.Start())
	s.fakeCmds[args[0]] = cmd
	s.t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	address, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(s.t, err)
	return address[:len(address)-1]
}

// killFake kills the fake of a kind that was started last.
func (s *site) killFake(kind string) {
	s.t.Helper()
	assert.NilError(s.t, s.fakeCmds[kind].Process.Kill())
}

// putMember adds a member to the platform's list, or replaces it.
func (s *site) putMember(m model.Member) {
	s.t.Helper()
	raw, err := json.Marshal(m)
	assert.NilError(s.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+s.platform+"/members", bytes.NewReader(raw))
	assert.NilError(s.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.t, err)
	assert.NilError(s.t, resp.Body.Close())
}

// setFault sets the fault of the key-value service.
func (s *site) setFault(name string) {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+s.platform+"/fault/"+name, nil)
	assert.NilError(s.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.t, err)
	assert.NilError(s.t, resp.Body.Close())
}

// startEngines starts pairs of engines that each hold half of the model's layers.
func (s *site) startEngines(pairs int) {
	for i := range 2 * pairs {
		id := fmt.Sprintf("engine-%d", i)
		from := 16 * (i % 2)
		address := s.startFake("engine", "--id", id, "--model", "roster-7b", "--from", strconv.Itoa(from), "--to", strconv.Itoa(from+16))
		s.putMember(model.Member{ID: id, Address: address, Role: model.Engine})
	}
}

// freePort returns a loopback address with a port that is free for tcp or udp.
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

// startDaemon starts a daemon process and adds it to the platform's list. A daemon that was
// started before keeps its addresses.
func (s *site) startDaemon(name string) {
	s.t.Helper()
	s.startUnlistedDaemon(name, nil)
	s.putMember(model.Member{ID: name, Address: s.daemons[name].settings.Peers, Role: model.Daemon})
}

// startUnlistedDaemon starts a daemon process without adding it to the platform's list. Seeds are
// the addresses of peers that it may ask.
func (s *site) startUnlistedDaemon(name string, seeds []string) {
	s.t.Helper()
	d := s.daemons[name]
	if d == nil {
		keys, err := s.authority.Issue(name, time.Now().Add(time.Hour))
		assert.NilError(s.t, err)
		d = &daemon{settings: boot.File{
			Daemon: name, Zone: "a", Platform: s.platform, Keys: keys,
			Callers: freePort(s.t, "tcp"), Admin: freePort(s.t, "tcp"), Peers: freePort(s.t, "udp"), Seeds: seeds,
		}}
		s.daemons[name] = d
	}
	raw, err := yaml.Marshal(d.settings)
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

// stopDaemon sends SIGTERM to a daemon and returns the result of its process.
func (s *site) stopDaemon(name string) error {
	d := s.daemons[name]
	assert.NilError(s.t, d.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-d.done:
		return err
	case <-time.After(waitTimeout):
		return fmt.Errorf("daemon %s did not exit in time", name)
	}
}

// runCLI runs a subcommand of the program against a daemon and returns its output.
func (s *site) runCLI(name string, args ...string) (string, error) {
	cmd := exec.Command(s.daemonBin, args...)
	cmd.Env = append(os.Environ(), "BULRUSHPOND_ADMIN="+s.daemons[name].settings.Admin, "USER=ana")
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// applySettings applies settingsYAML through the daemon d0, with retries until d0 accepts them.
func (s *site) applySettings() {
	s.t.Helper()
	tree := filepath.Join(s.t.TempDir(), "tree.yaml")
	assert.NilError(s.t, os.WriteFile(tree, []byte(settingsYAML), 0o600))
	s.eventually("settings applied", func() bool {
		out, err := s.runCLI("d0", "settings", "apply", tree)
		return err == nil && strings.Contains(out, "changes accepted")
	})
}

// eventually polls a condition and fails the test if it isn't met within waitTimeout.
func (s *site) eventually(condition string, met func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if met() {
			return
		}
	}
	s.t.Fatalf("did not happen: %s", condition)
}

// post sends one request as a caller and returns the status and the body. The status is 0 and the
// body the error if there is no complete response.
func (s *site) post(daemonName, path, key, body string) (int, string) {
	return s.postWithTimeout(waitTimeout, daemonName, path, key, body)
}

func (s *site) postWithTimeout(timeout time.Duration, daemonName, path, key, body string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.daemons[daemonName].settings.Callers+path, bytes.NewBufferString(body))
	assert.NilError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := (&http.Client{Timeout: timeout}).Do(req)
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
