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
	return b.String(), nil
}
