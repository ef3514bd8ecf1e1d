package sycrecord

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a record.
type Fault struct {
	// Path leads to the field, such as "spec.slots[1].name".
	Path string
	// Message says what is wrong and what is allowed.
	Message string
}

// String joins path and message.
func (f Fault) String() string { return f.Path + ": " + f.Message }

// FaultsError reports all faults of a record.
type FaultsError struct {
	Faults []Fault
}

// Error lists the faults.
func (e *FaultsError) Error() string {
	parts := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		parts = append(parts, f.String())
	}
	return strings.Join(parts, "; ")
}

// SchemaError reports a record of a schema version that this program cannot
// read. Its envelope (id, op, kind, name, expect) is the same in all versions.
type SchemaError struct {
	Schema int
}

// Error names the versions.
func (e *SchemaError) Error() string {
	return fmt.Sprintf("schema: %d is newer than %d, the newest that this program reads", e.Schema, NewestSchema)
}

// faults collects what is wrong at paths below a prefix.
type faults struct {
	list []Fault
}

func (f *faults) add(path, format string, args ...any) {
	f.list = append(f.list, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (f *faults) require(ok bool, path, format string, args ...any) {
	if !ok {
		f.add(path, format, args...)
	}
}

func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &FaultsError{Faults: f.list}
}
