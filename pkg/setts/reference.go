package setts

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Reference returns the settings reference page in Markdown, generated from the field
// comments of Policy and the values of Defaults.
func Reference() (string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "policy.go", policySource, parser.ParseComments)
	if err != nil {
		return "", err
	}
	comments := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		if f, ok := n.(*ast.Field); ok && f.Doc != nil && len(f.Names) == 1 {
			comments[f.Names[0].Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
		}
		return true
	})
	var b strings.Builder
	b.WriteString("# Settings reference\n\nThis page is generated from `pkg/setts/policy.go`; edit that file.\n\n")
	b.WriteString("| name | default | meaning |\n|---|---|---|\n")
	defaults := reflect.ValueOf(Defaults())
	for i, name := range Names() {
		text, err := yaml.Marshal(defaults.Field(i).Interface())
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "| `%s` | `%s` | %s |\n", name, strings.TrimSpace(string(text)), comments[defaults.Type().Field(i).Name])
	}
	b.WriteString(clientLimits)
	return b.String(), nil
}

// clientLimits is the section of the page on what is set by the VM, and not in the tree.
const clientLimits = `
## Limits for clients

What clients hold together is bounded by what the process may use, not by a setting of the tree. ` + "`docs/OPERATIONS.md`" + ` has the limits
that follow, and how to see that one acted.

| set by | default | what follows |
|---|---|---|
| ` + "`limits.maxFds`" + ` in the VM's settings file; RLIMIT_NOFILE if it is lower or on the product's own interface | the process's limit | callers' connections and connections to backend servers: half each of what is left after 200 for files and 128 of the daemon's own, at least 16 |
| ` + "`limits.memoryMb`" + ` in the VM's settings file | no limit: 64 MB for callers, 32 MB for events, 64 MB for other daemons, 32 MB for answers that are read | parts of the VM's memory: 0.2 for callers' heads, bodies and answers; 0.125 for answers that are read, at most 32 MB, with their heads, by fields, and the buffers of streams; 0.0625 for other daemons' requests; 0.05 for events that are not taken |
| GOMEMLIMIT, on the product's own interface | no limit: 64 MB for callers | a third of it for callers' heads, bodies and answers |
| fixed, on the product's own interface | | answers that are read, beyond 64 KB each: 48 MB for engines and services, 64 MB for the key-value service and the membership list, 48 MB for other daemons |
| fixed, on the platform | | the same: 32 MB for the key-value service, 48 MB for other daemons |
| the operators' ` + "`maxHeaderBytes`" + ` | 64 KB | a longer head is answered 431 before it was read whole |
`
