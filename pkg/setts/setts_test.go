package setts

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const validTree = `settings: {deadline: 30s, models: {m: 4}}
nodes:
  lisbon:
    kind: place
    settings: {weight: 2}
    nodes:
      a:
        kind: team
        settings: {weight: 3, api_key_sha256: ["` + keyDigest + `"]}
`

const keyDigest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func TestParseRejects(t *testing.T) {
	type scenario struct {
		name string
		text string
		want string
	}
	scenarios := []scenario{
		{"unknown setting", "settings:\n  wieght: 2\n", "f:2:11: /:wieght: unknown setting; accepted: one of deadline"},
		{"wrong type", "settings: {weight: heavy}\n", "f:1:20: /:weight: has the wrong type; accepted: a number from 0.01 to 1000"},
		{"out of range", "settings: {deadline: 0s}\n", "/:deadline: is out of range; accepted: a duration such as 30s from 100ms to 1h"},
		{"not a number", "settings: {weight: .nan}\n", "/:weight: is out of range"},
		{"null value", "settings: {weight: null}\n", "/:weight: has the wrong type"},
		{"duplicate setting", "settings: {weight: 1, weight: 2}\n", "duplicate key or not a scalar"},
		{"team setting at root", "settings: {api_key_sha256: []}\n", "may be set at a team only"},
		{"root setting at place", "nodes: {a: {kind: place, settings: {shards: 3}}}\n", "may be set at the root only"},
		{"malformed API key digest", "nodes: {a: {kind: team, settings: {api_key_sha256: [abc]}}}\n", "64 hexadecimal digits"},
		{"API key of two teams", "nodes: {a: {kind: team, settings: {api_key_sha256: [" + keyDigest + "]}}, b: {kind: team, settings: {api_key_sha256: [" + strings.ToUpper(keyDigest) + "]}}}\n", "a key belongs to /"},
		{"unknown kind", "nodes: {a: {kind: region}}\n", "unknown kind; accepted: firm, place, service, team"},
		{"missing kind", "nodes: {a: {}}\n", "kind is missing"},
		{"place below team", "nodes: {a: {kind: team, nodes: {b: {kind: place}}}}\n", "a place is not allowed here"},
		{"invalid node name", "nodes: {a b: {kind: team}}\n", "invalid node name"},
		{"two documents", "settings: {}\n---\nsettings: {}\n", "more than one YAML document"},
		{"unknown key", "values: {}\n", "unknown key; accepted: kind, settings, nodes"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := Parse("f", []byte(s.text))
			assert.ErrorContains(t, err, s.want)
			var problems CheckErrors
			assert.Assert(t, errors.As(err, &problems))
		})
	}
}

func TestInheritanceAndExplain(t *testing.T) {
	tree, err := Parse("f", []byte(validTree))
	assert.NilError(t, err)
	f := NewEffectiveSettings(tree)
	p := f.At("/lisbon/a")
	assert.Equal(t, p.Weight, 3.0)
	assert.Equal(t, p.Deadline, 30*time.Second)
	assert.Equal(t, f.At("/lisbon").Weight, 2.0)
	team, ok := f.TeamOf(strings.ToUpper(keyDigest))
	assert.Assert(t, ok)
	assert.Equal(t, team, model.Team("/lisbon/a"))
	origins := map[string]string{}
	for _, o := range f.Explain("/lisbon/a") {
		origins[o.Name] = o.From
	}
	assert.Equal(t, origins["weight"], "/lisbon/a")
	assert.Equal(t, origins["deadline"], "/")
	assert.Equal(t, origins["token_gap"], "default")
}

func TestNext(t *testing.T) {
	tree, err := Parse("f", []byte(validTree))
	assert.NilError(t, err)
	f := NewEffectiveSettings(tree)
	next, err := f.Next(Change{Path: "/lisbon", Set: map[string]string{"weight": "7"}})
	assert.NilError(t, err)
	assert.Equal(t, next.At("/lisbon").Weight, 7.0)
	assert.Equal(t, next.At("/lisbon/a").Weight, 3.0)
	assert.Equal(t, f.At("/lisbon").Weight, 2.0)

	var conflict *ConflictError
	_, err = next.Next(Change{Path: "/lisbon", Set: map[string]string{"weight": "8"}})
	assert.Assert(t, errors.As(err, &conflict))
	_, err = next.Next(Change{Path: "/lisbon", Base: 1, Set: map[string]string{"weight": "-8"}})
	assert.ErrorContains(t, err, "out of range")
	_, err = next.Next(Change{Path: "/", Remove: true})
	assert.ErrorContains(t, err, "root cannot be removed")

	removed, err := next.Next(Change{Path: "/lisbon", Base: 1, Remove: true})
	assert.NilError(t, err)
	_, ok := removed.TeamOf(keyDigest)
	assert.Assert(t, !ok)
}

// TestRemoveConflictsWithChangeBelow: the removal of a node fails if a node below it was
// changed after the revision that the removal is based on; otherwise that change would
// be lost.
func TestRemoveConflictsWithChangeBelow(t *testing.T) {
	tree, err := Parse("f", []byte(validTree))
	assert.NilError(t, err)
	tree, err = tree.Apply(Change{Path: "/lisbon/a", Set: map[string]string{"weight": "9"}})
	assert.NilError(t, err)
	_, err = tree.Apply(Change{Path: "/lisbon", Remove: true})
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Path, "/lisbon/a")
}

func TestReferencePage(t *testing.T) {
	want, err := Reference()
	assert.NilError(t, err)
	const page = "../../docs/SETTINGS.md"
	if os.Getenv("UPDATE_PAGES") != "" {
		assert.NilError(t, os.WriteFile(page, []byte(want), 0o644))
	}
	got, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want, "run UPDATE_PAGES=1 go test ./pkg/setts")
}

func FuzzParse(f *testing.F) {
	f.Add(validTree)
	f.Add("settings: {weight: *x}\n")
	f.Add("a: &a [*a]\n")
	f.Add("nodes: {a: {kind: team, settings: {weight: !!float 1}}}\n")
	f.Fuzz(func(t *testing.T, text string) {
		tree, err := Parse("f", []byte(text))
		if err != nil {
			return
		}
		force := NewEffectiveSettings(tree)
		for _, path := range tree.Paths() {
			p := force.At(path)
			assert.Assert(t, p.Weight >= 0.01 && p.Weight <= 1000)
			assert.Assert(t, p.MaxBodyBytes >= 1024 && p.MaxBodyBytes <= 8388608)
			for name, value := range tree.Nodes[path].Settings {
				assert.NilError(t, checkSettingText(path, tree.Nodes[path].Kind, name, value))
			}
		}
	})
}

func FuzzParsePlacement(f *testing.F) {
	f.Add("roster-7b 0-16")
	f.Add(" 0-1")
	f.Add("m -1-2")
	f.Add("m 2-1")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := ParsePlacement(text)
		if err == nil {
			assert.Assert(t, p.Model != "" && p.Span.From >= 0 && p.Span.To > p.Span.From)
		}
	})
}
