package setts

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Force is a tree made ready for use: the merged policy of each node and the
// API keys. It is never changed in place.
type Force struct {
	Revision model.Revision
	Tree     Tree
	policies map[string]Policy
	keys     map[string]model.Team
}

// NewForce merges a whole tree.
func NewForce(t Tree) *Force {
	f := &Force{Revision: t.Revision, Tree: t, policies: map[string]Policy{}, keys: map[string]model.Team{}}
	f.merge(Root)
	return f
}

// ForceOf makes ready policies that do not come from a tree: that of the root, and
// those of the teams by their names.
func ForceOf(revision model.Revision, root Policy, teams map[model.Team]Policy) *Force {
	f := &Force{Revision: revision, Tree: NewTree(), policies: map[string]Policy{Root: root}, keys: map[string]model.Team{}}
	for team, p := range teams {
		f.policies[string(team)] = p
	}
	return f
}

// Next returns what is in force after one change. Only the nodes at or below
// the change are merged again, so the cost follows what changed.
func (f *Force) Next(c Change) (*Force, error) {
	t, err := f.Tree.Apply(c)
	if err != nil {
		return f, err
	}
	next := &Force{Revision: t.Revision, Tree: t, policies: maps.Clone(f.policies), keys: maps.Clone(f.keys)}
	for path := range f.Tree.Nodes {
		if Below(path, c.Path) {
			next.forget(path)
		}
	}
	next.merge(c.Path)
	return next, nil
}

// forget drops what a node contributed.
func (f *Force) forget(path string) {
	for _, key := range f.policies[path].APIKeySHA256 {
		if f.keys[strings.ToLower(key)] == model.Team(path) {
			delete(f.keys, strings.ToLower(key))
		}
	}
	delete(f.policies, path)
}

// merge computes the policies at and below a node.
func (f *Force) merge(top string) {
	var paths []string
	for path := range f.Tree.Nodes {
		if Below(path, top) {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	for _, path := range paths {
		base := Defaults()
		if parent, ok := Parent(path); ok {
			base = f.policies[parent]
		}
		p := overlay(base, f.Tree.Nodes[path])
		f.policies[path] = p
		for _, key := range p.APIKeySHA256 {
			f.keys[strings.ToLower(key)] = model.Team(path)
		}
	}
}

// overlay applies a node's own settings to its parent's policy. Every value was checked
// when it entered the tree.
func overlay(p Policy, n Node) Policy {
	known := fields()
	v := reflect.ValueOf(&p).Elem()
	v.FieldByName("APIKeySHA256").SetZero()
	for name, text := range n.Settings {
		f, ok := known[name]
		if !ok {
			continue
		}
		target := reflect.New(f.typ)
		if yaml.Unmarshal([]byte(text), target.Interface()) == nil {
			v.Field(f.index).Set(target.Elem())
		}
	}
	return p
}

// At returns the policy in force at a path: that of the nearest node.
func (f *Force) At(path string) Policy {
	for {
		if p, ok := f.policies[path]; ok {
			return p
		}
		parent, ok := Parent(path)
		if !ok {
			return Defaults()
		}
		path = parent
	}
}

// TeamOf returns the team of an API key, given as hexadecimal SHA-256.
func (f *Force) TeamOf(keySHA256 string) (model.Team, bool) {
	t, ok := f.keys[strings.ToLower(keySHA256)]
	return t, ok
}

// Origin is one setting's value at a node, and the node that says it.
type Origin struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	// From is the path of the node that says it, or "default".
	From string `json:"from"`
}

// Explain returns the merged values at a path and where each comes from.
func (f *Force) Explain(path string) []Origin {
	policy := f.At(path)
	v := reflect.ValueOf(policy)
	origins := make([]Origin, 0, v.NumField())
	for i, name := range Names() {
		text, err := yaml.Marshal(v.Field(i).Interface())
		if err != nil {
			continue
		}
		origins = append(origins, Origin{Name: name, Value: strings.TrimSpace(string(text)), From: f.origin(path, name)})
	}
	return origins
}

func (f *Force) origin(path, name string) string {
	from := "default"
	for _, p := range Chain(path) {
		if _, ok := f.Tree.Nodes[p].Settings[name]; ok {
			from = p
		}
	}
	return from
}
