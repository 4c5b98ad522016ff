package setts

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Root is the path of the tree's root.
const Root = "/"

//go:generate enumer -type=Kind -transform=snake -text -output=kind_enumer.go

// Kind is the level of a node. A child's kind is always higher than its
// parent's.
type Kind uint8

const (
	// Firm is the root.
	Firm Kind = iota
	// Place is a site or region.
	Place
	// Service is an application.
	Service
	// Team is a caller with its own API keys.
	Team
)

// Node is one node of the tree.
type Node struct {
	Kind Kind `cbor:"1,keyasint"`
	// Settings maps a setting's name to its value as YAML text.
	Settings map[string]string `cbor:"2,keyasint"`
	// Changed is the revision of the last change to this node. It never goes
	// down, also not when the node is removed and made again.
	Changed model.Revision `cbor:"3,keyasint"`
}

// Tree is the whole of the settings at one revision. It is never changed in
// place: Apply returns a new one.
type Tree struct {
	Revision model.Revision  `cbor:"1,keyasint"`
	Nodes    map[string]Node `cbor:"2,keyasint"`
}

// NewTree returns the tree of revision 0: a root that says nothing.
func NewTree() Tree {
	return Tree{Nodes: map[string]Node{Root: {Kind: Firm}}}
}

// Parent returns the path of a node's parent; the root has none.
func Parent(path string) (string, bool) {
	if path == Root {
		return "", false
	}
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return Root, true
	}
	return path[:i], true
}

// Chain returns the paths from the root to a node.
func Chain(path string) []string {
	chain := []string{path}
	for {
		parent, ok := Parent(path)
		if !ok {
			break
		}
		chain = append(chain, parent)
		path = parent
	}
	slices.Reverse(chain)
	return chain
}

// Below reports whether path is at or under top.
func Below(path, top string) bool {
	return top == Root || path == top || strings.HasPrefix(path, top+"/")
}

// Paths returns all paths in order, parents first.
func (t Tree) Paths() []string {
	paths := slices.Collect(maps.Keys(t.Nodes))
	sort.Strings(paths)
	return paths
}

// Change is one entry of the ordered log of settings.
type Change struct {
	// Revision is the revision that the change makes.
	Revision model.Revision `json:"revision" cbor:"1,keyasint"`
	// ID is drawn by the operator's command, so that a lost answer can be
	// resolved by reading back.
	ID   string `json:"id" cbor:"2,keyasint"`
	Path string `json:"path" cbor:"3,keyasint"`
	// Base is the node's Changed that the operator saw.
	Base model.Revision `json:"base" cbor:"4,keyasint"`
	// Kind is the kind of a node that the change makes.
	Kind   Kind              `json:"kind" cbor:"5,keyasint"`
	Set    map[string]string `json:"set,omitempty" cbor:"6,keyasint,omitempty"`
	Unset  []string          `json:"unset,omitempty" cbor:"7,keyasint,omitempty"`
	Remove bool              `json:"remove,omitempty" cbor:"8,keyasint,omitempty"`
	By     string            `json:"by,omitempty" cbor:"9,keyasint,omitempty"`
	At     time.Time         `json:"at" cbor:"10,keyasint"`
}

// ConflictError is a change that was based on an older state of its node.
type ConflictError struct {
	Path string
	Base model.Revision
	Now  model.Revision
}

// Error implements error.
func (c *ConflictError) Error() string {
	return "the settings at " + c.Path + " were changed by someone else since they were read"
}

// Apply returns the tree after a change, or why the change cannot be made. An
// error leaves nothing half-applied.
func (t Tree) Apply(c Change) (Tree, error) {
	node, exists := t.Nodes[c.Path]
	if node.Changed != c.Base {
		return t, &ConflictError{Path: c.Path, Base: c.Base, Now: node.Changed}
	}
	if c.Remove {
		return t.remove(c)
	}
	if !exists {
		if err := t.checkNewNode(c); err != nil {
			return t, err
		}
		node = Node{Kind: c.Kind}
	}
	settings := maps.Clone(node.Settings)
	if settings == nil {
		settings = map[string]string{}
	}
	for _, name := range c.Unset {
		delete(settings, name)
	}
	maps.Copy(settings, c.Set)
	for name, text := range c.Set {
		if err := checkValue(c.Path, node.Kind, name, text); err != nil {
			return t, err
		}
	}
	if err := t.checkKeys(c.Path, c.Set["api_key_sha256"]); err != nil {
		return t, err
	}
	next := t.clone()
	next.Nodes[c.Path] = Node{Kind: node.Kind, Settings: settings, Changed: next.Revision}
	return next, nil
}

func (t Tree) clone() Tree {
	return Tree{Revision: t.Revision + 1, Nodes: maps.Clone(t.Nodes)}
}

func (t Tree) remove(c Change) (Tree, error) {
	if c.Path == Root {
		return t, &CheckError{Path: Root, Message: "the root cannot be removed"}
	}
	if _, ok := t.Nodes[c.Path]; !ok {
		return t, &CheckError{Path: c.Path, Message: "no such node"}
	}
	next := t.clone()
	for path, node := range t.Nodes {
		if !Below(path, c.Path) {
			continue
		}
		if node.Changed > c.Base {
			return t, &ConflictError{Path: path, Base: c.Base, Now: node.Changed}
		}
		delete(next.Nodes, path)
	}
	return next, nil
}

func (t Tree) checkNewNode(c Change) error {
	parent, ok := Parent(c.Path)
	if !ok || !validPath(c.Path) {
		return &CheckError{Path: c.Path, Message: "not a path", Accepted: "names of letters, digits, '-' and '_' after slashes, such as /lisbon/rosters/team-a"}
	}
	above, ok := t.Nodes[parent]
	if !ok {
		return &CheckError{Path: c.Path, Message: "its parent " + parent + " does not exist"}
	}
	if c.Kind <= above.Kind {
		return &CheckError{Path: c.Path, Message: "a " + c.Kind.String() + " cannot stand below a " + above.Kind.String(), Accepted: "place, then service, then team"}
	}
	return nil
}

// checkKeys refuses an API key that another team has: its requests would go to
// the wrong team.
func (t Tree) checkKeys(path, text string) error {
	mine := keysIn(text)
	if len(mine) == 0 {
		return nil
	}
	for other, node := range t.Nodes {
		if other == path {
			continue
		}
		for _, key := range keysIn(node.Settings["api_key_sha256"]) {
			if slices.Contains(mine, key) {
				return &CheckError{Path: path + ":api_key_sha256", Message: "a key belongs to " + other + " already", Accepted: "keys of no other team"}
			}
		}
	}
	return nil
}

// keysIn reads a list of API keys; a text that is none holds no keys.
func keysIn(text string) []string {
	var keys []string
	if yaml.Unmarshal([]byte(text), &keys) != nil {
		return nil
	}
	for i := range keys {
		keys[i] = strings.ToLower(keys[i])
	}
	return keys
}

func validPath(path string) bool {
	if !strings.HasPrefix(path, "/") || len(path) > 256 {
		return false
	}
	for part := range strings.SplitSeq(path[1:], "/") {
		if part == "" {
			return false
		}
		for _, r := range part {
			ok := r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
			if !ok {
				return false
			}
		}
	}
	return true
}
