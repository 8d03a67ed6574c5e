package golden

import (
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// listLength is the number of elements in filled slices. Filled maps have one entry, because their
// iteration order is undefined.
const listLength = 2

// namedValue is a value with the name of its case.
type namedValue struct {
	name  string
	value any
}

// variants returns the filled values of a kind: one, or one for each field of a union.
func variants(kind Kind) []namedValue {
	kindType := reflect.TypeOf(kind.Zero)
	if !kind.IsUnion {
		return []namedValue{{kind.Name, Filled(kind.Zero)}}
	}
	var values []namedValue
	for position := range kindType.NumField() {
		field := kindType.Field(position)
		if !field.IsExported() {
			continue
		}
		value := reflect.New(kindType).Elem()
		filler := filler{enclosing: []reflect.Type{kindType}}
		filler.fill(value.Field(position))
		values = append(values, namedValue{kind.Name + "." + field.Name, value.Interface()})
	}
	return values
}

// findKind returns the kind that the named case belongs to.
func findKind(kinds []Kind, name string) (Kind, bool) {
	if position := slices.IndexFunc(kinds, func(kind Kind) bool { return kind.Name == name }); position >= 0 {
		return kinds[position], true
	}
	union, _, _ := strings.Cut(name, ".")
	position := slices.IndexFunc(kinds, func(kind Kind) bool { return kind.IsUnion && kind.Name == union })
	if position < 0 {
		return Kind{}, false
	}
	return kinds[position], true
}

// Filled returns a value of type T with all exported fields set to distinct values.
func Filled[T any](zero T) T {
	value := reflect.New(reflect.TypeOf(zero)).Elem()
	(&filler{}).fill(value)
	return value.Interface().(T)
}

// filler sets fields. It stops at recursive types, listed in enclosing, and leaves them zero.
type filler struct {
	count     int64
	enclosing []reflect.Type
}

func (f *filler) fill(value reflect.Value) {
	f.count++
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(f.smallNumber())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(f.smallNumber()))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.count) + 0.5)
	case reflect.String:
		value.SetString("text-" + strconv.FormatInt(f.count, 10))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), listLength, listLength))
		for position := range listLength {
			f.fill(value.Index(position))
		}
	case reflect.Map:
		f.fillMap(value)
	case reflect.Struct:
		f.fillStruct(value)
	default:
		panic("golden: cannot fill a value of type " + value.Type().String())
	}
}

// smallNumber returns a number that fits into the smallest integer types.
func (f *filler) smallNumber() int64 { return f.count%100 + 1 }

func (f *filler) fillMap(value reflect.Value) {
	key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
	f.fill(key)
	f.fill(element)
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(key, element)
}

func (f *filler) fillStruct(value reflect.Value) {
	if slices.Contains(f.enclosing, value.Type()) {
		return
	}
	f.enclosing = append(f.enclosing, value.Type())
	for position := range value.NumField() {
		if value.Type().Field(position).IsExported() {
			f.fill(value.Field(position))
		}
	}
	f.enclosing = f.enclosing[:len(f.enclosing)-1]
}
