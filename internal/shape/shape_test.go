package shape

import (
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/verdt"
)

type inner struct {
	Count int `cbor:"1,keyasint"`
}

type embedded struct {
	Extra string `cbor:"9,keyasint"`
}

type message struct {
	Name    string           `cbor:"1,keyasint"`
	Inner   []inner          `cbor:"2,keyasint"`
	ByName  map[string]inner `cbor:"3,keyasint"`
	Verdict verdt.Verdict    `cbor:"4,keyasint"`
	Plain   bool
	embedded
}

// TestDifferences checks that a later build may add fields and names, and change nothing else.
func TestDifferences(t *testing.T) {
	type scenario struct {
		name  string
		alter func(earlier *Shape)
		want  string
	}
	for _, s := range []scenario{
		{"the same", func(*Shape) {}, ""},
		{"a new field", func(s *Shape) { delete(s.Fields, "2") }, ""},
		{"a new name", func(s *Shape) { s.Fields["4"].Names = s.Fields["4"].Names[:1] }, ""},
		{"a field is gone", func(s *Shape) { s.Fields["5"] = &Shape{Kind: "int"} }, "m.5: the field is gone"},
		{"another type", func(s *Shape) { s.Fields["2"].Elem.Fields["1"].Kind = "string" }, "m.2[].1: was a string, is a int"},
		{"another type in a map", func(s *Shape) { s.Fields["3"].Key.Kind = "int" }, "m.3[key]: was a int, is a string"},
		{"elements are gone", func(s *Shape) { s.Fields["1"].Elem = &Shape{Kind: "int"} }, "m.1[]: a type has or lacks elements"},
		{"a renamed value", func(s *Shape) { s.Fields["4"].Names[1] = "other" }, "m.4: the number 1 no longer means other"},
		{"an embedded field is gone", func(s *Shape) { s.Fields["9"].Kind = "bool" }, "m.9: was a bool"},
	} {
		t.Run(s.name, func(t *testing.T) {
			earlier := Of(reflect.TypeFor[message]())
			s.alter(earlier)
			found := strings.Join(Differences("m", earlier, Of(reflect.TypeFor[message]())), "\n")
			assert.Assert(t, (s.want == "") == (found == "") && strings.Contains(found, s.want), found)
		})
	}
}

// TestTypeOfShape checks that the type made from a shape has that shape, without names of enums.
func TestTypeOfShape(t *testing.T) {
	s := Of(reflect.TypeFor[message]())
	s.Fields["4"].Names = nil
	assert.DeepEqual(t, Of(s.Type()), s)
}
