package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// host is the host of all routes.
const host = "site.example"

// daemonNumbers are the settings that all daemons share: those of the sheet of a small deployment.
const daemonNumbers = `region=r1
heartbeatMs=1200
limits.cores=1
limits.cpuShare=0.4
limits.memoryMb=284
limits.maxFds=4200
bounds.drainMs=2000
bounds.graceS=8
bounds.configApplyMs=2000
bounds.retryRatio=0.2
bounds.retryWindowS=10
bounds.retryBurst=198
bounds.stall_ms=2000
bounds.fencingRequired=true
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
`

// rig is a small deployment: a store, engines and daemons. The store and the engines are served by this process.
type rig struct {
	folder string
	store  *fakes.Store
	// storeAddress is where the store is served.
	storeAddress string
	ports        daemonPorts
	daemons      []*daemon
	record       *record
	// arrivals are the requests that reached engines, sent those that clients sent.
	arrivals, sent events
	// started is the number of engines that were started in the place of others.
	started int
}

// events are the times of things that happened, by request.
type events struct {
	mu  sync.Mutex
	all []event
}

type event struct {
	// where is the engine, or the daemon.
	request, where string
	at             time.Time
}

func (e *events) add(request, where string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all = append(e.all, event{request: request, where: where, at: time.Now()})
}

// places returns where each request arrived, in order and each place once.
func (e *events) places() map[string][]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	places := map[string][]string{}
	for _, one := range e.all {
		if !slices.Contains(places[one.request], one.where) {
			places[one.request] = append(places[one.request], one.where)
		}
	}
	return places
}

// repeats returns the times of all events but the first of each request.
func (e *events) repeats() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := map[string]bool{}
	var times []time.Time
	for _, one := range e.all {
		if seen[one.request] {
			times = append(times, one.at)
		}
		seen[one.request] = true
	}
	return times
}

// times returns the times of all events.
func (e *events) times() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	times := make([]time.Time, 0, len(e.all))
	for _, one := range e.all {
		times = append(times, one.at)
	}
	return times
}

// daemonPorts are the ports of all daemons, each of which has a loopback address of its own.
type daemonPorts struct{ front, readiness, control, peers, metrics int }

// record collects the lines of record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// newRig starts a store and writes to the record in a folder.
func newRig(recordPath string) (*rig, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &rig{
		folder: folder, store: fakes.NewStore(), storeAddress: listener.Addr().String(), record: &record{start: time.Now(), file: file},
		ports: freePorts(),
	}
	go func() { _ = r.store.Serve(listener) }()
	return r, nil
}

// freePorts returns ports that are free on the addresses of all daemons now.
func freePorts() daemonPorts {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	var ports []int
	for len(ports) < 5 {
		first, err := net.Listen("tcp", daemonIP(1)+":0")
		if err != nil {
			return daemonPorts{}
		}
		held = append(held, first)
		port, free := first.Addr().(*net.TCPAddr).Port, true
		for n := 2; n <= maxDaemons && free; n++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", daemonIP(n), port))
			if free = err == nil; free {
				held = append(held, l)
			}
		}
		if free {
			ports = append(ports, port)
		}
	}
	return daemonPorts{front: ports[0], readiness: ports[1], control: ports[2], peers: ports[3], metrics: ports[4]}
}

// maxDaemons bounds the daemons of a rig.
const maxDaemons = 8

// daemonIP returns the loopback address of a daemon, counted from 1.
func daemonIP(n int) string { return fmt.Sprintf("127.0.0.%d", 20+n) }

// configure writes the operators' configuration.
func (r *rig) configure(version int, routes []map[string]any, services ...map[string]any) error {
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	r.store.Put("op/config", raw)
	return nil
}

// daemon is one of the project's own processes.
type daemon struct {
	rig          *rig
	name, ip     string
	storeAddress string
	// done is closed when the current process has ended.
	done chan struct{}
	cmd  *exec.Cmd
	log  *os.File
}

// addDaemon adds a daemon that uses the store at an address, without starting it.
func (r *rig) addDaemon(storeAddress string) *daemon {
	n := len(r.daemons) + 1
	d := &daemon{rig: r, name: fmt.Sprintf("d%d", n), ip: daemonIP(n), storeAddress: storeAddress}
	r.daemons = append(r.daemons, d)
	return d
}

func (d *daemon) front() string { return fmt.Sprintf("%s:%d", d.ip, d.rig.ports.front) }

// start writes the settings file and starts the process with the command of the deploy file. first is set if the whole system
// starts for the first time.
func (d *daemon) start(first bool) error {
	p := d.rig.ports
	var seeds []string
	for _, other := range d.rig.daemons[:min(3, len(d.rig.daemons))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, p.control))
	}
	settings := fmt.Sprintf("nodeName=%s\nrole=edge\nmachineClass=edge\nserves=edge,control_plane\nip=%s\nzone=z1\nlisten.front=%s\nlisten.readiness=%s:%d\nlisten.control=%s:%d\ninternalPorts=%d,%d\nseeds=%s\nplatform.address=%s\nbootstrap=%t\n%s",
		d.name, d.ip, d.front(), d.ip, p.readiness, d.ip, p.control, p.peers, p.peers+15, strings.Join(seeds, ","), d.storeAddress, first, daemonNumbers)
	path := filepath.Join(d.rig.folder, d.name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	var err error
	if d.log, err = os.OpenFile(filepath.Join(d.rig.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	d.cmd = exec.Command("target/bulrushpond", "edge", "--metrics-port", strconv.Itoa(p.metrics), "--balance=paced")
	d.cmd.Env = append(os.Environ(), "BULRUSHPOND_NODE_FILE="+path)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.done = done
	cmd := d.cmd
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	d.rig.record.add("%s starts", d.name)
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.rig.record.add("%s gets %s", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// ready reports whether the daemon says that it is ready.
func (d *daemon) ready() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/-/ready", d.ip, d.rig.ports.readiness))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// errNotInTime is returned by await.
var errNotInTime = errors.New("did not come true in time")

// await waits until a condition holds.
func await(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", what, errNotInTime)
}

// close ends all processes.
func (r *rig) close() {
	for _, d := range r.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			<-d.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	}
}
