// Package boot is the command line and the wiring of a daemon.
package boot

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"

	"bulrushpond.example/bulrushpond/internal/evlog"
)

// BuildInfo is what the build knows of itself.
type BuildInfo struct {
	Version string
	Commit  string
}

// Common is what every command and part of a daemon is handed.
type Common struct {
	Log evlog.Log
	// Out is where commands print.
	Out   io.Writer
	Build BuildInfo
}

// NewLog returns the structured log of a process: JSON lines.
func NewLog(w io.Writer, debug bool) evlog.Log {
	level := slog.LevelInfo
	if debug {
		// logr's V(1) is one below slog's information level.
		level = slog.LevelInfo - 1
	}
	return evlog.New(logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})))
}
