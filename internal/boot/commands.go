package boot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"go.yaml.in/yaml/v3"

	"bulrushpond.example/bulrushpond/internal/peer"
)

// ServeCmd runs a daemon from its settings file.
type ServeCmd struct {
	Settings string `required:"" help:"${help_file}" type:"existingfile"`
}

// Run implements the command.
func (c *ServeCmd) Run(ctx context.Context, deps Dependencies) error {
	file, err := ReadFile(c.Settings)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	daemon, err := NewDaemon(deps, file)
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}

// VersionCmd prints the version and commit of the build.
type VersionCmd struct{}

// Run implements the command.
func (c *VersionCmd) Run(deps Dependencies) error {
	_, err := fmt.Fprintf(deps.Out, "bulrushpond %s (%s)\n", deps.Build.Version, deps.Build.Commit)
	return err
}

// OutputFlag selects the output format of a command.
type OutputFlag struct {
	Output string `enum:"text,json" default:"text" help:"${help_output}"`
}

// print writes value as indented JSON, or calls printText with a writer that aligns
// tab-separated columns.
func (o OutputFlag) print(out io.Writer, value any, printText func(io.Writer)) error {
	if o.Output == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	printText(tw)
	return tw.Flush()
}

// StatusCmd shows the status of one daemon.
type StatusCmd struct {
	AdminFlags
	OutputFlag
}

// Run implements the command.
func (c *StatusCmd) Run(ctx context.Context, deps Dependencies) error {
	status, err := c.client().status(ctx)
	if err != nil {
		return err
	}
	return c.print(deps.Out, status, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "daemon\t%s\nsettings revision\t%d\nready\t%s\nrequests in progress\t%d\nstreams recovered\t%d\ndaemons live\t%v\nshards owned here\t%v\n", status.Daemon, status.Revision, status.Ready, status.InProgress, status.RecoveredStreams, status.LiveDaemons, status.OwnedShards)
		_, _ = fmt.Fprint(w, "\nserver\tmodel\tlayers\tstate\town streams\treported running\n")
		for _, server := range status.Servers {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d-%d\t%s\t%d\t%d\n", server.Server, server.Model, server.Span.From, server.Span.To, server.State, server.OwnStreams, server.ReportedRunning)
		}
	})
}

// ReportCmd groups the commands that print fleet reports.
type ReportCmd struct {
	Burn BurnCmd `cmd:"" help:"${help_burn}"`
}

// BurnCmd prints the burn of the service-level objectives.
type BurnCmd struct {
	AdminFlags
	OutputFlag
	HTML string `name:"html" help:"${help_html}"`
}

// Run implements the command.
func (c *BurnCmd) Run(ctx context.Context, deps Dependencies) error {
	report, err := c.client().burn(ctx)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		f, err := os.Create(c.HTML)
		if err != nil {
			return err
		}
		if err := errors.Join(report.WriteHTML(f), f.Close()); err != nil {
			return err
		}
	}
	if c.Output == "json" {
		return report.WriteJSON(deps.Out)
	}
	return report.WriteText(deps.Out)
}

// KeysCmd creates a fleet authority and issues the keys and certificates of daemons.
type KeysCmd struct {
	Names      []string  `arg:"" help:"${help_names}"`
	ValidUntil time.Time `required:"" format:"2006-01-02" help:"${help_valid_until}"`
}

// Run implements the command.
func (c *KeysCmd) Run(deps Dependencies) error {
	if !c.ValidUntil.After(time.Now()) {
		return withExitCode(ExitUsage, errors.New("--valid-until is not in the future"))
	}
	authority, err := peer.NewCertificateAuthority(c.ValidUntil)
	if err != nil {
		return err
	}
	keysByDaemon := map[string]peer.Keys{}
	for _, name := range c.Names {
		if keysByDaemon[name], err = authority.Issue(name, c.ValidUntil); err != nil {
			return err
		}
	}
	return yaml.NewEncoder(deps.Out).Encode(keysByDaemon)
}
