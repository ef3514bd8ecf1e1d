package sycconfig

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// SnapshotFormat is the newest snapshot format that this program reads.
const SnapshotFormat = 1

// maxSnapshot bounds the uncompressed bytes of a snapshot.
const maxSnapshot = 128 << 20

// snapshotMagic begins every snapshot; a SHA-256 of the rest follows.
var snapshotMagic = []byte("sycsnap\n")

// SnapshotError reports a snapshot that cannot be used.
type SnapshotError struct {
	Message string
	Err     error
}

// Error says what is wrong.
func (e *SnapshotError) Error() string {
	if e.Err == nil {
		return "snapshot: " + e.Message
	}
	return fmt.Sprintf("snapshot: %s: %v", e.Message, e.Err)
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// wireSnapshot is the content of a snapshot. Lists are sorted, so that equal
// states give equal bytes.
type wireSnapshot struct {
	Format     int              `json:"format"`
	Stream     string           `json:"stream"`
	Next       uint64           `json:"next"`
	Objects    []wireObject     `json:"objects"`
	IDs        []wireID         `json:"ids"`
	Unreadable []wireUnreadable `json:"unreadable"`
}

// wireObject is an object or, without a spec, a tombstone.
type wireObject struct {
	Kind       sycrecord.Kind  `json:"kind"`
	Name       string          `json:"name"`
	Generation uint64          `json:"generation"`
	Offset     uint64          `json:"offset"`
	Schema     int             `json:"schema"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

type wireID struct {
	Offset uint64 `json:"offset"`
	ID     string `json:"id"`
}

type wireUnreadable struct {
	Offset uint64          `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// Encode returns the state as a snapshot. Equal states give equal bytes.
func (s *State) Encode() ([]byte, error) {
	wire := wireSnapshot{Format: SnapshotFormat, Stream: s.stream, Next: s.next}
	var err error
	if wire.Objects, err = s.wireObjects(); err != nil {
		return nil, err
	}
	for offset, id := range s.recent.ids.all() {
		wire.IDs = append(wire.IDs, wireID{Offset: offset, ID: id})
	}
	for _, u := range s.unreadable.all() {
		wire.Unreadable = append(wire.Unreadable, wireUnreadable{Offset: u.offset, Data: u.data})
	}
	return seal(wire)
}

func seal(wire wireSnapshot) ([]byte, error) {
	var body bytes.Buffer
	compressor := gzip.NewWriter(&body)
	if err := json.NewEncoder(compressor).Encode(wire); err != nil {
		return nil, eris.Wrap(err, "sycconfig: encode")
	}
	if err := compressor.Close(); err != nil {
		return nil, eris.Wrap(err, "sycconfig: encode")
	}
	sum := sha256.Sum256(body.Bytes())
	return bytes.Join([][]byte{snapshotMagic, sum[:], body.Bytes()}, nil), nil
}

// Decode rebuilds a state from a snapshot. The error is *SnapshotError.
func Decode(data []byte) (*State, error) {
	wire, err := unseal(data)
	if err != nil {
		return nil, err
	}
	if wire.Format > SnapshotFormat {
		return nil, &SnapshotError{Message: fmt.Sprintf("format %d is newer than %d", wire.Format, SnapshotFormat)}
	}
	s := &State{stream: wire.Stream, next: wire.Next}
	if err := s.load(wire); err != nil {
		return nil, &SnapshotError{Message: "content is damaged", Err: err}
	}
	return s, nil
}

func unseal(data []byte) (wireSnapshot, error) {
	var wire wireSnapshot
	body, ok := bytes.CutPrefix(data, snapshotMagic)
	if !ok || len(body) < sha256.Size {
		return wire, &SnapshotError{Message: "is not one"}
	}
	sum := sha256.Sum256(body[sha256.Size:])
	if !bytes.Equal(sum[:], body[:sha256.Size]) {
		return wire, &SnapshotError{Message: "checksum differs"}
	}
	expander, err := gzip.NewReader(bytes.NewReader(body[sha256.Size:]))
	if err != nil {
		return wire, &SnapshotError{Message: "is damaged", Err: err}
	}
	if err := json.NewDecoder(io.LimitReader(expander, maxSnapshot)).Decode(&wire); err != nil {
		return wire, &SnapshotError{Message: "is damaged", Err: err}
	}
	return wire, nil
}

// kinds lists all kinds in the order of a snapshot.
var kinds = []sycrecord.Kind{
	sycrecord.KindCustomer,
	sycrecord.KindKey,
	sycrecord.KindRoute,
	sycrecord.KindEndpoint,
	sycrecord.KindVersion,
	sycrecord.KindSlots,
	sycrecord.KindHolder,
	sycrecord.KindLease,
	sycrecord.KindRollout,
}

// wireObjects lists the objects of all kinds with their tombstones, by kind and name.
func (s *State) wireObjects() ([]wireObject, error) {
	var list []wireObject
	for _, kind := range kinds {
		var err error
		list, err = s.collection(kind).appendWire(list, kind)
		if err != nil {
			return nil, err
		}
	}
	return list, nil
}

// appendWire implements collection.
func (m objects[T]) appendWire(list []wireObject, kind sycrecord.Kind) ([]wireObject, error) {
	for name, o := range m.table.all() {
		wire := wireObject{
			Kind:       kind,
			Name:       name,
			Generation: o.generation,
			Offset:     o.offset,
			Schema:     sycrecord.NewestSchema,
		}
		if !o.deleted {
			spec, err := json.Marshal(sycrecord.Fields(o.value))
			if err != nil {
				return nil, eris.Wrapf(err, "sycconfig: encode %s %q", kind, name)
			}
			wire.Spec = spec
		}
		list = append(list, wire)
	}
	return list, nil
}
