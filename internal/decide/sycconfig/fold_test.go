package sycconfig_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// op holds the fields of an operation.
type op struct {
	// id is the operation's ID; fold sets it if it's empty.
	id   string
	verb string
	kind string
	name string
	// expect is the expected generation, or anyGeneration.
	expect int
	schema int
	spec   string
}

// anyGeneration is the value of op.expect that leaves the expected generation out.
const anyGeneration = -1

// data returns the operation's JSON.
func (o op) data() []byte {
	fields := []string{fmt.Sprintf(`"schema":%d,"id":%q,"op":%q,"kind":%q,"name":%q`, o.schema, o.id, o.verb, o.kind, o.name)}
	if o.expect != anyGeneration {
		fields = append(fields, fmt.Sprintf(`"expect":%d`, o.expect))
	}
	if o.spec != "" {
		fields = append(fields, `"spec":`+o.spec)
	}
	return []byte("{" + strings.Join(fields, ",") + "}")
}

// put returns an operation that puts an object, in schema version 2.
func put(kind, name, spec string) op {
	return op{verb: "put", kind: kind, name: name, expect: anyGeneration, schema: 2, spec: spec}
}

// merge returns an operation that merges a spec into an object, in schema version 2.
func merge(kind, name, spec string) op {
	return op{verb: "merge", kind: kind, name: name, expect: anyGeneration, schema: 2, spec: spec}
}

// del returns an operation that deletes an object, in schema version 2.
func del(kind, name string) op {
	return op{verb: "delete", kind: kind, name: name, expect: anyGeneration, schema: 2}
}

// expecting returns the operation with an expected generation.
func (o op) expecting(generation int) op { o.expect = generation; return o }

// withID returns the operation with an ID.
func (o op) withID(id string) op { o.id = id; return o }

// inSchema returns the operation with a schema version.
func (o op) inSchema(schema int) op { o.schema = schema; return o }

// fold applies operations in order and returns the last state and all results. It
// gives an ID to operations that have none.
func fold(s *sycconfig.State, ops ...op) (*sycconfig.State, []sycconfig.Result) {
	var results []sycconfig.Result
	for _, o := range ops {
		if o.id == "" {
			o.id = fmt.Sprintf("id-%d", s.Next())
		}
		var result sycconfig.Result
		s, result = s.Apply(s.Next(), o.data())
		results = append(results, result)
	}
	return s, results
}

// customerSpec is a valid spec of a customer.
const customerSpec = `{"requests_per_second":1,"burst":2}`

// keySpec returns the spec of a customer's key, with n as the hash.
func keySpec(customer string, n int) string {
	return fmt.Sprintf(`{"customer":%q,"sha256":"%064x"}`, customer, n)
}

// slotsSpec returns the spec of a slot table with one slot.
func slotsSpec(share float64, slot, address string) string {
	return fmt.Sprintf(`{"share":%g,"slots":[{"name":%q,"address":%q,"fraction":1}]}`, share, slot, address)
}

// TestRejections checks the error with which the last of some operations is rejected.
func TestRejections(t *testing.T) {
	cases := []struct {
		name string
		ops  []op
		want error
	}{
		{"generation", []op{put("customer", "c", customerSpec), put("customer", "c", customerSpec).expecting(0)}, &sycconfig.GenerationError{Have: 1, Want: 0}},
		{"tombstone keeps the generation", []op{put("customer", "c", customerSpec), del("customer", "c"), put("customer", "c", customerSpec).expecting(1)}, &sycconfig.GenerationError{Have: 2, Want: 1}},
		{"repeated id", []op{put("customer", "c", customerSpec).withID("x"), put("customer", "d", customerSpec).withID("x")}, &sycconfig.RepeatedError{ID: "x", Offset: 0}},
		{"repeated id of a rejected operation", []op{del("customer", "c").withID("x"), put("customer", "c", customerSpec).withID("x")}, &sycconfig.RepeatedError{ID: "x", Offset: 0}},
		{"kind of the other stream", []op{put("lease", "l", `{"address":"a","incarnation":"1","duration":"1s"}`)}, &sycconfig.StreamError{Kind: "lease", Stream: "config"}},
		{"key without customer", []op{put("key", "k", keySpec("c", 1))}, &sycconfig.ConflictError{Path: "spec.customer", Message: `customer "c" does not exist`}},
		{"hash of another key", []op{put("customer", "c", customerSpec), put("key", "k", keySpec("c", 1)), put("key", "l", keySpec("c", 1))}, &sycconfig.ConflictError{Path: "spec.sha256", Message: `is that of key "k"`}},
		{"customer with a key", []op{put("customer", "c", customerSpec), put("key", "k", keySpec("c", 1)), del("customer", "c")}, &sycconfig.ConflictError{Path: "name", Message: `customer "c" still has key "k"`}},
		{"prefix taken", []op{put("route", "r", `{"prefix":"/a","type":"model"}`), put("route", "s", `{"prefix":"/a/","type":"model"}`)}, &sycconfig.ConflictError{Path: "spec.prefix", Message: `is that of route "r"`}},
		{"second initial version", []op{put("version", "v", `{"model":"m","weights":"w","initial":true}`), put("version", "w", `{"model":"m","weights":"x","initial":true}`)}, &sycconfig.ConflictError{Path: "spec.initial", Message: `model "m" has the initial version "v"`}},
		{"shares above 1", []op{put("slots", "x", slotsSpec(0.6, "a", "127.0.0.1:1")), put("slots", "y", slotsSpec(0.5, "b", "127.0.0.1:2"))}, &sycconfig.ConflictError{Path: "spec.share", Message: "brings the shares of all failure domains to 1.1; at most 1 is allowed"}},
		{"slot in two domains", []op{put("slots", "x", slotsSpec(0.5, "a", "127.0.0.1:1")), put("slots", "y", slotsSpec(0.5, "a", "127.0.0.1:2"))}, &sycconfig.ConflictError{Path: "spec.slots", Message: `slot "a" is in failure domain "x"`}},
		{"address in two domains", []op{put("slots", "x", slotsSpec(0.5, "a", "127.0.0.1:1")), put("slots", "y", slotsSpec(0.5, "b", "127.0.0.1:1"))}, &sycconfig.ConflictError{Path: "spec.slots", Message: `address "127.0.0.1:1" is in failure domain "x"`}},
		{"delete of a missing object", []op{del("route", "r")}, &sycconfig.MissingError{Kind: "route", Name: "r"}},
		{"merge into a missing object", []op{merge("customer", "c", `{"burst":3}`)}, &sycconfig.MissingError{Kind: "customer", Name: "c"}},
		{"merge of an invalid value", []op{put("customer", "c", customerSpec), merge("customer", "c", `{"burst":0}`)}, &sycrecord.FaultsError{Faults: []sycrecord.Fault{{Path: "spec.burst", Message: "must be from 1 to 1e9"}}}},
		{"merge of an unknown field", []op{put("customer", "c", customerSpec), put("key", "k", keySpec("c", 1)), merge("key", "k", `{"with":true}`)}, &sycrecord.FaultsError{Faults: []sycrecord.Fault{{Path: "spec.with", Message: "is not a field; known are customer, sha256, withdrawn"}}}},
		{"merge in schema 1", []op{put("customer", "c", customerSpec), merge("customer", "c", `{"burst":3}`).inSchema(1)}, &sycrecord.FaultsError{Faults: []sycrecord.Fault{{Path: "op", Message: `"merge" needs schema version 2`}}}},
		{"newer schema", []op{put("customer", "c", `{"new":1}`).inSchema(3)}, &sycrecord.SchemaError{Schema: 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, results := fold(sycconfig.NewStream(sycconfig.ConfigStream), c.ops...)
			must.Eq(t, c.want, results[len(results)-1].Err())
		})
	}
}

// TestMergeKeepsOtherFields checks that a merge changes only the fields that it names,
// and that it doesn't change the state that it was applied to.
func TestMergeKeepsOtherFields(t *testing.T) {
	before, _ := fold(sycconfig.NewState(), put("customer", "c", customerSpec), put("key", "k", keySpec("c", 1)))
	after, results := fold(before, merge("customer", "c", `{"burst":5}`), merge("customer", "c", `{"weight":3}`), merge("key", "k", `{"withdrawn":true}`))
	for _, result := range results {
		must.True(t, result.Accepted(), must.Sprint(result.Reason()))
	}
	customer, _ := after.Customer("c")
	must.EqOp(t, 1.0, customer.Value().Rate())
	must.EqOp(t, 5.0, customer.Value().Burst())
	must.EqOp(t, 3.0, customer.Value().Weight())
	must.EqOp(t, uint64(3), customer.Generation())
	_, works := after.Owner(fmt.Sprintf("%064x", 1))
	must.False(t, works)
	_, works = before.Owner(fmt.Sprintf("%064x", 1))
	must.True(t, works, must.Sprint("the earlier state is unchanged"))
}

// TestMalformedRecordsOnlyAdvance checks that a record that can't be parsed is rejected
// and advances the offset, so that it doesn't block the stream.
func TestMalformedRecordsOnlyAdvance(t *testing.T) {
	state, _ := fold(sycconfig.NewState(), put("customer", "c", customerSpec))
	for _, data := range []string{"", "null", "{", `{"schema":2}`, strings.Repeat(" ", sycrecord.MaxRecord+1)} {
		next, result := state.Apply(state.Next(), []byte(data))
		must.False(t, result.Accepted())
		must.NotEq(t, "", result.Reason())
		must.EqOp(t, state.Next()+1, next.Next())
		must.Len(t, 1, next.Customers())
		state = next
	}
}

// TestKeysComeAndGo checks that a key's hash finds its owner until the key is withdrawn,
// gets another secret or is deleted, and that another key may then have the hash.
func TestKeysComeAndGo(t *testing.T) {
	hash := fmt.Sprintf("%064x", 1)
	created, _ := fold(sycconfig.NewState(), put("customer", "c", customerSpec), put("key", "k", keySpec("c", 1)))
	withdrawn, _ := fold(created, put("key", "k", strings.Replace(keySpec("c", 1), "{", `{"withdrawn":true,`, 1)))
	changed, _ := fold(created, put("key", "k", keySpec("c", 2)))
	deleted, _ := fold(created, del("key", "k"))
	cases := []struct {
		name  string
		state *sycconfig.State
		works bool
	}{
		{"created", created, true},
		{"withdrawn", withdrawn, false},
		{"other secret", changed, false},
		{"deleted", deleted, false},
	}
	for _, c := range cases {
		owner, ok := c.state.Owner(hash)
		must.EqOp(t, c.works, ok, must.Sprint(c.name))
		must.EqOp(t, c.works, owner == "c", must.Sprint(c.name))
	}
	again, results := fold(deleted, put("key", "l", keySpec("c", 1)))
	must.True(t, results[0].Accepted())
	_, ok := again.Owner(hash)
	must.True(t, ok)
}

// TestRouteMatchesWholeSegments checks that a path is matched by the longest prefix, by
// whole path segments, with and without a route for the root.
func TestRouteMatchesWholeSegments(t *testing.T) {
	state, _ := fold(
		sycconfig.NewState(),
		put("route", "a", `{"prefix":"/a","type":"model"}`),
		put("route", "deep", `{"prefix":"/a/b/c/","type":"model"}`),
		put("route", "other", `{"prefix":"/other","type":"model"}`),
	)
	withRoot, _ := fold(state, put("route", "root", `{"prefix":"/","type":"model"}`), del("route", "other"))
	cases := []struct {
		path string
		want string
		root string
	}{
		{"/a", "a", "a"},
		{"/a/", "a", "a"},
		{"/ab", "", "root"},
		{"/a/b", "a", "a"},
		{"/a/b/c", "deep", "deep"},
		{"/a/b/cd", "a", "a"},
		{"/a/b/c/d/e/f/g", "deep", "deep"},
		{"/other/x", "other", "root"},
		{"/", "", "root"},
		{"", "", "root"},
	}
	for _, c := range cases {
		route, _ := state.Route(c.path)
		must.EqOp(t, c.want, route.Value().Name(), must.Sprint(c.path))
		route, _ = withRoot.Route(c.path)
		must.EqOp(t, c.root, route.Value().Name(), must.Sprint(c.path))
	}
}

// TestNewerSchemaKeepsTheLastValue checks that an operation of a newer schema version
// increments its object's generation and keeps the object's value, and that a later
// readable operation on the object replaces it.
func TestNewerSchemaKeepsTheLastValue(t *testing.T) {
	state, results := fold(
		sycconfig.NewState(),
		put("customer", "c", customerSpec),
		put("customer", "c", `{"later":true}`).inSchema(3).expecting(1),
		put("customer", "c", customerSpec).expecting(1),
	)
	must.False(t, results[2].Accepted())
	customer, ok := state.Customer("c")
	must.True(t, ok)
	must.EqOp(t, 1.0, customer.Value().Rate())
	must.EqOp(t, uint64(2), customer.Generation())
	must.Len(t, 1, state.Unreadable())
	must.EqOp(t, 3, state.Unreadable()[0].Schema())

	state, _ = fold(state, put("customer", "c", customerSpec).expecting(2))
	must.Len(t, 0, state.Unreadable())
}

// TestRepeatedIDIsRejectedWithinTheWindow checks that an ID can be used again once
// RecentIDs records have followed it, but not before.
func TestRepeatedIDIsRejectedWithinTheWindow(t *testing.T) {
	state, _ := fold(sycconfig.NewState(), put("customer", "c", customerSpec).withID("x"))
	for range sycconfig.RecentIDs - 1 {
		state, _ = state.Apply(state.Next(), nil)
	}
	_, results := fold(state, put("customer", "c", customerSpec).withID("x"))
	var repeated *sycconfig.RepeatedError
	must.True(t, errors.As(results[0].Err(), &repeated))

	state, _ = state.Apply(state.Next(), nil)
	_, results = fold(state, put("customer", "c", customerSpec).withID("x"))
	must.True(t, results[0].Accepted())
}

// TestNewerProgramReadsWhatAnOlderKept checks that an operation that an older program
// kept unread in its snapshot is applied by a program that can read it. It changes the
// operation's schema version in the snapshot to one that this program reads.
func TestNewerProgramReadsWhatAnOlderKept(t *testing.T) {
	state, _ := fold(sycconfig.NewState(), put("customer", "c", customerSpec), put("customer", "c", `{"requests_per_second":7,"burst":9}`).inSchema(3))
	must.Len(t, 1, state.Unreadable())
	data, err := state.Encode()
	must.NoError(t, err)
	restored, err := sycconfig.Decode(repackSnapshot(t, data, `"schema":3`, `"schema":2`))
	must.NoError(t, err)
	customer, _ := restored.Customer("c")
	must.EqOp(t, 7.0, customer.Value().Rate())
	must.EqOp(t, uint64(2), customer.Generation())
	must.Len(t, 0, restored.Unreadable())
}

// TestDecodeRejectsDamage checks that truncated and changed snapshots, and those of a
// newer format, give a SnapshotError.
func TestDecodeRejectsDamage(t *testing.T) {
	state, _ := fold(sycconfig.NewState(), put("customer", "c", customerSpec))
	data, err := state.Encode()
	must.NoError(t, err)
	cases := [][]byte{nil, data[:len(data)-1], append([]byte("x"), data...), append(json.RawMessage(nil), data[:20]...)}
	flipped := append([]byte(nil), data...)
	flipped[len(flipped)-5] ^= 1
	cases = append(cases, flipped, repackSnapshot(t, data, `"format":1`, `"format":2`))
	for _, damaged := range cases {
		_, err := sycconfig.Decode(damaged)
		var fault *sycconfig.SnapshotError
		must.True(t, errors.As(err, &fault))
	}
}
