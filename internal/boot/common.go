// Package boot implements the command line and assembles daemons from their components.
package boot

import (
	"io"
	"log/slog"
	"os"

	"github.com/go-logr/logr"

	"bulrushpond.example/bulrushpond/internal/evlog"
)

// BuildInfo is the version and commit that the linker sets.
type BuildInfo struct {
	Version string
	Commit  string
}

// Dependencies are shared by all commands and by the daemons that they run.
type Dependencies struct {
	Log evlog.Log
	// Out receives the output of commands.
	Out   io.Writer
	Build BuildInfo
	// Hangups receives SIGHUP; nil for a daemon that does not reload its settings.
	Hangups <-chan os.Signal
}

// NewLog returns a structured log that writes JSON lines to w.
func NewLog(w io.Writer, debug bool) evlog.Log {
	level := slog.LevelInfo
	if debug {
		// logr's V(1) corresponds to one below slog's info level.
		level = slog.LevelInfo - 1
	}
	return evlog.New(logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})))
}
