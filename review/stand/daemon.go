package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is one machine of the deployment with a process of the deploy file's command.
type daemon struct {
	name, ip, zone string
	world          *world
	cmd            *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	log    string
	// storeAddress is where the store answers this machine.
	storeAddress string
	// toStore accepts this machine's connections to the store.
	toStore *silentListener
}

func (d *daemon) front() string     { return fmt.Sprintf("%s:%d", d.ip, d.world.frontPort) }
func (d *daemon) readiness() string { return fmt.Sprintf("%s:%d", d.ip, d.world.readinessPort) }

// settings returns the text of the settings file.
func (d *daemon) settings() string {
	var seeds []string
	for _, other := range d.world.daemons {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, d.world.controlPort))
	}
	seeds = seeds[:min(3, len(seeds))]
	return fmt.Sprintf(`nodeName=%s
role=edge
machineClass=edge
serves=edge,control_plane
ip=%s
zone=%s
region=north
zones.north-a=north
listen.front=%s
listen.readiness=%s
listen.control=%s:%d
internalPorts=%d,%d
seeds=%s
bootstrap=true
faultCounted=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4200
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers
faultTolerance.machines=1
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseDelayS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.skewMaxMs=5000
bounds.failClosed=false
bounds.revokeMs=5000
bounds.retryRatio=0.2
bounds.retryWindowS=10
bounds.retryBurst=198
bounds.recoveryS=12
bounds.passMs=120
bounds.retryAfterS=0
bounds.stall_ms=2000
bounds.fencingRequired=true
platform.address=%s
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
`, d.name, d.ip, d.zone, d.front(), d.readiness(), d.ip, d.world.controlPort, d.world.peerPort, d.world.peerPort+15,
		strings.Join(seeds, ","), d.storeAddress)
}

// start writes the settings and starts the process.
func (d *daemon) start() error {
	path := filepath.Join(d.world.dir, d.name+".conf")
	if err := os.WriteFile(path, []byte(d.settings()), 0o600); err != nil {
		return err
	}
	d.log = filepath.Join(d.world.dir, d.name+".log")
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command(d.world.program, "edge", "--metrics-port", "9464", "--balance=paced")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHPOND_NODE_FILE=" + path}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	cmd, exited := d.cmd, make(chan struct{})
	d.exited = exited
	d.world.record.printf("start %s, process %d, callers at %s", d.name, cmd.Process.Pid, d.front())
	go func() {
		err := cmd.Wait()
		d.world.record.printf("end   %s, process %d: %v", d.name, cmd.Process.Pid, err)
		_ = out.Close()
		close(exited)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.world.record.printf("sig   %s %s", s, d.name)
	_ = d.cmd.Process.Signal(s)
}

// kill ends the process.
func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.exited
}

// ready reports whether the daemon answers the readiness check with 200.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.readiness() + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// world is the deployment of one case.
type world struct {
	program, dir                                    string
	frontPort, readinessPort, controlPort, peerPort int
	store                                           *store
	fleet                                           *fleet
	record                                          *record
	daemons                                         []*daemon
	version                                         int
	// noteRoute adds the route of newStream to the configuration.
	noteRoute bool
	// rootRoute adds a route with the prefix "/" to the configuration.
	rootRoute bool
	// smallModel makes the model so small that one engine holds all its layers.
	smallModel bool
	// modelSlots is the number of slots of each model engine; 0 for 192.
	modelSlots int
	// onceRoute adds a route for streams that may not be resumed to the configuration.
	onceRoute bool
	ctx       context.Context
	trouble   bool
}

// freePort returns a port that nobody listens on at 127.0.0.1 now.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newWorld starts the store and names the daemons, which are not started yet.
func newWorld(ctx context.Context, rec *record, program, dir string, trouble bool, daemons int) (*world, error) {
	w := &world{program: program, dir: dir, store: newStore(), fleet: &fleet{engines: map[string]*engine{}}, record: rec, ctx: ctx, trouble: trouble}
	for _, port := range []*int{&w.frontPort, &w.readinessPort, &w.controlPort, &w.peerPort} {
		var err error
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	go w.store.maintain(ctx)
	pid := os.Getpid()
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("edge-north-a-%d", i+1), ip: fmt.Sprintf("127.%d.%d.%d", 1+pid%200, 1+pid/200%200, 11+i), zone: "north-a", world: w}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d.storeAddress = l.Addr().String()
		d.toStore = &silentListener{Listener: l}
		w.store.serve(ctx, d.toStore, d.name)
		w.daemons = append(w.daemons, d)
	}
	return w, nil
}

// startDaemons starts all daemons within 0.3 s and waits until they are ready.
func (w *world) startDaemons() error {
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if !eventually(10*time.Second, d.ready) {
			return fmt.Errorf("%s is not ready", d.name)
		}
	}
	return nil
}

// close ends all processes.
func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
}

// eventually polls a condition until it holds or a time has passed.
func eventually(within time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
