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

// Exit codes of the command line.
const (
	// ExitSuccess means that the command completed.
	ExitSuccess = 0
	// ExitFailed means that the command failed without changing anything.
	ExitFailed = 1
	// ExitUsage means that the command line or an input file is invalid.
	ExitUsage = 2
	// ExitConflict means that another operator changed the same settings first.
	ExitConflict = 3
	// ExitOutcomeUnknown means that a submitted change may or may not have been accepted.
	ExitOutcomeUnknown = 4
	// ExitTimeout means that the awaited condition was not reached in time.
	ExitTimeout = 5
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// withExitCode returns err with an exit code.
func withExitCode(code int, err error) error { return &exitError{code: code, err: err} }

// CLI defines the commands and global flags of the command line.
type CLI struct {
	Serve    ServeCmd    `cmd:"" help:"${help_serve}"`
	Edge     EdgeCmd     `cmd:"" help:"${help_edge}"`
	Dev      DevCmd      `cmd:"" help:"${help_dev}"`
	Ask      AskCmd      `cmd:"" help:"${help_ask}"`
	Settings SettingsCmd `cmd:"" help:"${help_settings}"`
	Config   ConfigCmd   `cmd:"" help:"${help_config}"`
	Status   StatusCmd   `cmd:"" help:"${help_status}"`
	Report   ReportCmd   `cmd:"" help:"${help_report}"`
	Explain  ExplainCmd  `cmd:"" help:"${help_explain}"`
	Keys     KeysCmd     `cmd:"" help:"${help_keys}"`
	Version  VersionCmd  `cmd:"" help:"${help_version}"`
	Debug    bool        `help:"${help_debug}"`
}

// edgeCommand is the name of EdgeCmd on the command line.
const edgeCommand = "edge"

// parserExit is the panic value that carries an exit code out of the command line
// parser, for flags such as --help: the parser expects its exit function not to return.
type parserExit int

// Main parses the arguments, runs one command and returns the exit code.
func Main(args []string, out, errOut io.Writer, build BuildInfo) (code int) {
	// Signals are caught before anything else: one that comes while a daemon starts must not end it.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	var cli CLI
	defer func() {
		switch e := recover().(type) {
		case nil:
		case parserExit:
			code = int(e)
		default:
			panic(e)
		}
	}()
	parser, err := kong.New(&cli,
		kong.Name("bulrushpond"),
		kong.Description(description),
		helpTexts(),
		kong.Writers(out, errOut),
		kong.UsageOnError(),
		kong.Exit(func(c int) { panic(parserExit(c)) }),
	)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "bulrushpond:", err)
		return ExitFailed
	}
	command, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "bulrushpond:", err)
		return ExitUsage
	}
	deps := Dependencies{Log: NewLog(errOut, cli.Debug), Out: out, Build: build, Hangups: hangups}
	if command.Command() != edgeCommand {
		// Only this command reloads its settings; all others end.
		signal.Reset(syscall.SIGHUP)
	}
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(deps); err != nil {
		_, _ = fmt.Fprintln(errOut, "bulrushpond:", err)
		return exitCodeOf(err)
	}
	return ExitSuccess
}

// exitCodeOf returns the exit code of an error; ExitFailed if it has none.
func exitCodeOf(err error) int {
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}
