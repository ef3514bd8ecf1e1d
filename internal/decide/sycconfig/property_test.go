package sycconfig_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
)

// drawOp draws an operation on one of three names, so that operations often affect the
// same object or conflict.
func drawOp(t *rapid.T) op {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	number := rapid.IntRange(1, 4).Draw(t, "number")
	kinds := map[string]string{
		"customer": customerSpec,
		"key":      keySpec(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner"), number),
		"route":    fmt.Sprintf(`{"prefix":"/%d","type":"model"}`, number),
		"version":  fmt.Sprintf(`{"model":"m%d","weights":"w","initial":true}`, number),
		"slots":    slotsSpec(float64(number)/8, fmt.Sprint("s", number), fmt.Sprint("127.0.0.1:", number)),
		"lease":    `{"address":"a","incarnation":"1","duration":"1s"}`,
	}
	kind := rapid.SampledFrom([]string{"customer", "key", "route", "version", "slots", "lease"}).Draw(t, "kind")
	o := put(kind, name, kinds[kind])
	switch rapid.IntRange(0, 4).Draw(t, "verb") {
	case 0:
		o = del(kind, name)
	case 1:
		o = merge(kind, name, kinds[kind])
	}
	return o.expecting(rapid.IntRange(anyGeneration, 4).Draw(t, "expect")).
		inSchema(rapid.SampledFrom([]int{1, 2, 2, 2, 3}).Draw(t, "schema")).
		withID(fmt.Sprint("id", rapid.IntRange(0, 40).Draw(t, "id")))
}

// drawLog draws the records of a stream: operations, of which some are truncated and
// some repeat an earlier record.
func drawLog(t *rapid.T) []sycconfig.Record {
	var log []sycconfig.Record
	for range rapid.IntRange(1, 40).Draw(t, "records") {
		data := drawOp(t).data()
		switch rapid.IntRange(0, 9).Draw(t, "form") {
		case 0:
			data = data[:len(data)/2]
		case 1:
			if len(log) > 0 {
				data = log[rapid.IntRange(0, len(log)-1).Draw(t, "again")].Data()
			}
		}
		log = append(log, sycconfig.NewRecord(uint64(len(log)), "", time.Time{}, data))
	}
	return log
}

// encode returns a state's encoded snapshot.
func encode(t must.T, s *sycconfig.State) []byte {
	data, err := s.Encode()
	must.NoError(t, err)
	return data
}

// TestSameFoldEverywhere gives a replica the records of a stream in any order, repeated,
// from the log, from peers and from snapshots. It checks that the replica's state is
// always that of applying the records in log order and never goes back to a lower
// offset.
func TestSameFoldEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		states := []*sycconfig.State{sycconfig.NewState()}
		snapshots := [][]byte{encode(t, states[0])}
		for _, record := range log {
			next, _ := states[len(states)-1].Apply(record.Offset(), record.Data())
			states = append(states, next)
			snapshots = append(snapshots, encode(t, next))
		}
		replica := sycconfig.NewReplica(sycconfig.NewState())
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			before := replica.State().Next()
			feed(t, replica, log, snapshots)
			must.GreaterEq(t, before, replica.State().Next())
			must.True(t, bytes.Equal(snapshots[replica.State().Next()], encode(t, replica.State())))
		}
		replica.Offer(log)
		must.EqOp(t, uint64(len(log)), replica.State().Next())
		must.Eq(t, snapshots[len(log)], encode(t, replica.State()))
	})
}

// feed gives the replica a random part of the log from a random source.
func feed(t *rapid.T, replica *sycconfig.Replica, log []sycconfig.Record, snapshots [][]byte) {
	at := rapid.IntRange(0, len(log)).Draw(t, "at")
	switch rapid.SampledFrom([]string{"log", "peer", "shuffled", "snapshot"}).Draw(t, "source") {
	case "log":
		replica.Offer(log[at:])
	case "peer":
		other := sycconfig.NewReplica(sycconfig.NewState())
		other.Offer(log[:at])
		_, records := other.Window(replica.State().Next(), rapid.IntRange(1, 10).Draw(t, "limit"))
		replica.Offer(records)
	case "shuffled":
		replica.Offer(rapid.Permutation(log).Draw(t, "order"))
	case "snapshot":
		state, err := sycconfig.Decode(snapshots[at])
		must.NoError(t, err)
		replica.Install(state)
	}
}

// TestRacingOperatorsHaveOneWinner appends operations of several operators that expect
// the same generation, in any order and some twice, as when an operator gets no
// response and repeats the append. Exactly one operation must be accepted.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generation := rapid.IntRange(0, 3).Draw(t, "generation")
		state := sycconfig.NewState()
		for range generation {
			state, _ = fold(state, put("customer", "c", customerSpec))
		}
		var ops []op
		operators := rapid.IntRange(2, 6).Draw(t, "operators")
		for i := range operators {
			o := put("customer", "c", fmt.Sprintf(`{"requests_per_second":%d,"burst":1}`, i+1)).expecting(generation).withID(fmt.Sprint("operator", i))
			ops = append(ops, o)
			if rapid.Bool().Draw(t, "twice") {
				ops = append(ops, o)
			}
		}
		state, results := fold(state, rapid.Permutation(ops).Draw(t, "order")...)
		accepted := map[string]bool{}
		for _, result := range results {
			if result.Accepted() {
				accepted[result.ID()] = true
			} else {
				must.NotEq(t, "", result.Reason())
			}
		}
		must.MapLen(t, 1, accepted)
		customer, _ := state.Customer("c")
		must.EqOp(t, uint64(generation+1), customer.Generation())
		must.True(t, accepted[fmt.Sprint("operator", int(customer.Value().Rate())-1)])
	})
}

// TestTableIsAMap compares a state's ordered table with a Go map while many names are
// put and deleted, so that leaves are split and become empty.
func TestTableIsAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := map[string]bool{}
		state := sycconfig.NewState()
		span := rapid.SampledFrom([]int{10, 1000}).Draw(t, "span")
		for range rapid.IntRange(0, 400).Draw(t, "changes") {
			name := fmt.Sprint("n", rapid.IntRange(0, span).Draw(t, "name"))
			if rapid.IntRange(0, 3).Draw(t, "verb") == 0 {
				state, _ = fold(state, del("endpoint", name))
				delete(model, name)
				continue
			}
			state, _ = fold(state, put("endpoint", name, `{"address":"http://127.0.0.1:1","failure_domain":"d","type":"engine"}`))
			model[name] = true
		}
		last := ""
		must.EqOp(t, len(model), len(state.Endpoints()))
		for _, endpoint := range state.Endpoints() {
			name := endpoint.Value().Name()
			must.True(t, model[name])
			must.Less(t, name, last)
			last = name
		}
	})
}
