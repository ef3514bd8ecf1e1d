// Package sycrecord defines the records that operators and VMs append to the log:
// their fields, schema versions, parsing and validation.
//
// A record holds one Operation on an object. The envelope (ID, verb, kind, name and
// expected generation) is the same in all schema versions. The spec holds the
// object's fields, which depend on its kind and on the schema version. Parse
// upgrades a spec to the newest schema version. Records of operators lie in the
// config stream, records of VMs in the system stream.
package sycrecord

import "encoding/json"

// Kind names a kind of object that records describe.
type Kind string

// Kinds of the config stream, written by operators.
const (
	// KindCustomer is the kind of Customer.
	KindCustomer Kind = "customer"
	// KindKey is the kind of Key, an API key.
	KindKey Kind = "key"
	// KindRoute is the kind of Route.
	KindRoute Kind = "route"
	// KindEndpoint is the kind of Endpoint.
	KindEndpoint Kind = "endpoint"
	// KindVersion is the kind of Version, the weights of a model.
	KindVersion Kind = "version"
	// KindSlots is the kind of Slots, a failure domain's table of rate slots.
	KindSlots Kind = "slots"
)

// Kinds of the system stream, written by VMs.
const (
	// KindHolder is the kind of Holder, the takeover of a rate slot.
	KindHolder Kind = "holder"
	// KindLease is the kind of Lease.
	KindLease Kind = "lease"
	// KindRollout is the kind of Rollout, a rollout's progress.
	KindRollout Kind = "rollout"
)

// Verb names what an operation does to its object.
type Verb string

// Verbs of operations.
const (
	// Put creates an object or replaces all of its fields.
	Put Verb = "put"
	// Delete removes an object.
	Delete Verb = "delete"
	// Merge sets the fields that its spec names and keeps the others. It's evaluated
	// on the object's value at the operation's offset in the log, so that merges of
	// different fields don't conflict. It needs schema version 2.
	Merge Verb = "merge"
)

// NewestSchema is the newest schema version of records that this program reads.
const NewestSchema = 2

// Operation is the content of a record of the config or system stream.
type Operation struct {
	// Schema is the schema version of the operation's spec, from 1 to NewestSchema.
	Schema int `json:"schema"`
	// ID identifies the operation. A record that repeats a recent ID has no effect, so
	// that a writer can append an operation again.
	ID string `json:"id"`
	// Verb is Put, Merge or Delete.
	Verb Verb `json:"op"`
	// Kind is the kind of the object.
	Kind Kind `json:"kind"`
	// Name is the name of the object, unique among those of its kind.
	Name string `json:"name"`
	// Expect is the generation that the object must have for the operation to take
	// effect: its number of accepted operations. Nil accepts any, 0 accepts only an
	// object that has never existed.
	Expect *uint64 `json:"expect,omitempty"`
	// Spec holds the object's fields in JSON; absent in a delete.
	Spec json.RawMessage `json:"spec,omitempty"`
}
