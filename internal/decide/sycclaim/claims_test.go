package sycclaim_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
)

// epoch is the log's time at second 0 of a step.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var settings = sycclaim.Settings{Lifetime: time.Minute, AnswerBytes: 100}

// step is a record and the second of the log's time at which it is stored.
type step struct {
	second int
	record sycclaim.Record
}

// apply applies the record of a step at an offset.
func apply(t *testing.T, c *sycclaim.Claims, offset uint64, s step) {
	t.Helper()
	data, err := json.Marshal(s.record)
	must.NoError(t, err)
	c.Apply(offset, epoch.Add(time.Duration(s.second)*time.Second), data)
}

// claim returns a KindClaim record of the name "n".
func claim(id string) sycclaim.Record {
	return sycclaim.Record{Kind: sycclaim.KindClaim, Name: "n", ID: id, Holder: "vm-" + id, Digest: "d"}
}

// record returns a record of the name "n" that follows the claim with the ID.
func record(kind sycclaim.Kind, id string) sycclaim.Record {
	return sycclaim.Record{Kind: kind, Name: "n", ID: id}
}

// answer returns a KindAnswer record of the name "n".
func answer(id, body string) sycclaim.Record {
	r := record(sycclaim.KindAnswer, id)
	r.Answer = &sycclaim.Answer{Status: 200, Body: []byte(body)}
	return r
}

// TestApply applies the records of each case and looks up the claim at the end.
func TestApply(t *testing.T) {
	cases := []struct {
		name string
		// steps are applied at the offsets 0, 1, …
		steps []step
		// id is the ID of the claim in force at the end; empty for none.
		id string
		// state is the state of that claim.
		state sycclaim.State
	}{
		{"first wins", []step{{0, claim("a")}, {0, claim("b")}}, "a", sycclaim.Claimed},
		{"expires by the log's time", []step{{0, claim("a")}, {60, claim("b")}}, "b", sycclaim.Claimed},
		{"in force until its lifetime ends", []step{{0, claim("a")}, {59, claim("b")}}, "a", sycclaim.Claimed},
		{"time never goes back", []step{{60, claim("a")}, {0, claim("b")}, {61, claim("c")}}, "a", sycclaim.Claimed},
		{"answered", []step{{0, claim("a")}, {1, answer("a", "x")}}, "a", sycclaim.Answered},
		{"answer of another", []step{{0, claim("a")}, {1, answer("b", "x")}}, "a", sycclaim.Claimed},
		{"released", []step{{0, claim("a")}, {1, record(sycclaim.KindRelease, "a")}, {2, claim("b")}}, "b", sycclaim.Claimed},
		{"release by another", []step{{0, claim("a")}, {1, record(sycclaim.KindRelease, "b")}}, "a", sycclaim.Claimed},
		{"release after an answer", []step{{0, claim("a")}, {1, answer("a", "x")}, {2, record(sycclaim.KindRelease, "a")}}, "a", sycclaim.Answered},
		{"release after a loss", []step{{0, claim("a")}, {1, record(sycclaim.KindLost, "a")}, {2, record(sycclaim.KindRelease, "a")}}, "a", sycclaim.Lost},
		{"loss after an answer", []step{{0, claim("a")}, {1, answer("a", "x")}, {2, record(sycclaim.KindLost, "a")}}, "a", sycclaim.Answered},
		{"repeated claim record", []step{{0, claim("a")}, {0, claim("a")}, {1, answer("a", "x")}, {2, claim("a")}}, "a", sycclaim.Answered},
		{"removed after its lifetime", []step{{0, claim("a")}, {100, sycclaim.Record{Kind: sycclaim.KindClaim, Name: "other", ID: "o"}}}, "", 0},
		{"oldest body discarded", []step{{0, claim("a")}, {1, answer("a", string(make([]byte, 101)))}}, "a", sycclaim.Answered},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := sycclaim.New(settings)
			for i, s := range c.steps {
				apply(t, state, uint64(i), s)
			}
			entry, ok := state.Lookup("n")
			must.Eq(t, c.id != "", ok)
			must.Eq(t, c.id, entry.ID())
			must.Eq(t, c.state, entry.State())
			if c.state == sycclaim.Answered {
				got, hasBody := entry.Answer()
				must.Eq(t, 200, got.Status)
				must.Eq(t, c.name != "oldest body discarded", hasBody)
			}
		})
	}
}

// TestGapMakesClaimsDoubtful checks that a claim is doubtful if records were missed that
// may hold an older claim still in force.
func TestGapMakesClaimsDoubtful(t *testing.T) {
	cases := []struct {
		name string
		// known is the log time, after epoch, before which all discarded records were stored.
		known time.Duration
		// state is the state that a claim at second 10 must have.
		state sycclaim.State
	}{
		{"discarded records may be recent", 30 * time.Second, sycclaim.Doubtful},
		{"discarded records are old", -time.Minute, sycclaim.Claimed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := sycclaim.New(settings)
			state.Skip(5, epoch.Add(c.known))
			apply(t, state, 5, step{10, claim("a")})
			entry, _ := state.Lookup("n")
			must.Eq(t, c.state, entry.State())
		})
	}
	state := sycclaim.New(settings)
	apply(t, state, 0, step{0, claim("a")})
	apply(t, state, 7, step{61, claim("b")})
	entry, _ := state.Lookup("n")
	must.Eq(t, sycclaim.Doubtful, entry.State())
}

// TestWhereReadingBeganDoesNotMatter applies the same records from their start and from
// a later offset. A claim that isn't doubtful to the late reader must be the claim in
// force to the reader from the start.
func TestWhereReadingBeganDoesNotMatter(t *testing.T) {
	kinds := []sycclaim.Kind{sycclaim.KindClaim, sycclaim.KindClaim, sycclaim.KindRelease, sycclaim.KindLost}
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(r, "records")
		begin := rapid.IntRange(0, n-1).Draw(r, "begin")
		full, late := sycclaim.New(settings), sycclaim.New(settings)
		now := 0
		for i := range n {
			now += rapid.IntRange(0, 30).Draw(r, "seconds")
			id := fmt.Sprint(rapid.IntRange(0, 5).Draw(r, "id"))
			rec := record(rapid.SampledFrom(kinds).Draw(r, "kind"), id)
			apply(t, full, uint64(i), step{now, rec})
			if i < begin {
				continue
			}
			apply(t, late, uint64(i), step{now, rec})
			claimed, ok := late.Lookup("n")
			if !ok || claimed.State() != sycclaim.Claimed {
				continue
			}
			inForce, found := full.Lookup("n")
			must.True(r, found)
			must.Eq(r, inForce.ID(), claimed.ID())
		}
	})
}

// TestNamesSeparateScopes checks that parts of different scopes and keys that give the
// same concatenation still give different names.
func TestNamesSeparateScopes(t *testing.T) {
	names := map[string]bool{}
	for _, c := range []sycclaim.Call{
		{Customer: "c", Route: "r", Key: "k"},
		{Customer: "cr", Route: "", Key: "k"},
		{Customer: "c", Route: "rk", Key: ""},
		{Customer: "", Route: "cr", Key: "k"},
	} {
		names[c.Name()] = true
	}
	must.MapLen(t, 4, names)
}
