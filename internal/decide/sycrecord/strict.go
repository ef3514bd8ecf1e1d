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

// Types that decodeValue leaves to encoding/json.
var (
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	rawMessageType  = reflect.TypeFor[json.RawMessage]()
)

// decodeStrict decodes a JSON object into the struct that target points to. Unlike
// encoding/json it matches field names exactly, and it adds a fault to f for every
// unknown field and every value of the wrong type. Path is the location of the
// object in its record.
func decodeStrict(data []byte, path string, target any, f *faults) {
	decodeValue(data, path, reflect.ValueOf(target).Elem(), f)
}

// decodeValue decodes JSON into target by the kind of its type.
func decodeValue(data []byte, path string, target reflect.Value, f *faults) {
	leaf := target.Addr().Type().Implements(unmarshalerType) || target.Type() == rawMessageType
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

// decodeStruct decodes a JSON object field by field.
func decodeStruct(data []byte, path string, target reflect.Value, f *faults) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(data, &members); err != nil || members == nil {
		f.add(path, "must be an object")
		return
	}
	fields := fieldsByName(target.Type())
	for _, name := range slices.Sorted(maps.Keys(members)) {
		at := joinPath(path, name)
		index, known := fields[name]
		if !known {
			f.add(at, "is not a field; known are %s", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		decodeValue(members[name], at, target.Field(index), f)
	}
}

// decodeSlice decodes a JSON array item by item.
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

// decodeLeaf decodes a value that encoding/json can decode strictly as a whole: a
// scalar, raw JSON or a type with its own decoding.
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

// fieldIndices caches the results of fieldsByName by struct type, a reflect.Type.
var fieldIndices sync.Map

// fieldsByName returns the index of each field of a struct type by its JSON name.
func fieldsByName(t reflect.Type) map[string]int {
	if known, ok := fieldIndices.Load(t); ok {
		return known.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	fieldIndices.Store(t, fields)
	return fields
}

// joinPath returns the path of a field of the object at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
