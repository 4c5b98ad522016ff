package setts

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// CheckError is one thing wrong with a settings text.
type CheckError struct {
	// File is empty for a value that did not come from a file.
	File string `json:"file,omitempty"`
	// Line and Column count from 1; 0 is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the place in the tree.
	Path    string `json:"path"`
	Message string `json:"message"`
	// Accepted says what would be accepted.
	Accepted string `json:"accepted,omitempty"`
}

// Error implements error.
func (p *CheckError) Error() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:", p.File)
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	fmt.Fprintf(&b, "%s: %s", p.Path, p.Message)
	if p.Accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", p.Accepted)
	}
	return b.String()
}

// field is what the parser knows of one setting.
type field struct {
	index    int
	typ      reflect.Type
	min, max string
	at       string
}

var durationType = reflect.TypeFor[time.Duration]()

// fields maps a setting's name to its field of Policy.
func fields() map[string]field {
	t := reflect.TypeFor[Policy]()
	m := make(map[string]field, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		m[f.Tag.Get("yaml")] = field{index: i, typ: f.Type, min: f.Tag.Get("min"), max: f.Tag.Get("max"), at: f.Tag.Get("at")}
	}
	return m
}

// Names returns the names of all settings, in the order of the struct.
func Names() []string {
	t := reflect.TypeFor[Policy]()
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Tag.Get("yaml")
	}
	return names
}

// checkValue checks one setting given as YAML text.
func checkValue(path string, kind Kind, name, text string) error {
	var doc yaml.Node
	if err := yaml.Unmarshal([]byte(text), &doc); err != nil || len(doc.Content) != 1 {
		return &CheckError{Path: path + ":" + name, Message: "not a YAML value"}
	}
	if p := checkNode(path, kind, name, doc.Content[0]); p != nil {
		p.Line, p.Column = 0, 0
		return p
	}
	return nil
}

// checkNode checks one setting's name, place, type and range.
func checkNode(path string, kind Kind, name string, value *yaml.Node) *CheckError {
	where := path + ":" + name
	problem := func(message, accepted string) *CheckError {
		return &CheckError{Line: value.Line, Column: value.Column, Path: where, Message: message, Accepted: accepted}
	}
	f, ok := fields()[name]
	if !ok {
		return problem("unknown setting", "one of "+strings.Join(Names(), ", "))
	}
	if f.at == "root" && kind != Firm {
		return problem("may be set at the root only", "this setting at "+Root)
	}
	if f.at == "team" && kind != Team {
		return problem("may be set at a team only", "this setting at a node of kind team")
	}
	if value.Kind == yaml.AliasNode {
		return problem("aliases are not accepted", describe(f))
	}
	target := reflect.New(f.typ)
	if value.Tag == "!!null" || value.Decode(target.Interface()) != nil {
		return problem("has the wrong type", describe(f))
	}
	if !inRange(target.Elem(), f) {
		return problem("is out of range", describe(f))
	}
	if accepted := checkContent(name, target.Elem()); accepted != "" {
		return problem("has an impossible value", accepted)
	}
	return nil
}

// checkContent checks what types and ranges cannot say. It returns what would
// be accepted, or nothing.
func checkContent(name string, v reflect.Value) string {
	switch name {
	case "api_key_sha256":
		for _, s := range v.Interface().([]string) {
			if raw, err := hex.DecodeString(s); err != nil || len(raw) != 32 {
				return "64 hexadecimal digits for each key"
			}
		}
	case "models":
		for m, layers := range v.Interface().(map[string]int) {
			if m == "" || layers < 1 || layers > 1000 {
				return "a name with 1 to 1000 layers for each model"
			}
		}
	case "placement":
		for _, text := range v.Interface().(map[string]string) {
			if _, err := ParsePlacement(text); err != nil {
				return "MODEL FROM-TO for each engine, such as roster-7b 0-16"
			}
		}
	}
	return ""
}

func inRange(v reflect.Value, f field) bool {
	if f.min == "" {
		return true
	}
	if f.typ == durationType {
		lo, _ := time.ParseDuration(f.min)
		hi, _ := time.ParseDuration(f.max)
		d := time.Duration(v.Int())
		return d >= lo && d <= hi
	}
	lo, _ := strconv.ParseFloat(f.min, 64)
	hi, _ := strconv.ParseFloat(f.max, 64)
	var x float64
	if v.CanInt() {
		x = float64(v.Int())
	} else {
		x = v.Float()
	}
	// Written so that a NaN is out of every range.
	return x >= lo && x <= hi
}

func describe(f field) string {
	kind := f.typ.String()
	switch {
	case f.typ == durationType:
		kind = "a duration such as 30s"
	case f.typ.Kind() == reflect.Slice:
		kind = "a list of strings"
	case f.typ == reflect.TypeFor[map[string]string]():
		kind = "a map from a name to a text"
	case f.typ.Kind() == reflect.Map:
		kind = "a map from a name to a whole number"
	case f.typ.Kind() == reflect.Bool:
		kind = "true or false"
	case f.typ.Kind() == reflect.Int:
		kind = "a whole number"
	case f.typ.Kind() == reflect.Float64:
		kind = "a number"
	}
	if f.min != "" {
		kind += fmt.Sprintf(" from %s to %s", f.min, f.max)
	}
	return kind
}
