package sycrecord

import (
	"encoding/json"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits of a record, in bytes.
const (
	MaxRecord = 64 << 10
	MaxName   = 128
	MaxID     = 256
)

// Value is the typed content of a record: a Customer, Key, Route, Endpoint,
// Version, Slots, Holder, Lease or Rollout.
type Value interface {
	// Kind is the kind of object that the value is for.
	Kind() Kind
}

// Change is a valid operation with its typed value.
type Change struct {
	operation Operation
	// value is nil exactly if the operation is not a put.
	value Value
}

// Operation is the operation as it was written.
func (c Change) Operation() Operation { return c.operation }

// Value is the object's new value; nil for a delete, and for a merge, whose value
// depends on the object; see Merged.
func (c Change) Value() Value { return c.value }

// Parse reads an operation strictly. The error is *FaultsError with all
// faults, or *SchemaError with a usable envelope in the change.
func Parse(data []byte) (Change, error) {
	return parse(data, true)
}

// ParseDraft is Parse for a record that has no id yet.
func ParseDraft(data []byte) (Change, error) {
	return parse(data, false)
}

func parse(data []byte, published bool) (Change, error) {
	f := &faults{}
	if len(data) > MaxRecord {
		f.add("record", "has %d bytes; at most %d are allowed", len(data), MaxRecord)
		return Change{}, f.err()
	}
	if !utf8.Valid(data) || !json.Valid(data) {
		f.add("record", "is not JSON in UTF-8")
		return Change{}, f.err()
	}
	if op, newer := parseNewer(data); newer {
		op.validateEnvelope(published, f)
		if err := f.err(); err != nil {
			return Change{}, err
		}
		return Change{operation: op}, &SchemaError{Schema: op.Schema}
	}
	return parseKnown(data, published, f)
}

// parseNewer reads the envelope leniently and reports whether its schema
// version is newer than the program.
func parseNewer(data []byte) (Operation, bool) {
	var op Operation
	err := json.Unmarshal(data, &op)
	return op, err == nil && op.Schema > NewestSchema
}

func parseKnown(data []byte, published bool, f *faults) (Change, error) {
	var op Operation
	decodeStrict(data, "", &op, f)
	if op.Schema < 1 {
		f.add("schema", "must be from 1 to %d", NewestSchema)
	}
	op.validateEnvelope(published, f)
	change := Change{operation: op}
	change.value = op.parseSpec(f)
	if err := f.err(); err != nil {
		return Change{operation: op}, err
	}
	return change, nil
}

func (op Operation) validateEnvelope(published bool, f *faults) {
	f.require(len(op.ID) <= MaxID, "id", "has %d bytes; at most %d are allowed", len(op.ID), MaxID)
	f.require(op.ID != "" || !published, "id", "is required")
	validateName(op.Name, "name", f)
	f.require(op.Verb == Put || op.Verb == Merge || op.Verb == Delete, "op", "must be %q, %q or %q, not %q", Put, Merge, Delete, op.Verb)
	f.require(op.Kind != "", "kind", "is required")
}

// validateName allows what can stand in logs, labels and paths without escapes.
func validateName(name, path string, f *faults) {
	f.require(name != "", path, "is required")
	f.require(len(name) <= MaxName, path, "has %d bytes; at most %d are allowed", len(name), MaxName)
	f.require(strings.TrimSpace(name) == name, path, "must not begin or end with a space")
	bad := strings.IndexFunc(name, func(r rune) bool {
		return !unicode.IsPrint(r) || r == '"' || r == '\\' || r == utf8.RuneError
	})
	f.require(bad < 0, path, "must be printable and without quotes and backslashes")
}

// parseSpec returns the typed value of a put and notes faults.
func (op Operation) parseSpec(f *faults) Value {
	codec, known := codecs[op.Kind]
	if !known {
		f.require(op.Kind == "", "kind", "%q is unknown", op.Kind)
		return nil
	}
	if op.Verb == Delete {
		f.require(op.Spec == nil, "spec", "must be absent in a delete")
		return nil
	}
	if op.Spec == nil {
		f.add("spec", "is required in a %s", op.Verb)
		return nil
	}
	if op.Verb != Merge {
		return codec.read(op, f)
	}
	if op.Schema == 1 {
		f.add("op", "%q needs schema version 2", Merge)
		return nil
	}
	return codec.merge(nil, op, f)
}
