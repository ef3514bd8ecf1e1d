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

// SnapshotFormat is the snapshot format that this program writes, and the newest that
// it reads.
const SnapshotFormat = 1

// maxSnapshotBytes limits the decompressed size of a snapshot that Decode accepts, in
// bytes.
const maxSnapshotBytes = 128 << 20

// snapshotMagic begins every encoded snapshot. The SHA-256 hash of the compressed
// content follows, and then the compressed content.
var snapshotMagic = []byte("sycsnap\n")

// SnapshotError reports an encoded snapshot that can't be decoded.
type SnapshotError struct {
	// Message says what is wrong with the snapshot.
	Message string
	// Err is the underlying error; nil if there is none.
	Err error
}

// Error returns the message and the underlying error.
func (e *SnapshotError) Error() string {
	if e.Err == nil {
		return "snapshot: " + e.Message
	}
	return fmt.Sprintf("snapshot: %s: %v", e.Message, e.Err)
}

// Unwrap returns the underlying error.
func (e *SnapshotError) Unwrap() error { return e.Err }

// wireSnapshot is the JSON form of a snapshot's content. Its lists are sorted, so that
// equal states have equal encodings.
type wireSnapshot struct {
	// Format is the snapshot format, see SnapshotFormat.
	Format int `json:"format"`
	// Stream is the name of the stream; empty if the state accepts all kinds.
	Stream string `json:"stream"`
	// Next is the offset after the last record that the snapshot includes.
	Next uint64 `json:"next"`
	// Objects holds the objects and tombstones, ordered by kind and name.
	Objects []wireObject `json:"objects"`
	// IDs holds the operation IDs of the last RecentIDs records, ordered by offset.
	IDs []wireID `json:"ids"`
	// Unreadable holds State.unreadable, ordered by kind and name.
	Unreadable []wireUnreadable `json:"unreadable"`
}

// wireObject is the JSON form of an object in a snapshot or, if it has no spec, of a
// tombstone.
type wireObject struct {
	// Kind is the object's kind.
	Kind sycrecord.Kind `json:"kind"`
	// Name is the object's name.
	Name string `json:"name"`
	// Generation counts the accepted operations on the object.
	Generation uint64 `json:"generation"`
	// Offset is the log offset of the last accepted operation on the object.
	Offset uint64 `json:"offset"`
	// Schema is the schema version of Spec.
	Schema int `json:"schema"`
	// Spec holds the object's fields; absent for a tombstone.
	Spec json.RawMessage `json:"spec,omitempty"`
}

// wireID is the JSON form of a record's operation ID in a snapshot.
type wireID struct {
	// Offset is the record's log offset.
	Offset uint64 `json:"offset"`
	// ID is the operation's ID.
	ID string `json:"id"`
}

// wireUnreadable is the JSON form of an Unreadable in a snapshot.
type wireUnreadable struct {
	// Offset is the record's log offset.
	Offset uint64 `json:"offset"`
	// Data is the whole record.
	Data json.RawMessage `json:"data"`
}

// Encode returns the state as an encoded snapshot. Equal states have equal encodings.
func (s *State) Encode() ([]byte, error) {
	wire := wireSnapshot{Format: SnapshotFormat, Stream: s.stream, Next: s.next}
	var err error
	if wire.Objects, err = s.wireObjects(); err != nil {
		return nil, err
	}
	for offset, id := range s.recentIDs.ids.all() {
		wire.IDs = append(wire.IDs, wireID{Offset: offset, ID: id})
	}
	for _, u := range s.unreadable.all() {
		wire.Unreadable = append(wire.Unreadable, wireUnreadable{Offset: u.offset, Data: u.data})
	}
	return packSnapshot(wire)
}

// packSnapshot compresses a snapshot's content and puts the magic bytes and the hash
// before it.
func packSnapshot(wire wireSnapshot) ([]byte, error) {
	var body bytes.Buffer
	compressor := gzip.NewWriter(&body)
	if err := json.NewEncoder(compressor).Encode(wire); err != nil {
		return nil, eris.Wrap(err, "sycconfig: encode snapshot")
	}
	if err := compressor.Close(); err != nil {
		return nil, eris.Wrap(err, "sycconfig: compress snapshot")
	}
	sum := sha256.Sum256(body.Bytes())
	return bytes.Join([][]byte{snapshotMagic, sum[:], body.Bytes()}, nil), nil
}

// Decode rebuilds a state from an encoded snapshot. The error is *SnapshotError.
func Decode(data []byte) (*State, error) {
	wire, err := unpackSnapshot(data)
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

// unpackSnapshot checks an encoded snapshot's magic bytes and hash and returns its
// content.
func unpackSnapshot(data []byte) (wireSnapshot, error) {
	var wire wireSnapshot
	body, ok := bytes.CutPrefix(data, snapshotMagic)
	if !ok || len(body) < sha256.Size {
		return wire, &SnapshotError{Message: "does not begin with the magic bytes and a hash"}
	}
	sum := sha256.Sum256(body[sha256.Size:])
	if !bytes.Equal(sum[:], body[:sha256.Size]) {
		return wire, &SnapshotError{Message: "checksum differs"}
	}
	expander, err := gzip.NewReader(bytes.NewReader(body[sha256.Size:]))
	if err != nil {
		return wire, &SnapshotError{Message: "is damaged", Err: err}
	}
	if err := json.NewDecoder(io.LimitReader(expander, maxSnapshotBytes)).Decode(&wire); err != nil {
		return wire, &SnapshotError{Message: "is damaged", Err: err}
	}
	return wire, nil
}

// kinds lists all kinds in the order in which a snapshot holds their objects.
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

// wireObjects returns the objects and tombstones of all kinds for a snapshot, ordered
// by kind and name.
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
