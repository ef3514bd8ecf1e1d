// Package sycrecord defines the records that operators and VMs publish: their
// fields, schema versions and validation.
package sycrecord

import "encoding/json"

// Kind names a kind of object.
type Kind string

// Kinds of the config stream, written by operators.
const (
	KindCustomer Kind = "customer"
	KindKey      Kind = "key"
	KindRoute    Kind = "route"
	KindEndpoint Kind = "endpoint"
	KindVersion  Kind = "version"
	KindSlots    Kind = "slots"
)

// Kinds of the system stream, written by VMs.
const (
	KindHolder  Kind = "holder"
	KindLease   Kind = "lease"
	KindRollout Kind = "rollout"
)

// Verb says what an operation does to its object.
type Verb string

// Verbs of operations.
const (
	Put    Verb = "put"
	Delete Verb = "delete"
	// Merge sets the fields that its spec names and keeps the others. It is
	// evaluated on the object as it is when the operation is folded, so that
	// operations on different fields do not conflict. It needs schema version 2.
	Merge Verb = "merge"
)

// NewestSchema is the newest schema version that this program reads.
const NewestSchema = 2

// Operation is one record of the config or system stream.
type Operation struct {
	// Schema is the version of the operation's format, 1 or 2.
	Schema int `json:"schema"`
	// ID is unique per operation; a repeated ID has no effect.
	ID   string `json:"id"`
	Verb Verb   `json:"op"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Expect is the generation that the object must have; nil accepts any, 0
	// means that the object must not exist.
	Expect *uint64         `json:"expect,omitempty"`
	Spec   json.RawMessage `json:"spec,omitempty"`
}
