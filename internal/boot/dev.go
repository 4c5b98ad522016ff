package boot

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/internal/front"
	"bulrushpond.example/bulrushpond/internal/peer"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// Fixed values of the dev command's environment.
const (
	devModel  = "roster-7b"
	devLayers = 32
	devAPIKey = "dev-key"
	devTeam   = "/lisbon/rosters/team-a"
)

// devSettings is the settings tree of the dev command in YAML; %q is the digest of the
// team's API key.
const devSettings = `settings:
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
              api_key_sha256: [%q]
`

// DevCmd runs daemons and stand-ins for all outside systems on loopback.
type DevCmd struct {
	Once     string `help:"${help_once}"`
	Daemons  int    `default:"1" help:"${help_daemons}"`
	Engines  int    `default:"4" help:"${help_engines}"`
	Platform bool   `help:"${help_platform}"`
}

// devEnvironment is a set of daemons and stand-ins on loopback.
type devEnvironment struct {
	deps            Dependencies
	platform        *fakes.Platform
	platformAddress string
	daemons         []*Daemon
	// standInContext stops the stand-ins when it ends.
	standInContext context.Context
	// daemonErrors receives the result of each daemon's Run.
	daemonErrors chan error
}

// Run implements the command.
func (c *DevCmd) Run(ctx context.Context, deps Dependencies) error {
	if c.Daemons < 1 || c.Engines < 2 {
		return withExitCode(ExitUsage, errors.New("--daemons must be at least 1 and --engines at least 2"))
	}
	if c.Platform {
		return runDevPlatform(ctx, deps, c.Engines, c.Once)
	}
	// The stand-ins must outlive the daemons, which release their shards while they stop.
	standInContext, stopStandIns := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStandIns()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	env := &devEnvironment{standInContext: standInContext, deps: deps, platform: fakes.NewPlatform(), daemonErrors: make(chan error, c.Daemons)}
	if err := env.start(ctx, c.Daemons, c.Engines); err != nil {
		return err
	}
	if err := env.waitReady(ctx); err != nil {
		return err
	}
	var runErr error
	if c.Once != "" {
		runErr = env.askOnce(ctx, c.Once)
		cancel()
	} else {
		env.print()
	}
	for range env.daemons {
		runErr = errors.Join(runErr, <-env.daemonErrors)
	}
	return runErr
}

// serveStandIn serves a stand-in on loopback until ctx ends and returns its address.
func serveStandIn(ctx context.Context, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// start starts the stand-ins, writes the settings and starts the daemons.
func (env *devEnvironment) start(ctx context.Context, daemonCount, engineCount int) error {
	var err error
	if env.platformAddress, err = serveStandIn(env.standInContext, env.platform.Handler()); err != nil {
		return err
	}
	for i := range engineCount {
		if err := env.startEngine(i); err != nil {
			return err
		}
	}
	serviceAddress, err := serveStandIn(env.standInContext, fakes.NewService())
	if err != nil {
		return err
	}
	env.platform.SetMember(model.Member{ID: "bookings-0", Address: serviceAddress, Role: model.Service, Service: "bookings"})
	if err := env.writeSettings(ctx); err != nil {
		return err
	}
	authority, err := peer.NewCertificateAuthority(time.Now().AddDate(1, 0, 0))
	if err != nil {
		return err
	}
	for i := range daemonCount {
		if err := env.startDaemon(ctx, authority, fmt.Sprintf("daemon-%d", i)); err != nil {
			return err
		}
	}
	return nil
}

// startEngine starts a model engine for the first half of the layers if i is even, and
// for the second half if it is odd.
func (env *devEnvironment) startEngine(i int) error {
	span := model.Span{From: 0, To: devLayers / 2}
	if i%2 == 1 {
		span = model.Span{From: devLayers / 2, To: devLayers}
	}
	id := fmt.Sprintf("engine-%d", i)
	report := model.Report{Server: model.ServerID(id), Model: devModel, Span: span, Slots: 8, TokensPerSecond: 800}
	engine := fakes.NewEngine(report, fakes.HTTPLink{Client: http.DefaultClient})
	address, err := serveStandIn(env.standInContext, engine.Handler())
	if err != nil {
		return err
	}
	env.platform.SetMember(model.Member{ID: id, Address: address, Zone: "lisbon-a", Role: model.Engine})
	return nil
}

// writeSettings submits devSettings to the settings log of the platform stand-in.
func (env *devEnvironment) writeSettings(ctx context.Context) error {
	sum := sha256.Sum256([]byte(devAPIKey))
	tree, err := setts.Parse("dev", fmt.Appendf(nil, devSettings, hex.EncodeToString(sum[:])))
	if err != nil {
		return err
	}
	log := rings.NewLog(env.platform.KV)
	for _, change := range Difference(setts.NewTree(), tree, false) {
		change.ID, change.By, change.At = rand.Text(), "dev", time.Now()
		if _, err := log.Submit(ctx, change); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon runs a daemon in the background and adds it to the membership list.
func (env *devEnvironment) startDaemon(ctx context.Context, authority *peer.CertificateAuthority, name string) error {
	keys, err := authority.Issue(name, time.Now().AddDate(1, 0, 0))
	if err != nil {
		return err
	}
	daemon, err := NewDaemon(env.deps, File{
		Daemon: name, Zone: "lisbon-a", Platform: env.platformAddress, Keys: keys,
		Callers: "127.0.0.1:0", Admin: "127.0.0.1:0", Peers: "127.0.0.1:0",
	}, WithShutdownDelay(0))
	if err != nil {
		return err
	}
	env.platform.SetMember(model.Member{ID: name, Address: daemon.PeersAddress(), Zone: "lisbon-a", Role: model.Daemon})
	env.daemons = append(env.daemons, daemon)
	go func() { env.daemonErrors <- daemon.Run(ctx) }()
	return nil
}

// devReadyTimeout limits how long the daemons may take to become ready.
const devReadyTimeout = 20 * time.Second

// waitReady waits until every daemon can route requests.
func (env *devEnvironment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	for _, daemon := range env.daemons {
		for !daemon.canRoute() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("daemon %s did not become ready: %w", daemon.file.Daemon, ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// canRoute reports whether the daemon is ready and has a usable report of every engine
// that it knows.
func (d *Daemon) canRoute() bool {
	if d.ready() != nil {
		return false
	}
	usableServers := 0
	d.View(func(c *core.Core) {
		for _, id := range c.ServerIDs() {
			if server, ok := c.Server(id); ok && server.Usable(time.Now()) {
				usableServers++
			}
		}
		if usableServers < c.ServerCount() {
			usableServers = 0
		}
	})
	return usableServers > 0
}

// askOnce sends one prompt and prints the answer and the engines that produced it.
func (env *devEnvironment) askOnce(ctx context.Context, prompt string) error {
	url := "http://" + env.daemons[0].CallersAddress()
	resp, err := postChatCompletion(ctx, url, devAPIKey, front.Question{Model: devModel, Messages: []front.Message{{Role: "user", Content: prompt}}})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var completion front.Completion
	if err := json.NewDecoder(resp.Body).Decode(&completion); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(env.deps.Out, "%s\n\n%d tokens of model %s by daemon %s, through: %s\n", firstChoiceText(completion), completion.Usage.CompletionTokens, devModel, env.daemons[0].file.Daemon, env.daemons[0].describeLastRoute())
	return nil
}

// print prints all addresses and example requests.
func (env *devEnvironment) print() {
	w := env.deps.Out
	_, _ = fmt.Fprintf(w, "platform stand-in: %s\n", env.platformAddress)
	for _, daemon := range env.daemons {
		_, _ = fmt.Fprintf(w, "daemon %s: callers http://%s, admin %s, peers %s\n", daemon.file.Daemon, daemon.CallersAddress(), daemon.AdminAddress(), daemon.PeersAddress())
	}
	baseURL := "http://" + env.daemons[0].CallersAddress()
	_, _ = fmt.Fprintf(w, "\nteam %s has the API key %s. Try:\n", devTeam, devAPIKey)
	_, _ = fmt.Fprintf(w, "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Draft a roster\"}]}'\n", baseURL, devAPIKey, devModel)
	_, _ = fmt.Fprintf(w, "curl %s/v1/services/bookings/visits -H 'Authorization: Bearer %s' -H 'Idempotency-Key: \"visit-1\"' -d 'household 12'\n", baseURL, devAPIKey)
}
