// Package sycpublish is what operators' commands use to publish configuration: it reads
// records from an input, appends them to the log, and asks VMs whether they have applied
// them. A record is an operation on an object, such as a customer, in JSON.
//
// Two streams of the log hold records of objects. The config stream has the records of
// operators, such as customers and endpoints. The system stream has those of VMs, such as
// the progress of rollouts. A rollout moves a model's traffic to a new version step by
// step. One VM leads the rollouts.
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

// maxInput limits the size of the input of records, in bytes.
const maxInput = 256 << 20

// RecordFault reports a record of the input that can't be published.
type RecordFault struct {
	// Index is the record's position in the input, from 0.
	Index int
	// Name is the kind and the name of the record's object, or empty if it has neither.
	Name string
	// Err is why the record can't be published.
	Err error
}

// String names the record and the reason.
func (f RecordFault) String() string {
	if f.Name == "" {
		return fmt.Sprintf("record %d: %v", f.Index, f.Err)
	}
	return fmt.Sprintf("record %d (%s): %v", f.Index, f.Name, f.Err)
}

// InputError reports all records of the input that can't be published.
type InputError struct {
	// Faults are ordered by index.
	Faults []RecordFault
}

// Error lists the faults, one per line.
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
	// Err is the error of reading or decoding the input.
	Err error
}

// Error names the cause.
func (e *SyntaxError) Error() string { return fmt.Sprintf("records: %v", e.Err) }

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Err }

// Read reads records, which are either a JSON array or a sequence of JSON objects. It
// gives a random ID to each record without an ID. The error is *SyntaxError or *InputError.
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
			err = fmt.Errorf("id: %q appears twice", op.ID)
		}
		if err != nil {
			faults = append(faults, RecordFault{Index: i, Name: objectName(op), Err: err})
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

// objectName returns the kind and the name of an operation's object as "kind/name", or an
// empty string if it has neither.
func objectName(op sycrecord.Operation) string {
	if op.Kind == "" && op.Name == "" {
		return ""
	}
	return string(op.Kind) + "/" + op.Name
}

// split returns the records of the input as raw JSON.
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
