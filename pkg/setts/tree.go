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

// Root is the path of the root node.
const Root = "/"

//go:generate enumer -type=Kind -transform=snake -text -output=kind_enumer.go

// Kind is the level of a node. A child's kind is always greater than its parent's.
type Kind uint8

const (
	// Firm is the kind of the root node.
	Firm Kind = iota
	// Place is a site or region.
	Place
	// Service is an application.
	Service
	// Team is a team of callers with its own API keys.
	Team
)

// Node is one node of the settings tree.
type Node struct {
	Kind Kind `cbor:"1,keyasint"`
	// Settings maps the names of the node's own settings to their values as YAML text.
	Settings map[string]string `cbor:"2,keyasint"`
	// Changed is the revision of the last change to this node. It never decreases,
	// not even when the node is removed and created again.
	Changed model.Revision `cbor:"3,keyasint"`
}

// Tree is all settings at one revision. It is immutable: Apply returns a new one.
type Tree struct {
	Revision model.Revision  `cbor:"1,keyasint"`
	Nodes    map[string]Node `cbor:"2,keyasint"`
}

// NewTree returns the tree of revision 0: a root node without settings.
func NewTree() Tree {
	return Tree{Nodes: map[string]Node{Root: {Kind: Firm}}}
}

// Parent returns the path of a node's parent, or false for the root.
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

// Ancestry returns the paths of all nodes from the root down to path, both included.
func Ancestry(path string) []string {
	paths := []string{path}
	for {
		parent, ok := Parent(path)
		if !ok {
			break
		}
		paths = append(paths, parent)
		path = parent
	}
	slices.Reverse(paths)
	return paths
}

// AtOrBelow reports whether path is ancestor itself or a path below it.
func AtOrBelow(path, ancestor string) bool {
	return ancestor == Root || path == ancestor || strings.HasPrefix(path, ancestor+"/")
}

// Paths returns the paths of all nodes, sorted so that parents come before children.
func (t Tree) Paths() []string {
	paths := slices.Collect(maps.Keys(t.Nodes))
	sort.Strings(paths)
	return paths
}

// Change is one entry of the settings log.
type Change struct {
	// Revision is the revision that the change creates.
	Revision model.Revision `json:"revision" cbor:"1,keyasint"`
	// ID is chosen at random by the operator's command, so that after a lost answer it
	// can read the log to see whether the change was made.
	ID   string `json:"id" cbor:"2,keyasint"`
	Path string `json:"path" cbor:"3,keyasint"`
	// Base is the node's Changed when the operator read it, for optimistic locking.
	Base model.Revision `json:"base" cbor:"4,keyasint"`
	// Kind is the kind of the node if the change creates it.
	Kind   Kind              `json:"kind" cbor:"5,keyasint"`
	Set    map[string]string `json:"set,omitempty" cbor:"6,keyasint,omitempty"`
	Unset  []string          `json:"unset,omitempty" cbor:"7,keyasint,omitempty"`
	Remove bool              `json:"remove,omitempty" cbor:"8,keyasint,omitempty"`
	By     string            `json:"by,omitempty" cbor:"9,keyasint,omitempty"`
	At     time.Time         `json:"at" cbor:"10,keyasint"`
}

// ConflictError means that the node was changed since the revision that the change is
// based on.
type ConflictError struct {
	Path string
	Base model.Revision
	Now  model.Revision
}

// Error implements error.
func (c *ConflictError) Error() string {
	return "the settings at " + c.Path + " were changed by someone else since they were read"
}

// Apply returns the tree after a change. On an error it returns t unchanged.
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
		if err := checkSettingText(c.Path, node.Kind, name, text); err != nil {
			return t, err
		}
	}
	if err := t.checkAPIKeys(c.Path, c.Set["api_key_sha256"]); err != nil {
		return t, err
	}
	next := t.clone()
	next.Nodes[c.Path] = Node{Kind: node.Kind, Settings: settings, Changed: next.Revision}
	return next, nil
}

// clone returns a copy of the tree with the next revision.
func (t Tree) clone() Tree {
	return Tree{Revision: t.Revision + 1, Nodes: maps.Clone(t.Nodes)}
}

// remove deletes a node and all nodes below it, unless one of them was changed after
// the revision that the change is based on.
func (t Tree) remove(c Change) (Tree, error) {
	if c.Path == Root {
		return t, &CheckError{Path: Root, Message: "the root cannot be removed"}
	}
	if _, ok := t.Nodes[c.Path]; !ok {
		return t, &CheckError{Path: c.Path, Message: "no such node"}
	}
	next := t.clone()
	for path, node := range t.Nodes {
		if !AtOrBelow(path, c.Path) {
			continue
		}
		if node.Changed > c.Base {
			return t, &ConflictError{Path: path, Base: c.Base, Now: node.Changed}
		}
		delete(next.Nodes, path)
	}
	return next, nil
}

// checkNewNode checks the path, parent and kind of a node to be created.
func (t Tree) checkNewNode(c Change) error {
	parent, ok := Parent(c.Path)
	if !ok || !validPath(c.Path) {
		return &CheckError{Path: c.Path, Message: "not a path", Accepted: "names of letters, digits, '-' and '_' after slashes, such as /lisbon/rosters/team-a"}
	}
	parentNode, ok := t.Nodes[parent]
	if !ok {
		return &CheckError{Path: c.Path, Message: "its parent " + parent + " does not exist"}
	}
	if c.Kind <= parentNode.Kind {
		return &CheckError{Path: c.Path, Message: "a " + c.Kind.String() + " cannot stand below a " + parentNode.Kind.String(), Accepted: "place, then service, then team"}
	}
	return nil
}

// checkAPIKeys rejects an API key that another team has, since its requests would be
// attributed to the wrong team.
func (t Tree) checkAPIKeys(path, keysText string) error {
	own := parseAPIKeys(keysText)
	if len(own) == 0 {
		return nil
	}
	for otherPath, otherNode := range t.Nodes {
		if otherPath == path {
			continue
		}
		for _, key := range parseAPIKeys(otherNode.Settings["api_key_sha256"]) {
			if slices.Contains(own, key) {
				return &CheckError{Path: path + ":api_key_sha256", Message: "a key belongs to " + otherPath + " already", Accepted: "keys of no other team"}
			}
		}
	}
	return nil
}

// parseAPIKeys reads a YAML list of API key digests in lower case. It returns nil for
// invalid YAML.
func parseAPIKeys(text string) []string {
	var keys []string
	if yaml.Unmarshal([]byte(text), &keys) != nil {
		return nil
	}
	for i := range keys {
		keys[i] = strings.ToLower(keys[i])
	}
	return keys
}

// validPath reports whether a path is made of valid node names and at most 256 bytes
// long.
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
