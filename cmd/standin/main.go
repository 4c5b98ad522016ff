// Standin runs one stand-in for an outside system as a process of its own.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// listenFlag is where a stand-in listens.
type listenFlag struct {
	Listen string `default:"127.0.0.1:0" help:"IP number and port to listen on."`
}

type platformCmd struct {
	listenFlag
	ListLag         time.Duration `help:"How old the membership list may be."`
	WritesPerSecond int           `default:"500" help:"Writes a second that the key-value service takes."`
}

// Run implements the command.
func (c *platformCmd) Run(ctx context.Context) error {
	p := fakes.NewPlatform()
	p.SetLag(c.ListLag)
	p.KV.LimitWrites(c.WritesPerSecond)
	return serve(ctx, c.Listen, p.Handler())
}

type serviceCmd struct{ listenFlag }

// Run implements the command.
func (c *serviceCmd) Run(ctx context.Context) error { return serve(ctx, c.Listen, fakes.NewService()) }

type engineCmd struct {
	listenFlag
	ID              string        `required:"" help:"Name in the membership list."`
	Model           string        `required:"" help:"Model that the engine holds."`
	From            int           `required:"" help:"First layer."`
	To              int           `required:"" help:"One past the last layer."`
	Slots           int           `default:"8" help:"Streams batched at full speed."`
	TokensPerSecond float64       `default:"800" help:"Rate that the engine reports."`
	StepTime        time.Duration `default:"1ms" help:"Time for one token at this stage."`
	ChecksFence     bool          `help:"Refuse orders with an old fencing number."`
}

// Run implements the command.
func (c *engineCmd) Run(ctx context.Context) error {
	report := model.Report{
		Server: model.ServerID(c.ID), Model: c.Model, Span: model.Span{From: c.From, To: c.To},
		Slots: c.Slots, TokensPerSecond: c.TokensPerSecond,
	}
	e := fakes.NewEngine(report, fakes.HTTPLink{Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Slots}}})
	e.StepTime, e.ChecksFence = c.StepTime, c.ChecksFence
	return serve(ctx, c.Listen, e.Handler())
}

type cli struct {
	Platform platformCmd `cmd:"" help:"Key-value service and membership list."`
	Engine   engineCmd   `cmd:"" help:"Model engine that holds a range of layers."`
	Service  serviceCmd  `cmd:"" help:"Plain service that counts what it ran."`
}

// serve prints the address on one line and serves until SIGTERM.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	chosen := kong.Parse(new(cli), kong.Name("standin"), kong.Description("Stand-ins for outside systems, for tests and trials."))
	chosen.BindTo(ctx, (*context.Context)(nil))
	chosen.FatalIfErrorf(chosen.Run())
}
