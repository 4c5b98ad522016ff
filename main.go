// Bulrushpond routes model requests and bookings over mixed accelerators.
package main

import (
	"os"

	"bulrushpond.example/bulrushpond/internal/boot"
)

// Set by the linker.
var (
	version = "0.1.0-dev"
	commit  = "unknown"
)

func main() {
	os.Exit(boot.Main(os.Args[1:], os.Stdout, os.Stderr, boot.BuildInfo{Version: version, Commit: commit}))
}
