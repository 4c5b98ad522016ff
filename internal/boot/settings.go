package boot

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// SettingsCmd groups the commands for the settings tree.
type SettingsCmd struct {
	Check   CheckCmd   `cmd:"" help:"${help_check}"`
	Show    ShowCmd    `cmd:"" help:"${help_show}"`
	Set     SetCmd     `cmd:"" help:"${help_set}"`
	Apply   ApplyCmd   `cmd:"" help:"${help_apply}"`
	History HistoryCmd `cmd:"" help:"${help_history}"`
	Wait    WaitCmd    `cmd:"" help:"${help_wait}"`
	Names   NamesCmd   `cmd:"" help:"${help_names_of}"`
}

// NamesCmd prints the reference page of all settings.
type NamesCmd struct{}

// Run implements the command.
func (c *NamesCmd) Run(deps Dependencies) error {
	page, err := setts.Reference()
	if err != nil {
		return err
	}
	_, err = io.WriteString(deps.Out, page)
	return err
}

// CheckCmd validates a file with a settings tree.
type CheckCmd struct {
	File string `arg:"" type:"existingfile"`
	OutputFlag
}

// Run implements the command.
func (c *CheckCmd) Run(deps Dependencies) error {
	tree, err := readTree(c.File)
	var problems setts.CheckErrors
	if errors.As(err, &problems) && c.Output == "json" {
		_ = c.print(deps.Out, problems, nil)
	}
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	return c.print(deps.Out, tree.Paths(), func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: %d nodes, no problems\n", c.File, len(tree.Nodes))
	})
}

// readTree reads and validates a settings tree from a file.
func readTree(path string) (setts.Tree, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return setts.Tree{}, err
	}
	return setts.Parse(path, raw)
}

// ShowCmd shows the merged values at a path and their origin.
type ShowCmd struct {
	AdminFlags
	OutputFlag
	At string `default:"/" help:"${help_at}"`
}

// Run implements the command.
func (c *ShowCmd) Run(ctx context.Context, deps Dependencies) error {
	shown, err := c.client().show(ctx, c.At)
	if err != nil {
		return err
	}
	if !shown.Exists {
		return fmt.Errorf("no node at %s; existing nodes: %s", c.At, strings.Join(shown.Nodes, " "))
	}
	return c.print(deps.Out, shown, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s at revision %d, changed at revision %d\n\nname\tvalue\tfrom\n", shown.Path, shown.Revision, shown.Changed)
		for _, v := range shown.Values {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", v.Name, strings.ReplaceAll(v.Value, "\n", " "), v.From)
		}
	})
}

// SetCmd changes one node of the settings tree.
type SetCmd struct {
	AdminFlags
	OutputFlag
	At     string   `required:"" help:"${help_at}"`
	Base   *uint64  `help:"${help_base}"`
	Kind   string   `help:"${help_kind}"`
	Unset  []string `help:"${help_unset}"`
	Remove bool     `help:"${help_remove}"`
	By     string   `env:"USER" default:"unknown" help:"${help_by}"`
	Values []string `arg:"" optional:"" help:"${help_values}"`
}

// Run implements the command.
func (c *SetCmd) Run(ctx context.Context, deps Dependencies) error {
	change, err := c.buildChange(ctx)
	if err != nil {
		return err
	}
	accepted, err := c.client().submit(ctx, change)
	if exitCodeOf(err) == ExitConflict {
		return withExitCode(ExitConflict, c.addConflictingChange(ctx, err))
	}
	if err != nil {
		return err
	}
	return c.print(deps.Out, accepted, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "accepted as revision %d\n", accepted.Revision)
	})
}

// buildChange returns the change that the flags describe. Without --base it is based on
// the current revision of the node.
func (c *SetCmd) buildChange(ctx context.Context) (setts.Change, error) {
	change := setts.Change{ID: rand.Text(), Path: c.At, Unset: c.Unset, Remove: c.Remove, By: c.By, Set: map[string]string{}}
	for _, v := range c.Values {
		name, value, ok := strings.Cut(v, "=")
		if !ok {
			return change, withExitCode(ExitUsage, fmt.Errorf("%q is not NAME=YAML", v))
		}
		change.Set[name] = value
	}
	if c.Kind != "" {
		kind, err := setts.KindString(c.Kind)
		if err != nil {
			return change, withExitCode(ExitUsage, err)
		}
		change.Kind = kind
	}
	if len(change.Set)+len(change.Unset) == 0 && !c.Remove && c.Kind == "" {
		return change, withExitCode(ExitUsage, errors.New("nothing to change"))
	}
	if c.Base != nil {
		change.Base = model.Revision(*c.Base)
		return change, nil
	}
	shown, err := c.client().show(ctx, c.At)
	change.Base = shown.Changed
	return change, err
}

// addConflictingChange adds the latest change of the node to a conflict error, if the
// history is available.
func (c *SetCmd) addConflictingChange(ctx context.Context, refusal error) error {
	changes, err := c.client().history(ctx)
	if err != nil {
		return refusal
	}
	for _, other := range slices.Backward(changes) {
		if other.Path == c.At {
			return fmt.Errorf("%w\nconflicting change: %s", refusal, describeChange(other))
		}
	}
	return refusal
}

// describeChange formats a change as one line.
func describeChange(change setts.Change) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(change.Set)) {
		parts = append(parts, name+"="+strings.ReplaceAll(change.Set[name], "\n", " "))
	}
	for _, name := range change.Unset {
		parts = append(parts, "unset "+name)
	}
	if change.Remove {
		parts = append(parts, "removed")
	}
	return fmt.Sprintf("revision %d by %s at %s: %s: %s", change.Revision, change.By, change.At.Format(time.RFC3339), change.Path, strings.Join(parts, ", "))
}

// HistoryCmd shows the newest accepted changes.
type HistoryCmd struct {
	AdminFlags
	OutputFlag
}

// Run implements the command.
func (c *HistoryCmd) Run(ctx context.Context, deps Dependencies) error {
	changes, err := c.client().history(ctx)
	if err != nil {
		return err
	}
	return c.print(deps.Out, changes, func(w io.Writer) {
		for _, change := range changes {
			_, _ = fmt.Fprintln(w, describeChange(change))
		}
	})
}

// WaitCmd waits until a revision is in force at all daemons.
type WaitCmd struct {
	AdminFlags
	OutputFlag
	Revision uint64        `help:"${help_revision}"`
	Timeout  time.Duration `default:"30s" help:"${help_timeout}"`
}

// waitPollInterval is the time between two queries of the fleet's revisions.
const waitPollInterval = 200 * time.Millisecond

// Run implements the command.
func (c *WaitCmd) Run(ctx context.Context, deps Dependencies) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	revision := model.Revision(c.Revision)
	if revision == 0 {
		shown, err := c.client().show(ctx, setts.Root)
		if err != nil {
			return err
		}
		revision = shown.Revision
	}
	for {
		inForce, err := c.client().inForce(ctx, revision)
		if err == nil && len(inForce.Behind) == 0 {
			return c.print(deps.Out, inForce, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "revision %d is in force at all %d daemons\n", inForce.Revision, len(inForce.Reached))
			})
		}
		select {
		case <-ctx.Done():
			return withExitCode(ExitTimeout, fmt.Errorf("revision %d is not in force yet at: %v", revision, inForce.Behind))
		case <-time.After(waitPollInterval):
		}
	}
}

// ApplyCmd changes the settings tree to that of a file.
type ApplyCmd struct {
	AdminFlags
	File  string `arg:"" type:"existingfile"`
	Prune bool   `help:"${help_prune}"`
	By    string `env:"USER" default:"unknown" help:"${help_by}"`
}

// Run implements the command.
func (c *ApplyCmd) Run(ctx context.Context, deps Dependencies) error {
	target, err := readTree(c.File)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	current, err := c.client().tree(ctx)
	if err != nil {
		return err
	}
	changes := Difference(current, target, c.Prune)
	for _, change := range changes {
		change.ID, change.By = rand.Text(), c.By
		accepted, err := c.client().submit(ctx, change)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(deps.Out, describeChange(accepted))
	}
	_, _ = fmt.Fprintf(deps.Out, "%d changes accepted\n", len(changes))
	return nil
}

// Difference returns the changes that turn the current tree into the target, parents before
// children. Nodes that the target lacks are removed only if prune is set.
func Difference(current, target setts.Tree, prune bool) []setts.Change {
	var changes []setts.Change
	for _, path := range target.Paths() {
		old, exists := current.Nodes[path]
		node := target.Nodes[path]
		change := setts.Change{Path: path, Kind: node.Kind, Base: old.Changed, Set: map[string]string{}}
		for name, text := range node.Settings {
			if old.Settings[name] != text {
				change.Set[name] = text
			}
		}
		for name := range old.Settings {
			if _, kept := node.Settings[name]; !kept {
				change.Unset = append(change.Unset, name)
			}
		}
		slices.Sort(change.Unset)
		if !exists || len(change.Set)+len(change.Unset) > 0 {
			changes = append(changes, change)
		}
	}
	if prune {
		changes = append(changes, removals(current, target)...)
	}
	return changes
}

// removals returns the changes that remove the nodes which the target lacks, children
// before parents.
func removals(current, target setts.Tree) []setts.Change {
	var changes []setts.Change
	paths := current.Paths()
	slices.Reverse(paths)
	for _, path := range paths {
		if _, kept := target.Nodes[path]; !kept {
			changes = append(changes, setts.Change{Path: path, Base: current.Nodes[path].Changed, Remove: true})
		}
	}
	return changes
}
