package sycstream_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/traffic/sycstream"
)

// TestIDRoundTrip checks that parsing an encoded ID returns the ID, and that Digest tells
// a model from the start of a prompt.
func TestIDRoundTrip(t *testing.T) {
	id := sycstream.ID{Endpoint: "e", Stream: "s", Weights: "w", Adapter: "a", Digest: "d"}
	got, err := sycstream.ParseID(id.String())
	must.NoError(t, err)
	must.Eq(t, id, got)
	must.NotEq(t, sycstream.Digest("r", "m", "p", 1), sycstream.Digest("r", "mp", "", 1))
}

// FuzzParseID checks that every ID that ParseID accepts names an endpoint and a
// stream, and is the same after encoding and parsing it again.
func FuzzParseID(f *testing.F) {
	f.Add(sycstream.ID{Endpoint: "e", Stream: "s"}.String())
	f.Add("%%")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := sycstream.ParseID(text)
		if err != nil {
			return
		}
		if id.Endpoint == "" || id.Stream == "" {
			t.Fatalf("ID without endpoint or stream: %+v", id)
		}
		again, err := sycstream.ParseID(id.String())
		if err != nil || again != id {
			t.Fatalf("%+v was parsed as %+v, error %v", id, again, err)
		}
	})
}
