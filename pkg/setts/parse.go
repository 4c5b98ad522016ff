package setts

import (
	"bytes"
	"errors"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"
)

// maxTreeBytes bounds a settings text; the key-value service holds no more.
const maxTreeBytes = 1 << 20

// maxProblems bounds how many problems of one text are reported.
const maxProblems = 50

// CheckErrors are all things found wrong with one text.
type CheckErrors []*CheckError

// Error implements error.
func (ps CheckErrors) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

type treeParser struct {
	file     string
	tree     Tree
	problems CheckErrors
}

// Parse reads a whole tree from YAML, strictly.
func Parse(file string, text []byte) (Tree, error) {
	p := &treeParser{file: file, tree: Tree{Nodes: map[string]Node{}}}
	if len(text) > maxTreeBytes {
		p.fail(nil, Root, "the text is too large", "at most 1 MiB")
		return Tree{}, p.problems
	}
	var doc yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(text))
	err := dec.Decode(&doc)
	switch {
	case errors.Is(err, io.EOF):
		return NewTree(), nil
	case err != nil:
		p.fail(nil, Root, "not YAML: "+err.Error(), "")
		return Tree{}, p.problems
	}
	if dec.Decode(new(yaml.Node)) == nil {
		p.fail(nil, Root, "more than one YAML document", "a single document")
	}
	p.node(Root, doc.Content[0], -1)
	p.keys()
	if len(p.problems) > 0 {
		return Tree{}, p.problems
	}
	return p.tree, nil
}

func (p *treeParser) fail(n *yaml.Node, path, message, accepted string) {
	problem := &CheckError{Path: path, Message: message, Accepted: accepted}
	if n != nil {
		problem.Line, problem.Column = n.Line, n.Column
	}
	p.add(problem)
}

func (p *treeParser) add(problem *CheckError) {
	if len(p.problems) < maxProblems {
		problem.File = p.file
		p.problems = append(p.problems, problem)
	}
}

// node reads one node with all below it. above is the parent's kind, or -1.
func (p *treeParser) node(path string, n *yaml.Node, above int) {
	if n.Kind != yaml.MappingNode {
		p.fail(n, path, "is not a mapping", "kind, settings and nodes")
		return
	}
	parts := p.mapping(path, n)
	kind := Firm
	if k, ok := parts["kind"]; ok {
		parsed, err := KindString(k.Value)
		if err != nil {
			p.fail(k, path+":kind", "unknown kind", strings.Join(KindStrings(), ", "))
			return
		}
		kind = parsed
	} else if path != Root {
		p.fail(n, path, "has no kind", "kind: place, service or team")
		return
	}
	if int(kind) <= above || (path == Root && kind != Firm) {
		p.fail(n, path, "a "+kind.String()+" cannot stand here", "firm at the root, then place, service and team")
		return
	}
	node := Node{Kind: kind, Settings: map[string]string{}}
	for key, value := range parts {
		switch key {
		case "kind", "nodes":
		case "settings":
			p.settings(path, kind, value, node.Settings)
		default:
			p.fail(value, path+":"+key, "unknown name", "kind, settings, nodes")
		}
	}
	p.tree.Nodes[path] = node
	if children, ok := parts["nodes"]; ok {
		p.children(path, kind, children)
	}
}

func (p *treeParser) settings(path string, kind Kind, n *yaml.Node, says map[string]string) {
	if n.Kind != yaml.MappingNode {
		p.fail(n, path+":settings", "is not a mapping", "names of settings with their values")
		return
	}
	for name, value := range p.mapping(path, n) {
		if problem := checkNode(path, kind, name, value); problem != nil {
			p.add(problem)
			continue
		}
		text, err := yaml.Marshal(value)
		if err != nil {
			p.fail(value, path+":"+name, err.Error(), "")
			continue
		}
		says[name] = strings.TrimSpace(string(text))
	}
}

func (p *treeParser) children(path string, kind Kind, n *yaml.Node) {
	if n.Kind != yaml.MappingNode {
		p.fail(n, path+":nodes", "is not a mapping", "names of nodes")
		return
	}
	for name, child := range p.mapping(path, n) {
		childPath := strings.TrimSuffix(path, "/") + "/" + name
		if !validPath(childPath) || strings.Contains(name, "/") {
			p.fail(child, childPath, "not a node's name", "letters, digits, '-' and '_'")
			continue
		}
		p.node(childPath, child, int(kind))
	}
}

// keys checks that no two teams share an API key.
func (p *treeParser) keys() {
	for _, path := range p.tree.Paths() {
		var problem *CheckError
		if errors.As(p.tree.checkKeys(path, p.tree.Nodes[path].Settings["api_key_sha256"]), &problem) {
			p.add(problem)
		}
	}
}

// mapping returns a mapping's values by key; a key that stands twice is a
// problem, since one of the two would be lost.
func (p *treeParser) mapping(path string, n *yaml.Node) map[string]*yaml.Node {
	m := map[string]*yaml.Node{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if _, twice := m[key.Value]; twice || key.Kind != yaml.ScalarNode {
			p.fail(key, path+":"+key.Value, "stands twice or is not a plain name", "each name once")
			continue
		}
		m[key.Value] = value
	}
	return m
}
