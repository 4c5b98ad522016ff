package boot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes, for scripts.
const (
	// ExitDone means that the command did what it was asked.
	ExitDone = 0
	// ExitFailed means that it did not, and that nothing was changed.
	ExitFailed = 1
	// ExitUsage means that the command line or a file is wrong.
	ExitUsage = 2
	// ExitConflict means that somebody else changed the same settings first.
	ExitConflict = 3
	// ExitUnknown means that a change may have been accepted.
	ExitUnknown = 4
	// ExitTimeout means that what was waited for did not happen in time.
	ExitTimeout = 5
)

// codedError is an error with the exit code that scripts see.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

func withCode(code int, err error) error { return &codedError{code: code, err: err} }

// CLI is the command line.
type CLI struct {
	Serve    ServeCmd    `cmd:"" help:"${help_serve}"`
	Edge     EdgeCmd     `cmd:"" help:"${help_edge}"`
	Dev      DevCmd      `cmd:"" help:"${help_dev}"`
	Ask      AskCmd      `cmd:"" help:"${help_ask}"`
	Settings SettingsCmd `cmd:"" help:"${help_settings}"`
	Status   StatusCmd   `cmd:"" help:"${help_status}"`
	Report   ReportCmd   `cmd:"" help:"${help_report}"`
	Explain  ExplainCmd  `cmd:"" help:"${help_explain}"`
	Keys     KeysCmd     `cmd:"" help:"${help_keys}"`
	Version  VersionCmd  `cmd:"" help:"${help_version}"`
	Debug    bool        `help:"${help_debug}"`
}

// earlyExit is how the parser of the command line ends a command such as --help:
// it expects its exit function not to return.
type earlyExit int

// Main runs one command and returns the exit code.
func Main(args []string, out, errOut io.Writer, build BuildInfo) (code int) {
	var cli CLI
	defer func() {
		switch e := recover().(type) {
		case nil:
		case earlyExit:
			code = int(e)
		default:
			panic(e)
		}
	}()
	parser, err := kong.New(&cli,
		kong.Name("bulrushpond"),
		kong.Description(textDescription),
		helpTexts(),
		kong.Writers(out, errOut),
		kong.UsageOnError(),
		kong.Exit(func(c int) { panic(earlyExit(c)) }),
	)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "bulrushpond:", err)
		return ExitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	chosen, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "bulrushpond:", err)
		return ExitUsage
	}
	common := Common{Log: NewLog(errOut, cli.Debug), Out: out, Build: build}
	chosen.BindTo(ctx, (*context.Context)(nil))
	if err := chosen.Run(common); err != nil {
		_, _ = fmt.Fprintln(errOut, "bulrushpond:", err)
		return codeOf(err)
	}
	return ExitDone
}

func codeOf(err error) int {
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}
