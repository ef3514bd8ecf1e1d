package sycrecord

// currentFields is a pointer to the spec of a kind in the newest schema version.
type currentFields[F any] interface {
	*F
	// Defaults sets the fields that were left out to their default values.
	Defaults()
	// validate adds a fault to f for each invalid field.
	validate(f *faults)
}

// schema1Form is the spec of a kind in schema version 1.
type schema1Form[F any] interface {
	// upgrade returns the same spec in the newest schema version.
	upgrade() F
}

// codec parses the specs of one kind of object.
type codec struct {
	// read returns the value of a put and adds the faults of its spec to f. The value
	// may only be used if there are none.
	read func(op Operation, f *faults) Value
	// merge returns old with the fields changed that a merge operation names, and adds
	// the faults of the result to f. The value may only be used if there are none. If
	// old is nil, merge only checks the names and types of the fields and returns nil.
	merge func(old Value, op Operation, f *faults) Value
}

// codecs holds the codec of each kind.
var codecs = map[Kind]codec{
	KindCustomer: newCodec[customerV1](NewCustomer),
	KindKey:      newCodec[KeyFields](NewKey),
	KindRoute:    newCodec[routeV1](NewRoute),
	KindEndpoint: newCodec[endpointV1](NewEndpoint),
	KindVersion:  newCodec[versionV1](NewVersion),
	KindSlots:    newCodec[SlotsFields](NewSlots),
	KindHolder:   newCodec[HolderFields](NewHolder),
	KindLease:    newCodec[LeaseFields](NewLease),
	KindRollout:  newCodec[RolloutFields](NewRollout),
}

// newCodec returns the codec of a kind. O is the kind's spec in schema version 1,
// F its spec in the newest schema version, and build the constructor of its value.
func newCodec[O schema1Form[F], P currentFields[F], F any, V Value](build func(string, F) V) codec {
	finish := func(op Operation, spec F, f *faults) Value {
		P(&spec).Defaults()
		P(&spec).validate(f)
		return build(op.Name, spec)
	}
	return codec{
		read: func(op Operation, f *faults) Value {
			faultsBefore := len(f.list)
			spec := decodeSpec[O, F](op, f)
			if len(f.list) > faultsBefore {
				return nil
			}
			return finish(op, spec, f)
		},
		merge: func(old Value, op Operation, f *faults) Value {
			spec, exists := Fields(old).(F)
			decodeStrict(op.Spec, "spec", &spec, f)
			if !exists || len(f.list) > 0 {
				return nil
			}
			return finish(op, spec, f)
		},
	}
}

// decodeSpec reads an operation's spec of any supported schema version and returns
// it in the newest.
func decodeSpec[O schema1Form[F], F any](op Operation, f *faults) F {
	if op.Schema == 1 {
		var old O
		decodeStrict(op.Spec, "spec", &old, f)
		return old.upgrade()
	}
	var spec F
	decodeStrict(op.Spec, "spec", &spec, f)
	return spec
}

// Merged returns old with the fields changed that the operation, which must be a
// merge, names. The error is *FaultsError.
func (c Change) Merged(old Value) (Value, error) {
	f := &faults{}
	value := codecs[c.operation.Kind].merge(old, c.operation, f)
	if err := f.err(); err != nil {
		return nil, err
	}
	return value, nil
}
