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

// SettingsCmd holds the commands about the settings tree.
type SettingsCmd struct {
	Check   CheckCmd   `cmd:"" help:"${help_check}"`
	Show    ShowCmd    `cmd:"" help:"${help_show}"`
	Set     SetCmd     `cmd:"" help:"${help_set}"`
	Apply   ApplyCmd   `cmd:"" help:"${help_apply}"`
	History HistoryCmd `cmd:"" help:"${help_history}"`
	Wait    WaitCmd    `cmd:"" help:"${help_wait}"`
	Names   NamesCmd   `cmd:"" help:"${help_names_of}"`
}

// NamesCmd prints the reference of all settings.
type NamesCmd struct{}

// Run implements the command.
func (c *NamesCmd) Run(common Common) error {
	page, err := setts.Reference()
	if err != nil {
		return err
	}
	_, err = io.WriteString(common.Out, page)
	return err
}

// CheckCmd checks a file.
type CheckCmd struct {
	File string `arg:"" type:"existingfile"`
	OutputFlag
}

// Run implements the command.
func (c *CheckCmd) Run(common Common) error {
	tree, err := readTree(c.File)
	var problems setts.CheckErrors
	if errors.As(err, &problems) && c.Output == "json" {
		_ = c.print(common.Out, problems, nil)
	}
	if err != nil {
		return withCode(ExitUsage, err)
	}
	return c.print(common.Out, tree.Paths(), func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: %d nodes, no problems\n", c.File, len(tree.Nodes))
	})
}

func readTree(path string) (setts.Tree, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return setts.Tree{}, err
	}
	return setts.Parse(path, raw)
}

// ShowCmd shows merged values.
type ShowCmd struct {
	AdminFlags
	OutputFlag
	At string `default:"/" help:"${help_at}"`
}

// Run implements the command.
func (c *ShowCmd) Run(ctx context.Context, common Common) error {
	s, err := c.client().show(ctx, c.At)
	if err != nil {
		return err
	}
	if !s.Exists {
		return fmt.Errorf("no node at %s; there are: %s", c.At, strings.Join(s.Nodes, " "))
	}
	return c.print(common.Out, s, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s at revision %d, changed at revision %d\n\nname\tvalue\tfrom\n", s.Path, s.Revision, s.Changed)
		for _, v := range s.Values {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", v.Name, strings.ReplaceAll(v.Value, "\n", " "), v.From)
		}
	})
}

// SetCmd changes one node.
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
func (c *SetCmd) Run(ctx context.Context, common Common) error {
	change, err := c.change(ctx)
	if err != nil {
		return err
	}
	accepted, err := c.client().submit(ctx, change)
	if codeOf(err) == ExitConflict {
		return withCode(ExitConflict, c.explainConflict(ctx, err))
	}
	if err != nil {
		return err
	}
	return c.print(common.Out, accepted, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "accepted as revision %d\n", accepted.Revision)
	})
}

func (c *SetCmd) change(ctx context.Context) (setts.Change, error) {
	change := setts.Change{ID: rand.Text(), Path: c.At, Unset: c.Unset, Remove: c.Remove, By: c.By, Set: map[string]string{}}
	for _, v := range c.Values {
		name, value, ok := strings.Cut(v, "=")
		if !ok {
			return change, withCode(ExitUsage, fmt.Errorf("%q is not NAME=YAML", v))
		}
		change.Set[name] = value
	}
	if c.Kind != "" {
		kind, err := setts.KindString(c.Kind)
		if err != nil {
			return change, withCode(ExitUsage, err)
		}
		change.Kind = kind
	}
	if len(change.Set)+len(change.Unset) == 0 && !c.Remove && c.Kind == "" {
		return change, withCode(ExitUsage, errors.New("nothing to change"))
	}
	if c.Base != nil {
		change.Base = model.Revision(*c.Base)
		return change, nil
	}
	s, err := c.client().show(ctx, c.At)
	change.Base = s.Changed
	return change, err
}

// explainConflict adds the other operator's change to a refusal.
func (c *SetCmd) explainConflict(ctx context.Context, refusal error) error {
	changes, err := c.client().history(ctx)
	if err != nil {
		return refusal
	}
	for _, other := range slices.Backward(changes) {
		if other.Path == c.At {
			return fmt.Errorf("%w\nthe other change: %s", refusal, describe(other))
		}
	}
	return refusal
}

// describe puts a change into one line.
func describe(c setts.Change) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(c.Set)) {
		parts = append(parts, name+"="+strings.ReplaceAll(c.Set[name], "\n", " "))
	}
	for _, name := range c.Unset {
		parts = append(parts, "unset "+name)
	}
	if c.Remove {
		parts = append(parts, "removed")
	}
	return fmt.Sprintf("revision %d by %s at %s: %s: %s", c.Revision, c.By, c.At.Format(time.RFC3339), c.Path, strings.Join(parts, ", "))
}

// HistoryCmd shows changes.
type HistoryCmd struct {
	AdminFlags
	OutputFlag
}

// Run implements the command.
func (c *HistoryCmd) Run(ctx context.Context, common Common) error {
	changes, err := c.client().history(ctx)
	if err != nil {
		return err
	}
	return c.print(common.Out, changes, func(w io.Writer) {
		for _, change := range changes {
			_, _ = fmt.Fprintln(w, describe(change))
		}
	})
}

// WaitCmd waits until a revision is in force everywhere.
type WaitCmd struct {
	AdminFlags
	OutputFlag
	Revision uint64        `help:"${help_revision}"`
	Timeout  time.Duration `default:"30s" help:"${help_timeout}"`
}

// waitPoll is the time between two looks at the fleet.
const waitPoll = 200 * time.Millisecond

// Run implements the command.
func (c *WaitCmd) Run(ctx context.Context, common Common) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	revision := model.Revision(c.Revision)
	if revision == 0 {
		s, err := c.client().show(ctx, setts.Root)
		if err != nil {
			return err
		}
		revision = s.Revision
	}
	for {
		f, err := c.client().inForce(ctx, revision)
		if err == nil && len(f.Behind) == 0 {
			return c.print(common.Out, f, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "revision %d is in force at all %d daemons\n", f.Revision, len(f.Reached))
			})
		}
		select {
		case <-ctx.Done():
			return withCode(ExitTimeout, fmt.Errorf("revision %d is not in force yet at: %v", revision, f.Behind))
		case <-time.After(waitPoll):
		}
	}
}

// ApplyCmd makes the tree the same as a file.
type ApplyCmd struct {
	AdminFlags
	File  string `arg:"" type:"existingfile"`
	Prune bool   `help:"${help_prune}"`
	By    string `env:"USER" default:"unknown" help:"${help_by}"`
}

// Run implements the command.
func (c *ApplyCmd) Run(ctx context.Context, common Common) error {
	want, err := readTree(c.File)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	have, err := c.client().tree(ctx)
	if err != nil {
		return err
	}
	changes := Difference(have, want, c.Prune)
	for _, change := range changes {
		change.ID, change.By = rand.Text(), c.By
		accepted, err := c.client().submit(ctx, change)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(common.Out, describe(accepted))
	}
	_, _ = fmt.Fprintf(common.Out, "%d changes accepted\n", len(changes))
	return nil
}

// Difference returns the changes that lead from one tree to another, parents
// first. Nodes that only the first has are removed if prune is set.
func Difference(have, want setts.Tree, prune bool) []setts.Change {
	var changes []setts.Change
	for _, path := range want.Paths() {
		old, exists := have.Nodes[path]
		node := want.Nodes[path]
		c := setts.Change{Path: path, Kind: node.Kind, Base: old.Changed, Set: map[string]string{}}
		for name, text := range node.Settings {
			if old.Settings[name] != text {
				c.Set[name] = text
			}
		}
		for name := range old.Settings {
			if _, kept := node.Settings[name]; !kept {
				c.Unset = append(c.Unset, name)
			}
		}
		slices.Sort(c.Unset)
		if !exists || len(c.Set)+len(c.Unset) > 0 {
			changes = append(changes, c)
		}
	}
	if prune {
		changes = append(changes, removals(have, want)...)
	}
	return changes
}

func removals(have, want setts.Tree) []setts.Change {
	var changes []setts.Change
	paths := have.Paths()
	slices.Reverse(paths)
	for _, path := range paths {
		if _, kept := want.Nodes[path]; !kept {
			changes = append(changes, setts.Change{Path: path, Base: have.Nodes[path].Changed, Remove: true})
		}
	}
	return changes
}
