package setts

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// EffectiveSettings is the settings in force: a tree with the merged policy of each node and the
// team of each API key. It is immutable.
type EffectiveSettings struct {
	Revision model.Revision
	Tree     Tree
	// policies holds the merged policies by path.
	policies map[string]Policy
	// keys maps the SHA-256 of an API key, in lower-case hexadecimal, to its team.
	keys map[string]model.Team
	// Ranks holds the priorities of the requests to each model that has requests of different ones, sorted.
	Ranks map[string][]int
}

// NewEffectiveSettings computes the policies of all nodes of a tree.
func NewEffectiveSettings(t Tree) *EffectiveSettings {
	f := &EffectiveSettings{Revision: t.Revision, Tree: t, policies: map[string]Policy{}, keys: map[string]model.Team{}}
	f.mergeSubtree(Root)
	return f
}

// EffectiveSettingsOf returns an EffectiveSettings with policies that do not come from a tree: the root's, and
// those of the teams by team path.
func EffectiveSettingsOf(revision model.Revision, root Policy, teams map[model.Team]Policy) *EffectiveSettings {
	f := &EffectiveSettings{Revision: revision, Tree: NewTree(), policies: map[string]Policy{Root: root}, keys: map[string]model.Team{}}
	for team, p := range teams {
		f.policies[string(team)] = p
	}
	return f
}

// Next returns the settings in force after a change. It merges only the nodes at or
// below the changed path again, so a small change stays cheap in a large tree. On an
// error it returns f itself.
func (f *EffectiveSettings) Next(c Change) (*EffectiveSettings, error) {
	t, err := f.Tree.Apply(c)
	if err != nil {
		return f, err
	}
	next := &EffectiveSettings{Revision: t.Revision, Tree: t, policies: maps.Clone(f.policies), keys: maps.Clone(f.keys)}
	for path := range f.Tree.Nodes {
		if AtOrBelow(path, c.Path) {
			next.removeNode(path)
		}
	}
	next.mergeSubtree(c.Path)
	return next, nil
}

// removeNode deletes the policy and API keys of a node.
func (f *EffectiveSettings) removeNode(path string) {
	for _, key := range f.policies[path].APIKeySHA256 {
		if f.keys[strings.ToLower(key)] == model.Team(path) {
			delete(f.keys, strings.ToLower(key))
		}
	}
	delete(f.policies, path)
}

// mergeSubtree computes the policies of root and all nodes below it.
func (f *EffectiveSettings) mergeSubtree(root string) {
	var paths []string
	for path := range f.Tree.Nodes {
		if AtOrBelow(path, root) {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	for _, path := range paths {
		base := Defaults()
		if parent, ok := Parent(path); ok {
			base = f.policies[parent]
		}
		p := applySettings(base, f.Tree.Nodes[path])
		f.policies[path] = p
		for _, key := range p.APIKeySHA256 {
			f.keys[strings.ToLower(key)] = model.Team(path)
		}
	}
}

// applySettings returns the parent's policy p overridden by a node's own settings. It
// skips errors, since values are checked before they enter the tree.
func applySettings(p Policy, n Node) Policy {
	byName := policyFields()
	v := reflect.ValueOf(&p).Elem()
	v.FieldByName("APIKeySHA256").SetZero()
	for name, text := range n.Settings {
		f, ok := byName[name]
		if !ok {
			continue
		}
		value := reflect.New(f.typ)
		if yaml.Unmarshal([]byte(text), value.Interface()) == nil {
			v.Field(f.index).Set(value.Elem())
		}
	}
	return p
}

// At returns the policy in force at a path: that of the node, or of its nearest
// ancestor in the tree.
func (f *EffectiveSettings) At(path string) Policy {
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

// TeamOf returns the team of an API key, given as its SHA-256 in hexadecimal.
func (f *EffectiveSettings) TeamOf(keySHA256 string) (model.Team, bool) {
	t, ok := f.keys[strings.ToLower(keySHA256)]
	return t, ok
}

// Origin is a setting's value at a node, and the node that sets it.
type Origin struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	// From is the path of the node that sets it, or "default".
	From string `json:"from"`
}

// Explain returns the merged value of each setting at a path and the node that sets it.
func (f *EffectiveSettings) Explain(path string) []Origin {
	policy := f.At(path)
	v := reflect.ValueOf(policy)
	origins := make([]Origin, 0, v.NumField())
	for i, name := range Names() {
		text, err := yaml.Marshal(v.Field(i).Interface())
		if err != nil {
			continue
		}
		origins = append(origins, Origin{Name: name, Value: strings.TrimSpace(string(text)), From: f.originOf(path, name)})
	}
	return origins
}

// originOf returns the nearest node at or above a path that sets a setting, or
// "default".
func (f *EffectiveSettings) originOf(path, name string) string {
	from := "default"
	for _, p := range Ancestry(path) {
		if _, ok := f.Tree.Nodes[p].Settings[name]; ok {
			from = p
		}
	}
	return from
}
