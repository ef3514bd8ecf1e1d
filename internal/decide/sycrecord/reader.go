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

// codec reads the specs of a kind.
type codec struct {
	// read returns the value of a put and notes faults.
	read func(op Operation, f *faults) Value
	// merge returns a value with the fields that a merge names; of a nil value
	// it checks the names and types only.
	merge func(old Value, op Operation, f *faults) Value
}

// codecs by kind.
var codecs = map[Kind]codec{
	KindCustomer: newCodec[customer1](NewCustomer),
	KindKey:      newCodec[KeyFields](NewKey),
	KindRoute:    newCodec[route1](NewRoute),
	KindEndpoint: newCodec[endpoint1](NewEndpoint),
	KindVersion:  newCodec[version1](NewVersion),
	KindSlots:    newCodec[SlotsFields](NewSlots),
	KindHolder:   newCodec[HolderFields](NewHolder),
	KindLease:    newCodec[LeaseFields](NewLease),
	KindRollout:  newCodec[RolloutFields](NewRollout),
}

// newCodec makes the codec of a kind from its form in schema version 1 and the
// constructor that takes its present form.
func newCodec[O former[F], P fields[F], F any, V Value](build func(string, F) V) codec {
	finish := func(op Operation, present F, f *faults) Value {
		P(&present).Defaults()
		P(&present).validate(f)
		return build(op.Name, present)
	}
	return codec{
		read: func(op Operation, f *faults) Value {
			known := len(f.list)
			present := decodeSpec[O, F](op, f)
			if len(f.list) > known {
				return nil
			}
			return finish(op, present, f)
		},
		merge: func(old Value, op Operation, f *faults) Value {
			present, exists := Fields(old).(F)
			decodeStrict(op.Spec, "spec", &present, f)
			if !exists || len(f.list) > 0 {
				return nil
			}
			return finish(op, present, f)
		},
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

// Merged returns a value with the fields that a merge names. The error is
// *FaultsError.
func (c Change) Merged(old Value) (Value, error) {
	f := &faults{}
	value := codecs[c.operation.Kind].merge(old, c.operation, f)
	if err := f.err(); err != nil {
		return nil, err
	}
	return value, nil
}
