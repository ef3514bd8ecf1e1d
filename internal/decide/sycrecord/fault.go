package sycrecord

import (
	"fmt"
	"strings"
)

// Fault is a validation error of one field of a record.
type Fault struct {
	// Path locates the field, such as "spec.slots[1].name".
	Path string
	// Message says what is wrong with the field's value and which values are allowed.
	Message string
}

// String returns the path and the message.
func (f Fault) String() string { return f.Path + ": " + f.Message }

// FaultsError reports all validation errors of a record.
type FaultsError struct {
	// Faults lists the errors in the order in which they were found; it isn't empty.
	Faults []Fault
}

// Error returns all faults, separated by semicolons.
func (e *FaultsError) Error() string {
	parts := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		parts = append(parts, f.String())
	}
	return strings.Join(parts, "; ")
}

// SchemaError reports a record whose schema version is newer than NewestSchema.
// Only its envelope (id, op, kind, name, expect), which is the same in all schema
// versions, can be read.
type SchemaError struct {
	// Schema is the record's schema version.
	Schema int
}

// Error names the record's schema version and the newest that is supported.
func (e *SchemaError) Error() string {
	return fmt.Sprintf("schema: %d is newer than %d, the newest that this program reads", e.Schema, NewestSchema)
}

// faults collects the validation errors of a record.
type faults struct {
	// list holds the faults in the order in which they were found.
	list []Fault
}

// add appends a fault of the field at path.
func (f *faults) add(path, format string, args ...any) {
	f.list = append(f.list, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// require appends a fault of the field at path unless ok.
func (f *faults) require(ok bool, path, format string, args ...any) {
	if !ok {
		f.add(path, format, args...)
	}
}

// err returns the collected faults as a *FaultsError, nil if there are none.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &FaultsError{Faults: f.list}
}
