package setts

import (
	"bytes"
	"errors"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"
)

// maxTreeBytes is the maximum size of a settings text; the key-value service stores no
// larger value.
const maxTreeBytes = 1 << 20

// maxProblems is the maximum number of problems reported for one text.
const maxProblems = 50

// CheckErrors are the problems found in one settings text.
type CheckErrors []*CheckError

// Error implements error.
func (es CheckErrors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// treeParser reads a tree from YAML and collects the problems it finds.
type treeParser struct {
	file     string
	tree     Tree
	problems CheckErrors
}

// Parse reads a whole tree from YAML. It rejects unknown and duplicate names. A problem
// in the text is returned as CheckErrors.
func Parse(file string, text []byte) (Tree, error) {
	p := &treeParser{file: file, tree: Tree{Nodes: map[string]Node{}}}
	if len(text) > maxTreeBytes {
		p.report(nil, Root, "the settings text is too large", "at most 1 MiB")
		return Tree{}, p.problems
	}
	var doc yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(text))
	err := dec.Decode(&doc)
	switch {
	case errors.Is(err, io.EOF):
		return NewTree(), nil
	case err != nil:
		p.report(nil, Root, "invalid YAML: "+err.Error(), "")
		return Tree{}, p.problems
	}
	if dec.Decode(new(yaml.Node)) == nil {
		p.report(nil, Root, "more than one YAML document", "a single document")
	}
	p.parseNode(Root, doc.Content[0], -1)
	p.checkAPIKeys()
	if len(p.problems) > 0 {
		return Tree{}, p.problems
	}
	return p.tree, nil
}

// report records a problem at a YAML node; n may be nil.
func (p *treeParser) report(n *yaml.Node, path, message, accepted string) {
	problem := &CheckError{Path: path, Message: message, Accepted: accepted}
	if n != nil {
		problem.Line, problem.Column = n.Line, n.Column
	}
	p.addProblem(problem)
}

// addProblem records a problem, unless there are maxProblems already.
func (p *treeParser) addProblem(problem *CheckError) {
	if len(p.problems) < maxProblems {
		problem.File = p.file
		p.problems = append(p.problems, problem)
	}
}

// parseNode reads a node and all nodes below it. parentKind is -1 at the root.
func (p *treeParser) parseNode(path string, n *yaml.Node, parentKind int) {
	if n.Kind != yaml.MappingNode {
		p.report(n, path, "is not a mapping", "a mapping with kind, settings and nodes")
		return
	}
	entries := p.mappingEntries(path, n)
	kind := Firm
	if k, ok := entries["kind"]; ok {
		parsed, err := KindString(k.Value)
		if err != nil {
			p.report(k, path+":kind", "unknown kind", strings.Join(KindStrings(), ", "))
			return
		}
		kind = parsed
	} else if path != Root {
		p.report(n, path, "kind is missing", "kind: place, service or team")
		return
	}
	if int(kind) <= parentKind || (path == Root && kind != Firm) {
		p.report(n, path, "a "+kind.String()+" is not allowed here", "firm at the root, and below it place, then service, then team")
		return
	}
	node := Node{Kind: kind, Settings: map[string]string{}}
	for key, value := range entries {
		switch key {
		case "kind", "nodes":
		case "settings":
			p.parseSettings(path, kind, value, node.Settings)
		default:
			p.report(value, path+":"+key, "unknown key", "kind, settings, nodes")
		}
	}
	p.tree.Nodes[path] = node
	if children, ok := entries["nodes"]; ok {
		p.parseChildren(path, kind, children)
	}
}

// parseSettings checks the settings of the node at path and stores their YAML text in
// settings.
func (p *treeParser) parseSettings(path string, kind Kind, n *yaml.Node, settings map[string]string) {
	if n.Kind != yaml.MappingNode {
		p.report(n, path+":settings", "is not a mapping", "a mapping from setting names to values")
		return
	}
	for name, value := range p.mappingEntries(path, n) {
		if problem := checkSetting(path, kind, name, value); problem != nil {
			p.addProblem(problem)
			continue
		}
		text, err := yaml.Marshal(value)
		if err != nil {
			p.report(value, path+":"+name, err.Error(), "")
			continue
		}
		settings[name] = strings.TrimSpace(string(text))
	}
}

// parseChildren reads the nodes below the node at path.
func (p *treeParser) parseChildren(path string, parentKind Kind, n *yaml.Node) {
	if n.Kind != yaml.MappingNode {
		p.report(n, path+":nodes", "is not a mapping", "a mapping from node names to nodes")
		return
	}
	for name, child := range p.mappingEntries(path, n) {
		childPath := strings.TrimSuffix(path, "/") + "/" + name
		if !validPath(childPath) || strings.Contains(name, "/") {
			p.report(child, childPath, "invalid node name", "letters, digits, '-' and '_'")
			continue
		}
		p.parseNode(childPath, child, int(parentKind))
	}
}

// checkAPIKeys reports API keys that more than one team has.
func (p *treeParser) checkAPIKeys() {
	for _, path := range p.tree.Paths() {
		var problem *CheckError
		if errors.As(p.tree.checkAPIKeys(path, p.tree.Nodes[path].Settings["api_key_sha256"]), &problem) {
			p.addProblem(problem)
		}
	}
}

// mappingEntries returns a mapping's values by key. It reports a duplicate key, since
// one of the two values would be lost.
func (p *treeParser) mappingEntries(path string, n *yaml.Node) map[string]*yaml.Node {
	entries := map[string]*yaml.Node{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if _, duplicate := entries[key.Value]; duplicate || key.Kind != yaml.ScalarNode {
			p.report(key, path+":"+key.Value, "duplicate key or not a scalar", "each key once")
			continue
		}
		entries[key.Value] = value
	}
	return entries
}
