package shape

import (
	"fmt"
	"reflect"
	"time"
)

// filler gives each field a value of its own.
type filler struct{ last int }

const (
	// fillLen is the number of elements in each slice and map.
	fillLen = 2
	// fillRange keeps numbers small enough for any integer type.
	fillRange = 100
)

// Fill sets all exported fields of the struct that v points to, with values that depend only on its type.
func Fill(v any) { (&filler{}).fill(reflect.ValueOf(v).Elem()) }

func (f *filler) next() int {
	f.last = f.last%fillRange + 1
	return f.last
}

func (f *filler) fill(v reflect.Value) {
	if isTime(v.Type()) {
		v.Set(reflect.ValueOf(time.Date(2026, time.December, 4, 10, 0, f.next()%60, 0, time.UTC)))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", f.next()))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(f.next()))
	case reflect.Uint8:
		// The number 1 is one of the values of each enum.
		v.SetUint(1)
	case reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), fillLen, fillLen))
		for i := range fillLen {
			f.fill(v.Index(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range fillLen {
			key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			f.fill(key)
			f.fill(elem)
			v.SetMapIndex(key, elem)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	default:
		panic("no value for a field of the kind " + v.Kind().String())
	}
}

// Unset returns the paths of the values that are zero, below a struct that was filled and decoded again.
func Unset(path string, v reflect.Value) []string {
	if v.IsZero() && (v.Kind() != reflect.Struct || v.NumField() > 0) {
		return []string{path}
	}
	var all []string
	switch v.Kind() {
	case reflect.Pointer:
		return Unset(path, v.Elem())
	case reflect.Slice:
		for i := range v.Len() {
			all = append(all, Unset(path+"[]", v.Index(i))...)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			all = append(all, Unset(path+"[]", v.MapIndex(key))...)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && !isTime(v.Type()) {
				all = append(all, Unset(path+"."+f.Name, v.Field(i))...)
			}
		}
	default:
	}
	return all
}
