package sycrecord_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// hash is the SHA-256 of a secret.
const hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// TestSchemasGiveTheSameValue checks that a spec in schema version 1 and its
// equivalent in version 2 parse to the same value, defaults included.
func TestSchemasGiveTheSameValue(t *testing.T) {
	deadline := `"2026-12-04T06:00:00Z"`
	cases := []struct {
		kind    string
		schema1 string
		schema2 string
	}{
		{"customer", `{"requests_per_minute":90,"burst":3}`, `{"requests_per_second":1.5,"burst":3,"weight":1}`},
		{"key", `{"customer":"c","sha256":"` + hash + `"}`, `{"customer":"c","sha256":"` + hash + `"}`},
		{"route", `{"prefix":"/v1","type":"model","timeout_seconds":120}`, `{"prefix":"/v1","type":"model"}`},
		{
			"endpoint",
			`{"address":"http://127.0.0.1:1","zone":"Volos","type":"engine","models":["m"]}`,
			`{"address":"http://127.0.0.1:1","failure_domain":"Volos","type":"engine","models":["m"],"max_concurrent":32}`,
		},
		{
			"version",
			`{"model":"m","weights":"w","deadline":` + deadline + `,"canary_percent":5,"step_percents":[25,50,100],"bake_seconds":30}`,
			`{"model":"m","weights":"w","deadline":` + deadline + `}`,
		},
		{
			"slots",
			`{"share":0.5,"slots":[{"name":"a","address":"127.0.0.1:1","fraction":1}]}`,
			`{"share":0.5,"slots":[{"name":"a","address":"127.0.0.1:1","fraction":1}]}`,
		},
	}
	for _, c := range cases {
		first, err := sycrecord.Parse([]byte(`{"schema":1,"id":"i","op":"put","kind":"` + c.kind + `","name":"n","spec":` + c.schema1 + `}`))
		must.NoError(t, err)
		second, err := sycrecord.Parse([]byte(`{"schema":2,"id":"i","op":"put","kind":"` + c.kind + `","name":"n","spec":` + c.schema2 + `}`))
		must.NoError(t, err)
		must.Eq(t, second.Value(), first.Value(), must.Cmp(compareAll))
		must.EqOp(t, sycrecord.Kind(c.kind), first.Value().Kind())
	}
}

// TestParseListsAllFaults checks that an invalid record gives a fault for each
// invalid field, not only for the first.
func TestParseListsAllFaults(t *testing.T) {
	cases := []struct {
		name   string
		record string
		paths  []string
	}{
		{"not json", `{`, []string{"record"}},
		{"not utf-8", "\"\xff\"", []string{"record"}},
		{"not an object", `[]`, []string{"", "schema", "id", "name", "op", "kind"}},
		{"too large", `"` + strings.Repeat("x", sycrecord.MaxRecord) + `"`, []string{"record"}},
		{"unknown envelope field", `{"schema":2,"id":"i","op":"put","kind":"customer","name":"c","extra":1,"spec":{"requests_per_second":1,"burst":1}}`, []string{"extra"}},
		{"names match exactly", `{"schema":2,"id":"i","op":"put","kind":"customer","name":"c","spec":{"Burst":1,"requests_per_second":1}}`, []string{"spec.Burst"}},
		{"schema 1 field in schema 2", `{"schema":2,"id":"i","op":"put","kind":"customer","name":"c","spec":{"requests_per_minute":1,"burst":"x"}}`, []string{"spec.burst", "spec.requests_per_minute"}},
		{"schema 2 field in schema 1", `{"schema":1,"id":"i","op":"put","kind":"endpoint","name":"e","spec":{"failure_domain":"z"}}`, []string{"spec.failure_domain"}},
		{"numbers out of range", `{"schema":2,"id":"i","op":"put","kind":"customer","name":"c","spec":{"requests_per_second":-1,"burst":0.5,"weight":-2,"priority":5000}}`, []string{"spec.weight", "spec.requests_per_second", "spec.burst", "spec.priority"}},
		{"overflow", `{"schema":2,"id":"i","op":"put","kind":"customer","name":"c","spec":{"requests_per_second":1e400,"burst":1}}`, []string{"spec.requests_per_second"}},
		{"key", `{"schema":2,"id":"i","op":"put","kind":"key","name":"k","spec":{"sha256":"ABC"}}`, []string{"spec.customer", "spec.sha256"}},
		{"route", `{"schema":2,"id":"i","op":"put","kind":"route","name":"r","spec":{"prefix":"a//b?c","type":"service","models":["m"],"timeout":"-1s"}}`, []string{"spec.prefix", "spec.prefix", "spec.prefix", "spec.service", "spec.models", "spec.timeout"}},
		{"endpoint", `{"schema":2,"id":"i","op":"put","kind":"endpoint","name":"e","spec":{"address":"127.0.0.1:1","type":"engine","service":"s","max_concurrent":-1}}`, []string{"spec.address", "spec.failure_domain", "spec.service", "spec.max_concurrent"}},
		{"unknown role", `{"schema":2,"id":"i","op":"put","kind":"endpoint","name":"e","spec":{"address":"http://127.0.0.1:1","failure_domain":"z","type":"engine","role":"encode"}}`, []string{"spec.role"}},
		{"role of a service", `{"schema":2,"id":"i","op":"put","kind":"endpoint","name":"e","spec":{"address":"http://127.0.0.1:1","failure_domain":"z","type":"service","service":"s","role":"both"}}`, []string{"spec.role"}},
		{"role in schema 1", `{"schema":1,"id":"i","op":"put","kind":"endpoint","name":"e","spec":{"address":"http://127.0.0.1:1","zone":"z","type":"engine","role":"both"}}`, []string{"spec.role"}},
		{"probation below 0", `{"schema":2,"id":"i","op":"put","kind":"version","name":"v","spec":{"model":"m","weights":"w","deadline":"2030-01-01T06:00:00Z","probation":"-1s"}}`, []string{"spec.probation"}},
		{"version without deadline", `{"schema":2,"id":"i","op":"put","kind":"version","name":"v","spec":{"model":"m","weights":"w","canary_share":0.9,"steps":[0.5,0.5]}}`, []string{"spec.deadline", "spec.canary_share", "spec.steps[0]", "spec.steps[1]", "spec.steps"}},
		{"unknown slot field", `{"schema":2,"id":"i","op":"put","kind":"slots","name":"d","spec":{"share":1.5,"slots":[{"name":"a","address":"x:1","fraction":0.6},{"name":"a","address":"127.0.0.1:1","fraction":0.6,"nam":"b"}]}}`, []string{"spec.slots[1].nam"}},
		{"shares and fractions above 1, repeated name", `{"schema":2,"id":"i","op":"put","kind":"slots","name":"d","spec":{"share":1.5,"slots":[{"name":"a","address":"x:1","fraction":0.6},{"name":"a","address":"127.0.0.1:1","fraction":0.6}]}}`, []string{"spec.share", "spec.slots[0].address", "spec.slots[1].name", "spec.slots"}},
		{"unknown verb and kind", `{"schema":2,"id":"i","op":"set","kind":"tenant","name":"\"q"}`, []string{"name", "op", "kind"}},
		{"delete with spec", `{"schema":2,"id":"i","op":"delete","kind":"key","name":"k","spec":{}}`, []string{"spec"}},
		{"put without spec", `{"schema":2,"id":"i","op":"put","kind":"key","name":"k"}`, []string{"spec"}},
		{"spec null", `{"schema":2,"id":"i","op":"put","kind":"key","name":"k","spec":null}`, []string{"spec"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := sycrecord.Parse([]byte(c.record))
			var faults *sycrecord.FaultsError
			must.True(t, errors.As(err, &faults))
			var paths []string
			for _, f := range faults.Faults {
				paths = append(paths, f.Path)
			}
			must.Eq(t, c.paths, paths)
		})
	}
}

// TestNewerSchemaKeepsTheEnvelope checks that the name of a record's object can be
// read although the schema version is too new for its spec.
func TestNewerSchemaKeepsTheEnvelope(t *testing.T) {
	change, err := sycrecord.Parse([]byte(`{"schema":3,"id":"i","op":"put","kind":"customer","name":"c","later":1,"spec":{"new":1}}`))
	var newer *sycrecord.SchemaError
	must.True(t, errors.As(err, &newer))
	must.EqOp(t, 3, newer.Schema)
	must.EqOp(t, "c", change.Operation().Name)
}

// TestDraftNeedsNoID checks that ParseDraft accepts a record without an ID and that
// Parse rejects it.
func TestDraftNeedsNoID(t *testing.T) {
	draft := []byte(`{"schema":2,"op":"delete","kind":"key","name":"k"}`)
	_, err := sycrecord.ParseDraft(draft)
	must.NoError(t, err)
	_, err = sycrecord.Parse(draft)
	must.EqError(t, err, "id: is required")
}

// FuzzParse checks that a value that Parse accepts is accepted again, unchanged,
// after it was marshalled.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"schema":1,"id":"i","op":"put","kind":"customer","name":"c","spec":{"requests_per_minute":90,"burst":3}}`))
	f.Add([]byte(`{"schema":2,"id":"i","op":"put","kind":"route","name":"r","spec":{"prefix":"/a","type":"model","timeout":"3s"}}`))
	f.Add([]byte(`{"schema":2,"id":"i","op":"put","kind":"version","name":"v","spec":{"model":"m","weights":"w","initial":true}}`))
	f.Add([]byte(`{"schema":9,"id":"i","op":"put","kind":"x","name":"v"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		change, err := sycrecord.Parse(data)
		if err != nil || change.Value() == nil {
			return
		}
		spec, err := json.Marshal(sycrecord.Fields(change.Value()))
		must.NoError(t, err)
		op := change.Operation()
		op.Schema = sycrecord.NewestSchema
		op.Spec = spec
		again, err := json.Marshal(op)
		must.NoError(t, err)
		if len(again) > sycrecord.MaxRecord {
			return
		}
		second, err := sycrecord.Parse(again)
		must.NoError(t, err)
		must.Eq(t, change.Value(), second.Value(), must.Cmp(compareAll))
	})
}

// TestDurations checks that a timeout in schema version 1 keeps fractions of a second.
func TestDurations(t *testing.T) {
	change, err := sycrecord.Parse([]byte(`{"schema":1,"id":"i","op":"put","kind":"route","name":"r","spec":{"prefix":"/a","type":"service","service":"s","timeout_seconds":1.5}}`))
	must.NoError(t, err)
	route, ok := change.Value().(sycrecord.Route)
	must.True(t, ok)
	must.EqOp(t, 1500*time.Millisecond, route.Timeout())
}
