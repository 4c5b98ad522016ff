// Standin runs a stand-in for one outside system as a separate process.
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

// listenFlag is the address that a stand-in listens on.
type listenFlag struct {
	Listen string `default:"127.0.0.1:0" help:"IP address and port to listen on."`
}

type platformCmd struct {
	listenFlag
	ListLag         time.Duration `help:"Maximum age of the membership list."`
	WritesPerSecond int           `default:"500" help:"Maximum writes per second of the key-value service."`
}

// Run implements the command.
func (c *platformCmd) Run(ctx context.Context) error {
	platform := fakes.NewPlatform()
	platform.SetLag(c.ListLag)
	platform.KV.LimitWrites(c.WritesPerSecond)
	return serve(ctx, c.Listen, platform.Handler())
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
	TokensPerSecond float64       `default:"800" help:"Token rate that the engine reports."`
	StepTime        time.Duration `default:"1ms" help:"Time for one token at this stage."`
	ChecksFence     bool          `help:"Refuse orders with an outdated fencing token."`
}

// Run implements the command.
func (c *engineCmd) Run(ctx context.Context) error {
	report := model.Report{
		Server: model.ServerID(c.ID), Model: c.Model, Span: model.Span{From: c.From, To: c.To},
		Slots: c.Slots, TokensPerSecond: c.TokensPerSecond,
	}
	engine := fakes.NewEngine(report, fakes.HTTPLink{Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Slots}}})
	engine.StepTime, engine.ChecksFence = c.StepTime, c.ChecksFence
	return serve(ctx, c.Listen, engine.Handler())
}

type cli struct {
	Platform platformCmd `cmd:"" help:"Key-value service and membership list."`
	Engine   engineCmd   `cmd:"" help:"Model engine that holds a range of layers."`
	Service  serviceCmd  `cmd:"" help:"Plain service that counts how often each booking ran."`
}

// serve prints its address on one line and serves until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := kong.Parse(new(cli), kong.Name("standin"), kong.Description("Stand-ins for outside systems, for tests and trials."))
	command.BindTo(ctx, (*context.Context)(nil))
	command.FatalIfErrorf(command.Run())
}
