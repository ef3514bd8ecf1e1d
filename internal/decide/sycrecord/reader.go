package sycrecord

// fields is the present wire form of a kind: F with Defaults and Validate.
type fields[F any] interface {
	*F
	// Defaults fills what was left out.
	Defaults()
	// validate notes faults with paths below "spec".
	validate(f *faults)
}

// former is the form of a kind in schema version 1.
type former[F any] interface {
	// upgrade returns the present form.
	upgrade() F
}

// readers read the spec of an operation by kind.
var readers = map[Kind]func(op Operation, f *faults) Value{
	KindCustomer: reader[customer1](NewCustomer),
	KindKey:      reader[KeyFields](NewKey),
	KindRoute:    reader[route1](NewRoute),
	KindEndpoint: reader[endpoint1](NewEndpoint),
	KindVersion:  reader[version1](NewVersion),
	KindSlots:    reader[SlotsFields](NewSlots),
	KindHolder:   reader[HolderFields](NewHolder),
	KindLease:    reader[LeaseFields](NewLease),
	KindRollout:  reader[RolloutFields](NewRollout),
}

// reader makes the reader of a kind from its form in schema version 1 and the
// constructor that takes its present form.
func reader[O former[F], P fields[F], F any, V Value](build func(string, F) V) func(Operation, *faults) Value {
	return func(op Operation, f *faults) Value {
		known := len(f.list)
		present := decodeSpec[O, F](op, f)
		if len(f.list) > known {
			return nil
		}
		P(&present).Defaults()
		P(&present).validate(f)
		return build(op.Name, present)
	}
}

func decodeSpec[O former[F], F any](op Operation, f *faults) F {
	if op.Schema == 1 {
		var old O
		decodeStrict(op.Spec, "spec", &old, f)
		return old.upgrade()
	}
	var present F
	decodeStrict(op.Spec, "spec", &present, f)
	return present
}
