package sycrecord

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Fields returns a value's spec as a struct in the newest schema version, such as
// CustomerFields, ready to be marshalled to JSON. It returns nil for nil.
func Fields(v Value) any {
	switch v := v.(type) {
	case Customer:
		return v.fields
	case Key:
		return v.fields
	case Route:
		return v.fields
	case Endpoint:
		return v.fields
	case Version:
		return v.fields
	case Slots:
		return v.fields
	case Holder:
		return v.fields
	case Lease:
		return v.fields
	case Rollout:
		return v.fields
	}
	return nil
}

// Restore rebuilds a value from its JSON spec in the newest schema version. It
// doesn't validate, so that an object that an earlier program accepted stays valid.
func Restore(kind Kind, name string, spec []byte) (Value, error) {
	switch kind {
	case KindCustomer:
		return restore(name, spec, NewCustomer)
	case KindKey:
		return restore(name, spec, NewKey)
	case KindRoute:
		return restore(name, spec, NewRoute)
	case KindEndpoint:
		return restore(name, spec, NewEndpoint)
	case KindVersion:
		return restore(name, spec, NewVersion)
	case KindSlots:
		return restore(name, spec, NewSlots)
	case KindHolder:
		return restore(name, spec, NewHolder)
	case KindLease:
		return restore(name, spec, NewLease)
	case KindRollout:
		return restore(name, spec, NewRollout)
	}
	return nil, eris.Errorf("kind %q is unknown", kind)
}

// restore unmarshals the fields of type F and builds a value from them.
func restore[F any, V Value](name string, spec []byte, build func(string, F) V) (Value, error) {
	var fields F
	if err := json.Unmarshal(spec, &fields); err != nil {
		return nil, eris.Wrap(err, "sycrecord: unmarshal spec")
	}
	return build(name, fields), nil
}
