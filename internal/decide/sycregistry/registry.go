// Package sycregistry decides which records of the registry name an endpoint to use. The registry is the replicated
// topic with a record for each endpoint. Others than the endpoints may write into it.
//
// A record names an endpoint only if it is complete and the configuration names its service. Any other record is passed
// over: it takes the endpoint that its key named before out of use, and changes nothing for any other. A record of a service that isn't named is kept, since a later configuration
// may name the service while the record stays as it is.
package sycregistry

import (
	"fmt"
	"maps"
	"slices"

	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// Reason says why a record is passed over.
type Reason string

// Reasons for which records are passed over.
const (
	// Unreadable records can't be decoded, or have a field of another type.
	Unreadable Reason = "unreadable"
	// Incomplete records lack a field.
	Incomplete Reason = "incomplete"
	// Invalid records have a field with a value that no endpoint has.
	Invalid Reason = "invalid"
	// UnnamedService means that no configuration that this VM knows names the record's service.
	UnnamedService Reason = "unnamed_service"
)

// RecordError means that a record names no endpoint.
type RecordError struct {
	// Reason says why.
	Reason Reason
	// Field is the field at fault, empty if it isn't known.
	Field string
	// Err is the error that decoding the record has returned, nil if there is none.
	Err error
}

// Error returns the reason and the field.
func (e *RecordError) Error() string {
	text := "endpoint's record is " + string(e.Reason)
	if e.Field != "" {
		text += fmt.Sprintf(" (field %s)", e.Field)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the error that decoding the record has returned.
func (e *RecordError) Unwrap() error { return e.Err }

// maxPassedOver limits the keys whose reasons are remembered, so that a log line isn't repeated with each heartbeat. The
// oldest are forgotten.
const maxPassedOver = 4096

// Registry keeps the records of services that aren't named.
type Registry struct {
	// services holds the services that the newest configuration names, nil before the first.
	services map[string]bool
	// aside holds the records of other services, by the endpoint's ID. No endpoint in it is in use.
	aside map[string]sycplace.Endpoint
	// passedOver holds why the newest record of an ID was passed over, and order its keys, the oldest first.
	passedOver map[string]Reason
	order      []string
}

// New returns a registry before the first configuration, which keeps all records aside.
func New() *Registry {
	return &Registry{aside: map[string]sycplace.Endpoint{}, passedOver: map[string]Reason{}}
}

// Admit reports whether a complete record, the newest of its ID, names an endpoint to use. Otherwise it keeps the record.
func (r *Registry) Admit(e sycplace.Endpoint) bool {
	r.Drop(e.ID)
	if r.services[e.Service] {
		r.forgetReason(e.ID)
		return true
	}
	r.aside[e.ID] = e
	return false
}

// Drop forgets the record of an ID, which was deleted or replaced by one that names no endpoint.
func (r *Registry) Drop(id string) { delete(r.aside, id) }

// forgetReason forgets why a record of an ID was passed over.
func (r *Registry) forgetReason(id string) {
	if _, known := r.passedOver[id]; known {
		delete(r.passedOver, id)
		r.order = slices.DeleteFunc(r.order, func(one string) bool { return one == id })
	}
}

// PassOver records why the newest record of an ID is passed over, and reports whether that is new.
func (r *Registry) PassOver(id string, reason Reason) bool {
	before, known := r.passedOver[id]
	if !known {
		r.order = append(r.order, id)
	}
	r.passedOver[id] = reason
	if len(r.order) > maxPassedOver {
		delete(r.passedOver, r.order[0])
		r.order = r.order[1:]
	}
	return before != reason
}

// Configured reports whether a configuration is known. Before that no record is passed over, and none is in use.
func (r *Registry) Configured() bool { return r.services != nil }

// SetServices sets the services that the newest configuration names. InUse lists the endpoints in use. It returns the
// records that name an endpoint from now on, and those of which it is known from now on that they name none; it keeps
// the latter.
func (r *Registry) SetServices(names []string, inUse []sycplace.Endpoint) (named, unnamed []sycplace.Endpoint) {
	isFirst := !r.Configured()
	r.services = make(map[string]bool, len(names))
	for _, name := range names {
		r.services[name] = true
	}
	for _, id := range slices.Sorted(maps.Keys(r.aside)) {
		if e := r.aside[id]; r.Admit(e) {
			named = append(named, e)
		} else if isFirst {
			unnamed = append(unnamed, e)
		}
	}
	for _, e := range inUse {
		if !r.Admit(e) {
			unnamed = append(unnamed, e)
		}
	}
	return named, unnamed
}

// AsideCount returns how many records of services that aren't named are kept.
func (r *Registry) AsideCount() int { return len(r.aside) }
