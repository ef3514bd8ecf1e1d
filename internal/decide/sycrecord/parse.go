package sycrecord

import (
	"encoding/json"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits on the sizes of a record and its fields, in bytes.
const (
	// MaxRecord limits a whole record.
	MaxRecord = 64 << 10
	// MaxName limits the name of an object.
	MaxName = 128
	// MaxID limits the ID of an operation.
	MaxID = 256
)

// Value is the typed spec of an object: a Customer, Key, Route, Endpoint,
// Version, Slots, Holder, Lease or Rollout.
type Value interface {
	// Kind returns the kind of object that the value describes.
	Kind() Kind
}

// Change is a parsed operation with its typed value.
type Change struct {
	// operation is the operation as it was written.
	operation Operation
	// value is set for puts only.
	value Value
}

// Operation returns the operation as it was written.
func (c Change) Operation() Operation { return c.operation }

// Value returns the object's new value if the operation is a put. It returns nil
// for a delete, and for a merge, whose result depends on the object (see Merged).
func (c Change) Value() Value { return c.value }

// Parse parses and validates a published record. Unknown fields are faults. The
// error is *FaultsError with all faults, or *SchemaError, whose Change holds the
// operation's envelope.
func Parse(data []byte) (Change, error) {
	return parse(data, true)
}

// ParseDraft parses and validates like Parse, but doesn't require an ID: a record
// gets its ID when it's published.
func ParseDraft(data []byte) (Change, error) {
	return parse(data, false)
}

// parse implements Parse and ParseDraft.
func parse(data []byte, requireID bool) (Change, error) {
	f := &faults{}
	if len(data) > MaxRecord {
		f.add("record", "has %d bytes; at most %d are allowed", len(data), MaxRecord)
		return Change{}, f.err()
	}
	if !utf8.Valid(data) || !json.Valid(data) {
		f.add("record", "is not valid JSON in UTF-8")
		return Change{}, f.err()
	}
	if op, newer := parseNewerEnvelope(data); newer {
		op.validateEnvelope(requireID, f)
		if err := f.err(); err != nil {
			return Change{}, err
		}
		return Change{operation: op}, &SchemaError{Schema: op.Schema}
	}
	return parseSupported(data, requireID, f)
}

// parseNewerEnvelope reads an operation's envelope, ignoring unknown fields, and
// reports whether its schema version is newer than NewestSchema.
func parseNewerEnvelope(data []byte) (Operation, bool) {
	var op Operation
	err := json.Unmarshal(data, &op)
	return op, err == nil && op.Schema > NewestSchema
}

// parseSupported parses and validates a record of a schema version up to
// NewestSchema.
func parseSupported(data []byte, requireID bool, f *faults) (Change, error) {
	var op Operation
	decodeStrict(data, "", &op, f)
	if op.Schema < 1 {
		f.add("schema", "must be from 1 to %d", NewestSchema)
	}
	op.validateEnvelope(requireID, f)
	change := Change{operation: op}
	change.value = op.parseSpec(f)
	if err := f.err(); err != nil {
		return Change{operation: op}, err
	}
	return change, nil
}

// validateEnvelope checks the fields of an operation that are the same in all
// schema versions.
func (op Operation) validateEnvelope(requireID bool, f *faults) {
	f.require(len(op.ID) <= MaxID, "id", "has %d bytes; at most %d are allowed", len(op.ID), MaxID)
	f.require(op.ID != "" || !requireID, "id", "is required")
	validateName(op.Name, "name", f)
	f.require(op.Verb == Put || op.Verb == Merge || op.Verb == Delete, "op", "must be %q, %q or %q, not %q", Put, Merge, Delete, op.Verb)
	f.require(op.Kind != "", "kind", "is required")
}

// validateName requires a name that needs no escaping in logs, metric labels and
// paths.
func validateName(name, path string, f *faults) {
	f.require(name != "", path, "is required")
	f.require(len(name) <= MaxName, path, "has %d bytes; at most %d are allowed", len(name), MaxName)
	f.require(strings.TrimSpace(name) == name, path, "must not begin or end with a space")
	bad := strings.IndexFunc(name, func(r rune) bool {
		return !unicode.IsPrint(r) || r == '"' || r == '\\' || r == utf8.RuneError
	})
	f.require(bad < 0, path, "must be printable and without quotes and backslashes")
}

// parseSpec returns the typed value of a put and adds faults of the spec to f. It
// returns nil for other verbs, after checking that a merge names known fields.
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
