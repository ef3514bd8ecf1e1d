package sycrecord

import (
	"encoding/json"
	"errors"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
)

var (
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	rawType         = reflect.TypeFor[json.RawMessage]()
)

// decodeStrict reads JSON into the struct that target points to. Unlike
// encoding/json it matches names exactly and lists all unknown fields and
// values of a wrong type with their paths.
func decodeStrict(data []byte, path string, target any, f *faults) {
	decodeValue(data, path, reflect.ValueOf(target).Elem(), f)
}

func decodeValue(data []byte, path string, target reflect.Value, f *faults) {
	leaf := target.Addr().Type().Implements(unmarshalerType) || target.Type() == rawType
	switch {
	case leaf:
		decodeLeaf(data, path, target, f)
	case target.Kind() == reflect.Struct:
		decodeStruct(data, path, target, f)
	case target.Kind() == reflect.Slice:
		decodeSlice(data, path, target, f)
	default:
		decodeLeaf(data, path, target, f)
	}
}

func decodeStruct(data []byte, path string, target reflect.Value, f *faults) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(data, &members); err != nil || members == nil {
		f.add(path, "must be an object")
		return
	}
	fields := fieldsByName(target.Type())
	for _, name := range slices.Sorted(maps.Keys(members)) {
		at := join(path, name)
		index, known := fields[name]
		if !known {
			f.add(at, "is not a field; known are %s", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		decodeValue(members[name], at, target.Field(index), f)
	}
}

func decodeSlice(data []byte, path string, target reflect.Value, f *faults) {
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		f.add(path, "must be a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(items), len(items))
	for i, item := range items {
		decodeValue(item, path+"["+strconv.Itoa(i)+"]", list.Index(i), f)
	}
	target.Set(list)
}

func decodeLeaf(data []byte, path string, target reflect.Value, f *faults) {
	err := json.Unmarshal(data, target.Addr().Interface())
	if err == nil {
		return
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		f.add(path, "must be of type %s, not %s", mismatch.Type, mismatch.Value)
		return
	}
	f.add(path, "%v", err)
}

// knownFields holds what fieldsByName returned for a type.
var knownFields sync.Map

// fieldsByName maps the JSON names of a struct's fields to their indices.
func fieldsByName(t reflect.Type) map[string]int {
	if known, ok := knownFields.Load(t); ok {
		return known.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	knownFields.Store(t, fields)
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
