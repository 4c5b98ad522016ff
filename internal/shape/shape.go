// Package shape describes how Go types are laid out in messages and stored values, so that tests can
// compare the types of this build with those of earlier ones.
package shape

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Shape is the layout of a type.
type Shape struct {
	// Kind is the name of the reflect.Kind, or "time".
	Kind string `json:"kind"`
	// Len is the length of an array.
	Len int `json:"len,omitempty"`
	// Key and Elem are the types of a map's keys and of the elements of a map, slice or array.
	Key  *Shape `json:"key,omitempty"`
	Elem *Shape `json:"elem,omitempty"`
	// Fields are the fields of a struct by their keys in the message. Those of embedded structs are
	// among them.
	Fields map[string]*Shape `json:"fields,omitempty"`
	// Names are the names of an enum's values, by number.
	Names []string `json:"names,omitempty"`
}

const (
	kindTime = "time"
	// tagInteger marks a field whose key in the message is a number.
	tagInteger = "keyasint"
	// skipped is the key of a field that is not encoded.
	skipped = "-"
	// maxNames bounds the values of an enum.
	maxNames = 256
)

func isTime(t reflect.Type) bool { return t == reflect.TypeFor[time.Time]() }

// Of returns the shape of a type. Pointers have the shape of what they point to.
func Of(t reflect.Type) *Shape {
	if isTime(t) {
		return &Shape{Kind: kindTime}
	}
	s := &Shape{Kind: t.Kind().String(), Names: enumNames(t)}
	switch t.Kind() {
	case reflect.Pointer:
		return Of(t.Elem())
	case reflect.Map:
		s.Key, s.Elem = Of(t.Key()), Of(t.Elem())
	case reflect.Slice:
		s.Elem = Of(t.Elem())
	case reflect.Array:
		s.Elem, s.Len = Of(t.Elem()), t.Len()
	case reflect.Struct:
		s.Fields = map[string]*Shape{}
		for _, f := range reflect.VisibleFields(t) {
			if key := fieldKey(f); f.IsExported() && !f.Anonymous && key != skipped {
				s.Fields[key] = Of(f.Type)
			}
		}
	default:
	}
	return s
}

// fieldKey returns the key of a field in the message. The CBOR encoder reads the tags for JSON of
// fields without a tag of its own.
func fieldKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(cmp.Or(f.Tag.Get("cbor"), f.Tag.Get("json")), ",")
	return cmp.Or(name, f.Name)
}

// enumNames returns the names of the values of an enum that starts at 0; nil for other types.
func enumNames(t reflect.Type) []string {
	if t.Kind() != reflect.Uint8 {
		return nil
	}
	var names []string
	for i := range maxNames {
		v := reflect.New(t).Elem()
		v.SetUint(uint64(i))
		text, ok := v.Interface().(fmt.Stringer)
		if !ok || strings.Contains(text.String(), "(") {
			break
		}
		names = append(names, text.String())
	}
	return names
}

// Type returns a type of this shape. It has no methods, and its enums are plain numbers.
func (s *Shape) Type() reflect.Type {
	switch s.Kind {
	case kindTime:
		return reflect.TypeFor[time.Time]()
	case reflect.Map.String():
		return reflect.MapOf(s.Key.Type(), s.Elem.Type())
	case reflect.Slice.String():
		return reflect.SliceOf(s.Elem.Type())
	case reflect.Array.String():
		return reflect.ArrayOf(s.Len, s.Elem.Type())
	case reflect.Struct.String():
		var fields []reflect.StructField
		for _, key := range s.keys() {
			tag := key
			if key[0] >= '0' && key[0] <= '9' {
				tag += "," + tagInteger
			}
			field := reflect.StructField{Name: "Field_" + key, Type: s.Fields[key].Type()}
			field.Tag = reflect.StructTag(fmt.Sprintf("cbor:%q", tag))
			fields = append(fields, field)
		}
		return reflect.StructOf(fields)
	}
	return basicType(s.Kind)
}

func (s *Shape) keys() []string {
	keys := make([]string, 0, len(s.Fields))
	for key := range s.Fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// basicType returns the type with the name of a kind; nil if messages have none of it.
func basicType(kind string) reflect.Type {
	for _, t := range []reflect.Type{
		reflect.TypeFor[bool](), reflect.TypeFor[string](), reflect.TypeFor[float64](), reflect.TypeFor[int](),
		reflect.TypeFor[int64](), reflect.TypeFor[uint8](), reflect.TypeFor[uint32](), reflect.TypeFor[uint64](),
	} {
		if t.Kind().String() == kind {
			return t
		}
	}
	return nil
}

// Differences returns what a later build must not change of an earlier shape: keys that are missing or
// have another type, and numbers of enums that have another name. Keys and names may be added.
func Differences(path string, earlier, later *Shape) []string {
	if earlier == nil || later == nil {
		if earlier == later {
			return nil
		}
		return []string{path + ": a type has or lacks elements"}
	}
	var all []string
	if earlier.Kind != later.Kind || earlier.Len != later.Len {
		all = append(all, fmt.Sprintf("%s: was a %s, is a %s", path, earlier.Kind, later.Kind))
	}
	for i, name := range earlier.Names {
		if i >= len(later.Names) || later.Names[i] != name {
			all = append(all, fmt.Sprintf("%s: the number %d no longer means %s", path, i, name))
		}
	}
	all = append(all, Differences(path+"[key]", earlier.Key, later.Key)...)
	all = append(all, Differences(path+"[]", earlier.Elem, later.Elem)...)
	for _, key := range earlier.keys() {
		field, ok := later.Fields[key]
		if !ok {
			all = append(all, fmt.Sprintf("%s.%s: the field is gone", path, key))
			continue
		}
		all = append(all, Differences(path+"."+key, earlier.Fields[key], field)...)
	}
	return all
}
