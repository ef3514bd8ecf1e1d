package sycpublish_test

import (
	"encoding/json"
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/operate/sycpublish"
)

// TestDocumentedRecordsAreAccepted applies the examples of the page on records in their
// order. All must be accepted, and there must be examples of each kind that operators
// publish in both schema versions.
func TestDocumentedRecordsAreAccepted(t *testing.T) {
	page, err := os.ReadFile("../../../docs/RECORDS.md")
	must.NoError(t, err)
	blocks := regexp.MustCompile("(?s)```json\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	state := sycconfig.NewStream(sycconfig.ConfigStream)
	seen := map[sycrecord.Kind]map[int]bool{}
	for _, block := range blocks {
		ops, err := sycpublish.Read(strings.NewReader(block[1]))
		must.NoError(t, err)
		for _, op := range ops {
			data, err := json.Marshal(op)
			must.NoError(t, err)
			next, result := state.Apply(state.Next(), data)
			must.True(t, result.Accepted(), must.Sprint(string(data), result.Reason()))
			state = next
			if seen[op.Kind] == nil {
				seen[op.Kind] = map[int]bool{}
			}
			seen[op.Kind][op.Schema] = true
		}
	}
	kinds := []sycrecord.Kind{
		sycrecord.KindCustomer, sycrecord.KindKey, sycrecord.KindRoute,
		sycrecord.KindEndpoint, sycrecord.KindVersion, sycrecord.KindSlots,
	}
	for _, kind := range kinds {
		must.Eq(t, map[int]bool{1: true, 2: true}, seen[kind], must.Sprint(kind))
	}
}

// TestReadReportsAllFaults checks that Read reports every faulty record, not just the first.
func TestReadReportsAllFaults(t *testing.T) {
	const good = `{"schema":2,"id":"x","op":"delete","kind":"key","name":"k"}`
	cases := []struct {
		name   string
		input  string
		faults int
	}{
		{"good", good, 0},
		{"array", "[" + good + "]", 0},
		{"id appears twice", good + good, 1},
		{"two faulty records", "{}" + good + "[]", 2},
	}
	for _, c := range cases {
		_, err := sycpublish.Read(strings.NewReader(c.input))
		var input *sycpublish.InputError
		if errors.As(err, &input) {
			must.SliceLen(t, c.faults, input.Faults, must.Sprint(c.name))
			continue
		}
		must.NoError(t, err, must.Sprint(c.name))
		must.Zero(t, c.faults, must.Sprint(c.name))
	}
	_, err := sycpublish.Read(strings.NewReader("{"))
	var syntax *sycpublish.SyntaxError
	must.True(t, errors.As(err, &syntax))
}
