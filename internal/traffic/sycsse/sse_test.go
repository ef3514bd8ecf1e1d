package sycsse_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/traffic/sycsse"
)

// TestReader checks the events and the final error of streams that are read one byte
// at a time.
func TestReader(t *testing.T) {
	type event struct{ name, id, data string }
	cases := []struct {
		name, in string
		events   []event
		err      error
	}{
		{"empty", "", nil, io.EOF},
		{"one event", "data: a\n\n", []event{{"", "", "a"}}, io.EOF},
		{"all fields", "event: e\nid: 1\ndata: a\ndata: b\n\n", []event{{"e", "1", "a\nb"}}, io.EOF},
		{"no space after the colon", "data:a\n\n", []event{{"", "", "a"}}, io.EOF},
		{"CR LF", "data: a\r\n\r\ndata: b\r\n\r\n", []event{{"", "", "a"}, {"", "", "b"}}, io.EOF},
		{"comment", ": ping\n\ndata: a\n\n", []event{{"", "", "a"}}, io.EOF},
		{"name without data is dropped", "event: e\n\ndata: a\n\n", []event{{"", "", "a"}}, io.EOF},
		{"empty data", "data:\n\n", []event{{"", "", ""}}, io.EOF},
		{"stream ends within a line", "data: a\n\ndata: b", []event{{"", "", "a"}}, io.ErrUnexpectedEOF},
		{"stream ends before the empty line", "data: a\n", nil, io.ErrUnexpectedEOF},
		{"too long", "data: " + strings.Repeat("a", sycsse.MaxEventSize) + "\n\n", nil, sycsse.ErrTooLong},
		{"too many lines", strings.Repeat("data: a\n", sycsse.MaxEventSize/8+1), nil, sycsse.ErrTooLong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := sycsse.NewReader(iotest.OneByteReader(strings.NewReader(c.in)))
			for _, want := range c.events {
				e, err := r.Next()
				must.NoError(t, err)
				must.Eq(t, want, event{string(e.Name), string(e.ID), string(e.Data)})
			}
			_, err := r.Next()
			must.ErrorIs(t, err, c.err)
		})
	}
}

// TestAppendRoundTrip checks that a Reader reads the events that Append writes.
func TestAppendRoundTrip(t *testing.T) {
	b := sycsse.Append(nil, 7, "e", []byte(`{"a":1}`))
	b = sycsse.Append(b, sycsse.NoID, "", []byte("[DONE]"))
	r := sycsse.NewReader(bytes.NewReader(b))
	e, err := r.Next()
	must.NoError(t, err)
	must.Eq(t, "e 7 {\"a\":1}", string(e.Name)+" "+string(e.ID)+" "+string(e.Data))
	e, err = r.Next()
	must.NoError(t, err)
	must.Eq(t, " [DONE]", string(e.ID)+" "+string(e.Data))
}

// FuzzReader checks that Next returns only the errors that it documents, and that data
// that was read is the same after writing and reading it again.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{"data: a\n\n", "event: e\nid: 1\ndata: a\n\n", ":\r\n\r\ndata\n\n", "data: a"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		r := sycsse.NewReader(bytes.NewReader(in))
		for range len(in) + 1 {
			e, err := r.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, sycsse.ErrTooLong) {
					t.Fatalf("unexpected error: %v", err)
				}
				return
			}
			if bytes.Contains(e.Data, []byte("\n")) || bytes.HasSuffix(e.Data, []byte("\r")) {
				continue
			}
			again, err := sycsse.NewReader(bytes.NewReader(sycsse.Append(nil, 1, "", e.Data))).Next()
			if err != nil || !bytes.Equal(again.Data, e.Data) {
				t.Fatalf("%q was read as %q, error %v", e.Data, again.Data, err)
			}
		}
		t.Fatal("the reader returned more events than the input has bytes")
	})
}
