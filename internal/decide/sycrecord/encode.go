package sycrecord

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Fields returns the present wire form of a value.
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

// Restore rebuilds a value that was accepted before from its present wire form.
// It does not validate: what was accepted stays.
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

func restore[F any, V Value](name string, spec []byte, build func(string, F) V) (Value, error) {
	var fields F
	if err := json.Unmarshal(spec, &fields); err != nil {
		return nil, eris.Wrap(err, "sycrecord: restore")
	}
	return build(name, fields), nil
}
