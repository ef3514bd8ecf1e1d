package sycstate_test

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

// customers is the number of customers at the size that the system is designed for.
const customers = 23_000

// BenchmarkStart measures the time from a VM's start until it is ready and has applied
// the records of 23,000 customers with one key each.
func BenchmarkStart(b *testing.B) {
	logrus.SetOutput(io.Discard)
	p := platform(b, sycplatform.Options{AppendsPerSecond: 1e6})
	existing := startWith(b, sycstate.Options{Retention: time.Minute}, p.URL(), false)
	fill(b, existing)
	records := p.Records(sycstate.SnapshotStream)
	eventually(b, "a snapshot of all customers", func() bool {
		records = p.Records(sycstate.SnapshotStream)
		return len(records) > 0 && chunk(b, records[len(records)-1]).Next == 2*customers
	})
	cases := []struct {
		name string
		// down tells whether the starting VM can't reach the log.
		down  bool
		peers []*vm
	}{
		{"peers", true, []*vm{existing}},
		{"log", false, nil},
		{"both", false, []*vm{existing}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				joining := startWith(b, sycstate.Options{}, p.URL(), c.down, c.peers...)
				for !joining.store.Ready() || joining.store.Config().Next() < existing.store.Config().Next() {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
}

// chunk decodes a record of the snapshots stream.
func chunk(b *testing.B, record sycplatform.Record) sycconfig.Chunk {
	b.Helper()
	var c sycconfig.Chunk
	must.NoError(b, json.Unmarshal(record.Data, &c))
	return c
}

// fill proposes all customers and their keys in large batches.
func fill(b *testing.B, v *vm) {
	b.Helper()
	const batch = 500
	var ops []sycrecord.Operation
	for i := range customers {
		name := fmt.Sprintf("customer-%05d", i)
		spec, err := json.Marshal(sycrecord.KeyFields{Customer: name, SHA256: fmt.Sprintf("%064x", i)})
		must.NoError(b, err)
		key := sycrecord.Operation{Verb: sycrecord.Put, Kind: sycrecord.KindKey, Name: name, Spec: spec}
		ops = append(ops, customer(b, name, 1), key)
		if len(ops) < batch && i < customers-1 {
			continue
		}
		_, err = v.store.ProposeAll(b.Context(), sycstate.ConfigStream, ops...)
		must.NoError(b, err)
		ops = ops[:0]
	}
}
