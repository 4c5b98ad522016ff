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

// ServeCmd runs a daemon.
type ServeCmd struct {
	Settings string `required:"" help:"${help_file}" type:"existingfile"`
}

// Run implements the command.
func (c *ServeCmd) Run(ctx context.Context, common Common) error {
	file, err := ReadFile(c.Settings)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	node, err := NewNode(common, file)
	if err != nil {
		return err
	}
	return node.Run(ctx)
}

// VersionCmd prints the version.
type VersionCmd struct{}

// Run implements the command.
func (c *VersionCmd) Run(common Common) error {
	_, err := fmt.Fprintf(common.Out, "bulrushpond %s (%s)\n", common.Build.Version, common.Build.Commit)
	return err
}

// OutputFlag chooses how data is printed.
type OutputFlag struct {
	Output string `enum:"text,json" default:"text" help:"${help_output}"`
}

// print writes data as JSON, or by the function for text.
func (o OutputFlag) print(w io.Writer, v any, text func(io.Writer)) error {
	if o.Output == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	text(tw)
	return tw.Flush()
}

// StatusCmd shows a daemon's view.
type StatusCmd struct {
	AdminFlags
	OutputFlag
}

// Run implements the command.
func (c *StatusCmd) Run(ctx context.Context, common Common) error {
	s, err := c.client().status(ctx)
	if err != nil {
		return err
	}
	return c.print(common.Out, s, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "daemon\t%s\nsettings revision\t%d\nready\t%s\nrequests in progress\t%d\nstreams recovered\t%d\ndaemons live\t%v\nshards owned here\t%v\n", s.Daemon, s.Revision, s.Ready, s.InProgress, s.Recovered, s.Live, s.Owned)
		_, _ = fmt.Fprint(w, "\nserver\tmodel\tlayers\tstate\town streams\treported running\n")
		for _, r := range s.Servers {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d-%d\t%s\t%d\t%d\n", r.Server, r.Model, r.Span.From, r.Span.To, r.State, r.Own, r.Running)
		}
	})
}

// ReportCmd holds the reports.
type ReportCmd struct {
	Burn BurnCmd `cmd:"" help:"${help_burn}"`
}

// BurnCmd prints the service-level burn.
type BurnCmd struct {
	AdminFlags
	OutputFlag
	HTML string `name:"html" help:"${help_html}"`
}

// Run implements the command.
func (c *BurnCmd) Run(ctx context.Context, common Common) error {
	r, err := c.client().burn(ctx)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		f, err := os.Create(c.HTML)
		if err != nil {
			return err
		}
		if err := errors.Join(r.WriteHTML(f), f.Close()); err != nil {
			return err
		}
	}
	if c.Output == "json" {
		return r.WriteJSON(common.Out)
	}
	return r.WriteText(common.Out)
}

// KeysCmd makes keys.
type KeysCmd struct {
	Names      []string  `arg:"" help:"${help_names}"`
	ValidUntil time.Time `required:"" format:"2006-01-02" help:"${help_valid_until}"`
}

// Run implements the command.
func (c *KeysCmd) Run(common Common) error {
	if !c.ValidUntil.After(time.Now()) {
		return withCode(ExitUsage, errors.New("--valid-until is not in the future"))
	}
	authority, err := peer.NewAuthority(c.ValidUntil)
	if err != nil {
		return err
	}
	all := map[string]peer.Keys{}
	for _, name := range c.Names {
		if all[name], err = authority.Issue(name, c.ValidUntil); err != nil {
			return err
		}
	}
	return yaml.NewEncoder(common.Out).Encode(all)
}
