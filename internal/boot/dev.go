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

// What the dev command sets up.
const (
	devModel  = "roster-7b"
	devLayers = 32
	devKey    = "dev-key"
	devTeam   = "/lisbon/rosters/team-a"
)

// devTree is the settings tree of the dev command.
const devTree = `settings:
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

// DevCmd runs everything on loopback.
type DevCmd struct {
	Once     string `help:"${help_once}"`
	Daemons  int    `default:"1" help:"${help_daemons}"`
	Engines  int    `default:"4" help:"${help_engines}"`
	Platform bool   `help:"${help_platform}"`
}

// devSite is a whole site on loopback.
type devSite struct {
	common   Common
	platform *fakes.Platform
	address  string
	nodes    []*Node
	// outside ends the stand-ins.
	outside context.Context
	// ended receives the end of each daemon.
	ended chan error
}

// Run implements the command.
func (c *DevCmd) Run(ctx context.Context, common Common) error {
	if c.Daemons < 1 || c.Engines < 2 {
		return withCode(ExitUsage, errors.New("at least 1 daemon and 2 engines are needed"))
	}
	if c.Platform {
		return runPlatform(ctx, common, c.Engines, c.Once)
	}
	// The stand-ins outlive the daemons, which hand over what they own.
	outside, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	site := &devSite{outside: outside, common: common, platform: fakes.NewPlatform(), ended: make(chan error, c.Daemons)}
	if err := site.start(ctx, c.Daemons, c.Engines); err != nil {
		return err
	}
	if err := site.waitReady(ctx); err != nil {
		return err
	}
	var failed error
	if c.Once != "" {
		failed = site.once(ctx, c.Once)
		cancel()
	} else {
		site.print()
	}
	for range site.nodes {
		failed = errors.Join(failed, <-site.ended)
	}
	return failed
}

// serveFake serves a stand-in on loopback until the context ends.
func serveFake(ctx context.Context, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *devSite) start(ctx context.Context, daemons, engines int) error {
	var err error
	if s.address, err = serveFake(s.outside, s.platform.Handler()); err != nil {
		return err
	}
	for i := range engines {
		if err := s.startEngine(i); err != nil {
			return err
		}
	}
	service, err := serveFake(s.outside, fakes.NewService())
	if err != nil {
		return err
	}
	s.platform.SetMember(model.Member{ID: "bookings-0", Address: service, Role: model.Service, Service: "bookings"})
	if err := s.writeTree(ctx); err != nil {
		return err
	}
	authority, err := peer.NewAuthority(time.Now().AddDate(1, 0, 0))
	if err != nil {
		return err
	}
	for i := range daemons {
		if err := s.startDaemon(ctx, authority, fmt.Sprintf("daemon-%d", i)); err != nil {
			return err
		}
	}
	return nil
}

func (s *devSite) startEngine(i int) error {
	half := model.Span{From: 0, To: devLayers / 2}
	if i%2 == 1 {
		half = model.Span{From: devLayers / 2, To: devLayers}
	}
	id := fmt.Sprintf("engine-%d", i)
	report := model.Report{Server: model.ServerID(id), Model: devModel, Span: half, Slots: 8, TokensPerSecond: 800}
	e := fakes.NewEngine(report, fakes.HTTPLink{Client: http.DefaultClient})
	address, err := serveFake(s.outside, e.Handler())
	if err != nil {
		return err
	}
	s.platform.SetMember(model.Member{ID: id, Address: address, Zone: "lisbon-a", Role: model.Engine})
	return nil
}

func (s *devSite) writeTree(ctx context.Context) error {
	sum := sha256.Sum256([]byte(devKey))
	want, err := setts.Parse("dev", fmt.Appendf(nil, devTree, hex.EncodeToString(sum[:])))
	if err != nil {
		return err
	}
	log := rings.NewLog(s.platform.KV)
	for _, change := range Difference(setts.NewTree(), want, false) {
		change.ID, change.By, change.At = rand.Text(), "dev", time.Now()
		if _, err := log.Submit(ctx, change); err != nil {
			return err
		}
	}
	return nil
}

func (s *devSite) startDaemon(ctx context.Context, authority *peer.Authority, name string) error {
	keys, err := authority.Issue(name, time.Now().AddDate(1, 0, 0))
	if err != nil {
		return err
	}
	node, err := NewNode(s.common, File{
		Daemon: name, Zone: "lisbon-a", Platform: s.address, Keys: keys,
		Callers: "127.0.0.1:0", Admin: "127.0.0.1:0", Peers: "127.0.0.1:0",
	}, WithBalancerLag(0))
	if err != nil {
		return err
	}
	s.platform.SetMember(model.Member{ID: name, Address: node.PeersAddress(), Zone: "lisbon-a", Role: model.Daemon})
	s.nodes = append(s.nodes, node)
	go func() { s.ended <- node.Run(ctx) }()
	return nil
}

// devPatience is how long the site may take to come up.
const devPatience = 20 * time.Second

// waitReady waits until every daemon has settings and reports of all engines.
func (s *devSite) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devPatience)
	defer cancel()
	for _, n := range s.nodes {
		for !n.usable() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("daemon %s did not come up: %w", n.file.Daemon, ctx.Err())
			case <-time.After(stopPoll):
			}
		}
	}
	return nil
}

// usable reports whether a daemon can route requests.
func (n *Node) usable() bool {
	if n.ready() != nil {
		return false
	}
	reported := 0
	n.View(func(c *core.Core) {
		for _, id := range c.ServerIDs() {
			if row, ok := c.Server(id); ok && row.Usable(time.Now()) {
				reported++
			}
		}
		if reported < c.Servers() {
			reported = 0
		}
	})
	return reported > 0
}

// once serves one prompt and tells where it ran.
func (s *devSite) once(ctx context.Context, prompt string) error {
	url := "http://" + s.nodes[0].CallersAddress()
	resp, err := postQuestion(ctx, url, devKey, front.Question{Model: devModel, Messages: []front.Message{{Role: "user", Content: prompt}}})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer front.Completion
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.common.Out, "%s\n\n%d tokens of model %s by daemon %s, through: %s\n", contentOf(answer), answer.Usage.CompletionTokens, devModel, s.nodes[0].file.Daemon, s.nodes[0].lastRoute())
	return nil
}

func (s *devSite) print() {
	w := s.common.Out
	_, _ = fmt.Fprintf(w, "platform stand-in: %s\n", s.address)
	for _, n := range s.nodes {
		_, _ = fmt.Fprintf(w, "daemon %s: callers http://%s, admin %s, peers %s\n", n.file.Daemon, n.CallersAddress(), n.AdminAddress(), n.PeersAddress())
	}
	base := "http://" + s.nodes[0].CallersAddress()
	_, _ = fmt.Fprintf(w, "\nteam %s has the API key %s. Try:\n", devTeam, devKey)
	_, _ = fmt.Fprintf(w, "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Draft a roster\"}]}'\n", base, devKey, devModel)
	_, _ = fmt.Fprintf(w, "curl %s/v1/services/bookings/visits -H 'Authorization: Bearer %s' -H 'Idempotency-Key: \"visit-1\"' -d 'household 12'\n", base, devKey)
}
