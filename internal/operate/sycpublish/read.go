// Package sycpublish reads operators' records, publishes them and asks VMs how
// far they have got.
package sycpublish

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/google/uuid"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// maxInput bounds the bytes of records that are read.
const maxInput = 256 << 20

// RecordFault is a record that cannot be published.
type RecordFault struct {
	// Index counts the records from 0.
	Index int
	Name  string
	Err   error
}

// String names the record and what is wrong.
func (f RecordFault) String() string {
	if f.Name == "" {
		return fmt.Sprintf("record %d: %v", f.Index, f.Err)
	}
	return fmt.Sprintf("record %d (%s): %v", f.Index, f.Name, f.Err)
}

// InputError reports all faults of the input.
type InputError struct {
	Faults []RecordFault
}

// Error lists the faults, one a line.
func (e *InputError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// SyntaxError reports input that is neither a JSON array nor a sequence of JSON
// objects.
type SyntaxError struct {
	Err error
}

// Error names the cause.
func (e *SyntaxError) Error() string { return fmt.Sprintf("records: %v", e.Err) }

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Err }

// Read reads records as a JSON array or as JSON objects one after the other,
// and gives an id to those without one. The error is *SyntaxError or *InputError.
func Read(input io.Reader) ([]sycrecord.Operation, error) {
	raw, err := split(input)
	if err != nil {
		return nil, &SyntaxError{Err: err}
	}
	var ops []sycrecord.Operation
	var faults []RecordFault
	ids := map[string]bool{}
	for i, data := range raw {
		change, err := sycrecord.ParseDraft(data)
		op := change.Operation()
		if err == nil && ids[op.ID] && op.ID != "" {
			err = fmt.Errorf("id: %q is there twice", op.ID)
		}
		if err != nil {
			faults = append(faults, RecordFault{Index: i, Name: label(op), Err: err})
			continue
		}
		if op.ID == "" {
			op.ID = uuid.NewString()
		}
		ids[op.ID] = true
		ops = append(ops, op)
	}
	if len(faults) > 0 {
		return nil, &InputError{Faults: faults}
	}
	return ops, nil
}

func label(op sycrecord.Operation) string {
	if op.Kind == "" && op.Name == "" {
		return ""
	}
	return string(op.Kind) + "/" + op.Name
}

// split cuts the input into records.
func split(input io.Reader) ([]json.RawMessage, error) {
	data, err := io.ReadAll(io.LimitReader(input, maxInput+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxInput {
		return nil, fmt.Errorf("more than %d bytes", maxInput)
	}
	var list []json.RawMessage
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		err := json.Unmarshal(data, &list)
		return list, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var record json.RawMessage
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return nil, err
		}
		list = append(list, record)
	}
}
