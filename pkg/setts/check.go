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

// CheckError is one problem found in settings.
type CheckError struct {
	// File is empty if the value does not come from a file.
	File string `json:"file,omitempty"`
	// Line and Column count from 1; 0 if unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the path of the node, with ":NAME" appended for a setting or another key.
	Path    string `json:"path"`
	Message string `json:"message"`
	// Accepted describes the accepted values; may be empty.
	Accepted string `json:"accepted,omitempty"`
}

// Error implements error.
func (e *CheckError) Error() string {
	var b strings.Builder
	if e.File != "" {
		fmt.Fprintf(&b, "%s:", e.File)
	}
	if e.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", e.Line, e.Column)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	fmt.Fprintf(&b, "%s: %s", e.Path, e.Message)
	if e.Accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", e.Accepted)
	}
	return b.String()
}

// field describes the Policy field of one setting.
type field struct {
	// index is the field's index in Policy.
	index int
	typ   reflect.Type
	// min and max are the bounds as written in the struct tags; empty means none.
	min, max string
	// scope is "root" or "team" if the setting is accepted only there, else empty.
	scope string
}

var durationType = reflect.TypeFor[time.Duration]()

// policyFields returns the fields of Policy by setting name.
func policyFields() map[string]field {
	t := reflect.TypeFor[Policy]()
	m := make(map[string]field, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		m[f.Tag.Get("yaml")] = field{index: i, typ: f.Type, min: f.Tag.Get("min"), max: f.Tag.Get("max"), scope: f.Tag.Get("at")}
	}
	return m
}

// Names returns the names of all settings in the order of Policy's fields.
func Names() []string {
	t := reflect.TypeFor[Policy]()
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Tag.Get("yaml")
	}
	return names
}

// checkSettingText checks one setting whose value is YAML text.
func checkSettingText(path string, kind Kind, name, text string) error {
	var doc yaml.Node
	if err := yaml.Unmarshal([]byte(text), &doc); err != nil || len(doc.Content) != 1 {
		return &CheckError{Path: path + ":" + name, Message: "not a YAML value"}
	}
	if problem := checkSetting(path, kind, name, doc.Content[0]); problem != nil {
		problem.Line, problem.Column = 0, 0
		return problem
	}
	return nil
}

// checkSetting checks a setting's name, the kind of its node, and the value's type and
// range.
func checkSetting(path string, kind Kind, name string, value *yaml.Node) *CheckError {
	settingPath := path + ":" + name
	newProblem := func(message, accepted string) *CheckError {
		return &CheckError{Line: value.Line, Column: value.Column, Path: settingPath, Message: message, Accepted: accepted}
	}
	f, ok := policyFields()[name]
	if !ok {
		return newProblem("unknown setting", "one of "+strings.Join(Names(), ", "))
	}
	if f.scope == "root" && kind != Firm {
		return newProblem("may be set at the root only", "this setting at "+Root)
	}
	if f.scope == "team" && kind != Team {
		return newProblem("may be set at a team only", "this setting at a node of kind team")
	}
	if value.Kind == yaml.AliasNode {
		return newProblem("aliases are not accepted", describeType(f))
	}
	decoded := reflect.New(f.typ)
	if value.Tag == "!!null" || value.Decode(decoded.Interface()) != nil {
		return newProblem("has the wrong type", describeType(f))
	}
	if !inRange(decoded.Elem(), f) {
		return newProblem("is out of range", describeType(f))
	}
	if accepted := checkConstraints(name, decoded.Elem()); accepted != "" {
		return newProblem("has an impossible value", accepted)
	}
	return nil
}

// checkConstraints checks what types and ranges cannot express. It returns a
// description of the accepted values, or an empty string if the value is valid.
func checkConstraints(name string, v reflect.Value) string {
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

// inRange reports whether a value is within its field's bounds.
func inRange(v reflect.Value, f field) bool {
	if f.min == "" {
		return true
	}
	if f.typ == durationType {
		shortest, _ := time.ParseDuration(f.min)
		longest, _ := time.ParseDuration(f.max)
		d := time.Duration(v.Int())
		return d >= shortest && d <= longest
	}
	lo, _ := strconv.ParseFloat(f.min, 64)
	hi, _ := strconv.ParseFloat(f.max, 64)
	var x float64
	if v.CanInt() {
		x = float64(v.Int())
	} else {
		x = v.Float()
	}
	// A NaN fails both comparisons, so it is out of every range.
	return x >= lo && x <= hi
}

// describeType describes a field's type and range in error messages.
func describeType(f field) string {
	description := f.typ.String()
	switch {
	case f.typ == durationType:
		description = "a duration such as 30s"
	case f.typ.Kind() == reflect.Slice:
		description = "a list of strings"
	case f.typ == reflect.TypeFor[map[string]string]():
		description = "a map from a name to a text"
	case f.typ.Kind() == reflect.Map:
		description = "a map from a name to a whole number"
	case f.typ.Kind() == reflect.Bool:
		description = "true or false"
	case f.typ.Kind() == reflect.Int:
		description = "a whole number"
	case f.typ.Kind() == reflect.Float64:
		description = "a number"
	}
	if f.min != "" {
		description += fmt.Sprintf(" from %s to %s", f.min, f.max)
	}
	return description
}
