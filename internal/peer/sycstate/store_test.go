package sycstate_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

// TestRacingProposalsHaveOneWinner has three VMs create the same customer at once.
func TestRacingProposalsHaveOneWinner(t *testing.T) {
	p := platform(t, sycplatform.Options{})
	vms := []*vm{start(t, p.URL(), false), start(t, p.URL(), false), start(t, p.URL(), false)}
	results := make([]sycconfig.Result, len(vms))
	var group sync.WaitGroup
	for i, v := range vms {
		group.Go(func() {
			op := customer(t, "c", float64(i+1))
			op.Expect = new(uint64)
			result, err := v.store.Propose(t.Context(), sycstate.ConfigStream, op)
			must.NoError(t, err)
			results[i] = result
		})
	}
	group.Wait()
	winners := 0
	for i, result := range results {
		var lost *sycconfig.GenerationError
		if result.Accepted() {
			winners++
			for _, v := range vms {
				eventually(t, "all VMs apply the accepted operation", v.has("c", float64(i+1)))
			}
			continue
		}
		must.True(t, errors.As(result.Err(), &lost))
	}
	must.EqOp(t, 1, winners)
}

// TestLostResponseAppendsOnce loses the response to an append that succeeded: the retry
// must not add a second record.
func TestLostResponseAppendsOnce(t *testing.T) {
	p := platform(t, sycplatform.Options{})
	v := start(t, p.URL(), false)
	eventually(t, "ready", v.store.Ready)
	p.SetFaults(sycplatform.Faults{LoseAppends: 1})
	result, err := v.store.Propose(t.Context(), sycstate.ConfigStream, customer(t, "c", 1))
	must.NoError(t, err)
	must.True(t, result.Accepted())
	must.SliceLen(t, 1, p.Records(sycstate.ConfigStream))
}

// TestRecordsReachVMsThatTheLogDoesNot checks that VMs that can't reach the log get records
// and proofs from peers, also from a peer that got them from another one.
func TestRecordsReachVMsThatTheLogDoesNot(t *testing.T) {
	p := platform(t, sycplatform.Options{})
	a := start(t, p.URL(), false)
	b := start(t, p.URL(), false, a)
	// b is c's only peer, so that c gets the records of a through b.
	c := start(t, p.URL(), true, b)
	eventually(t, "all ready", func() bool { return a.store.Ready() && b.store.Ready() && c.store.Ready() })
	b.network.down.Store(true)
	_, err := a.store.Propose(t.Context(), sycstate.ConfigStream, customer(t, "c", 1))
	must.NoError(t, err)
	eventually(t, "one hop", b.has("c", 1))
	eventually(t, "two hops", c.has("c", 1))
	// A VM sends a record to peers before it has applied the proof that came with it.
	var age time.Duration
	eventually(t, "proof", func() bool {
		var ok bool
		age, ok = c.store.ProofAge(sycstate.ConfigStream)
		return ok
	})
	must.Positive(t, age)
}

// TestOutageFailsProposalsAndLosesNothing proposes operations before, during and after an
// outage of the log.
func TestOutageFailsProposalsAndLosesNothing(t *testing.T) {
	p := platform(t, sycplatform.Options{})
	v := start(t, p.URL(), false)
	_, err := v.store.Propose(t.Context(), sycstate.ConfigStream, customer(t, "c", 1))
	must.NoError(t, err)
	// The proposal needs only the config stream; the VM is ready once it has read the
	// system stream too.
	eventually(t, "ready", v.store.Ready)
	p.SetFaults(sycplatform.Faults{Log: sycplatform.Fault{Out: true}})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = v.store.Propose(ctx, sycstate.ConfigStream, customer(t, "c", 2))
	must.Error(t, err)
	must.True(t, v.store.Ready())
	must.True(t, v.has("c", 1)())
	p.SetFaults(sycplatform.Faults{})
	_, err = v.store.Propose(t.Context(), sycstate.ConfigStream, customer(t, "c", 3))
	must.NoError(t, err)
	must.True(t, v.has("c", 3)())
}

// TestStartsFromAnySource starts a VM from the log, from peers, or from both, also after
// the log has dropped records.
func TestStartsFromAnySource(t *testing.T) {
	cases := []struct {
		name string
		// keep is the number of records that the log keeps, 0 for all.
		keep int
		// down tells whether the starting VM can't reach the log.
		down bool
		// peers tells whether the starting VM knows a VM that has all records.
		peers bool
	}{
		{"log alone", 0, false, false},
		{"peers alone", 0, true, true},
		{"peers alone, log dropped records", 3, true, true},
		{"log dropped records, peers have them", 3, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := platform(t, sycplatform.Options{RetainCount: c.keep})
			existing := start(t, p.URL(), false)
			for i := range 10 {
				_, err := existing.store.Propose(t.Context(), sycstate.ConfigStream, customer(t, fmt.Sprint(i), 1))
				must.NoError(t, err)
			}
			var known []*vm
			if c.peers {
				known = append(known, existing)
			}
			joining := start(t, p.URL(), c.down, known...)
			eventually(t, "ready", joining.store.Ready)
			eventually(t, "caught up", func() bool { return joining.store.Config().Next() == 10 })
			must.Eq(t, encode(t, existing), encode(t, joining))
		})
	}
}

// encode returns a VM's config state as a snapshot.
func encode(t *testing.T, v *vm) []byte {
	t.Helper()
	data, err := v.store.Config().Encode()
	must.NoError(t, err)
	return data
}

// TestSnapshotsOutliveTheRetention starts a VM without peers after the log's retention has
// dropped all config records: it must get the state from the snapshots in the log.
func TestSnapshotsOutliveTheRetention(t *testing.T) {
	p := platform(t, sycplatform.Options{RetainAge: 2 * time.Second})
	writers := []*vm{start(t, p.URL(), false), start(t, p.URL(), false)}
	_, err := writers[0].store.Propose(t.Context(), sycstate.ConfigStream, customer(t, "c", 1))
	must.NoError(t, err)
	eventually(t, "the log drops the record", func() bool { return len(p.Records(sycstate.ConfigStream)) == 0 })
	joining := start(t, p.URL(), false)
	eventually(t, "ready", joining.store.Ready)
	must.True(t, joining.has("c", 1)())
}

// TestReplacedLogDoesNotRevert replaces the log by another at the same address. The VM
// must keep its state and report the fault.
func TestReplacedLogDoesNotRevert(t *testing.T) {
	cases := []struct {
		name    string
		records int
	}{
		{"shorter", 1},
		{"longer", 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := platform(t, sycplatform.Options{})
			v := start(t, first.URL(), false)
			for i := range 3 {
				_, err := v.store.Propose(t.Context(), sycstate.ConfigStream, customer(t, fmt.Sprint(i), 1))
				must.NoError(t, err)
			}
			address := first.Address()
			must.NoError(t, first.Close())
			second := platform(t, sycplatform.Options{Address: address})
			writer := start(t, second.URL(), false)
			for i := range c.records {
				_, err := writer.store.Propose(t.Context(), sycstate.ConfigStream, customer(t, fmt.Sprint("other", i), 1))
				must.NoError(t, err)
			}
			eventually(t, "reported", func() bool {
				status := v.store.Status()[0]
				return status.LogEndsBefore || status.LogDiffers
			})
			must.EqOp(t, uint64(3), v.store.Config().Next())
			must.True(t, v.has("2", 1)())
			must.False(t, v.has("other0", 1)())
		})
	}
}

// TestListenersAreCalledAfterEachChange checks that listeners are called after a record
// was applied, and that its result is kept.
func TestListenersAreCalledAfterEachChange(t *testing.T) {
	p := platform(t, sycplatform.Options{})
	v := start(t, p.URL(), false)
	seen := make(chan uint64, 16)
	v.store.OnChange(func(time.Duration) { seen <- v.store.Config().Next() })
	_, err := v.store.Propose(t.Context(), sycstate.ConfigStream, customer(t, "c", 1))
	must.NoError(t, err)
	for next := range seen {
		if next == 1 {
			break
		}
	}
	results := v.store.Results(sycstate.ConfigStream, 0)
	must.SliceLen(t, 1, results)
	must.True(t, results[0].Accepted())
}

// TestOtherVMsReadFromTheLogReader has one VM read the log for two others. These get its
// records without reading the log, append their own operations, and read the log
// themselves when the first VM can't reach it any more.
func TestOtherVMsReadFromTheLogReader(t *testing.T) {
	p := platform(t, sycplatform.Options{})
	options := sycstate.Options{
		ReadWait:    200 * time.Millisecond,
		PeerPoll:    20 * time.Millisecond,
		MaxProofAge: time.Minute,
		Retention:   time.Hour,
	}
	reader := startWith(t, options, p.URL(), false)
	options.ReadsLog = func() bool { return false }
	one := startWith(t, options, p.URL(), false, reader)
	options.MaxProofAge = time.Second
	two := startWith(t, options, p.URL(), false, reader, one)
	reader.setPeers(one, two)
	relayed := []*vm{one, two}
	eventually(t, "ready", func() bool { return all(relayed, func(v *vm) bool { return v.store.Ready() }) })

	// A VM that reads the log sends at least two requests per record.
	const records = 20
	before := one.network.calls.Load()
	for i := range records {
		rate := float64(i + 1)
		_, err := reader.store.Propose(t.Context(), sycstate.ConfigStream, customer(t, "c", rate))
		must.NoError(t, err)
		eventually(t, "relayed", func() bool {
			return all(relayed, func(v *vm) bool { return v.has("c", rate)() })
		})
	}
	must.Less(t, before+records, one.network.calls.Load())

	_, err := one.store.Propose(t.Context(), sycstate.ConfigStream, customer(t, "c", 100))
	must.NoError(t, err)
	must.True(t, one.has("c", 100)())

	reader.network.down.Store(true)
	must.NoError(t, appendDirectly(t, p.URL(), customer(t, "c", 200)))
	eventually(t, "read the log without the reader", two.has("c", 200))
}

// TestPeersAreNotPolledWhileTheLogResponds counts the queries to peers during long polls of
// the log. A long poll takes longer than the time between polls of peers, and must not
// count as a log that doesn't respond.
func TestPeersAreNotPolledWhileTheLogResponds(t *testing.T) {
	p := platform(t, sycplatform.Options{})
	other := startWith(t, sycstate.Options{}, p.URL(), false)
	v := startWith(t, sycstate.Options{}, p.URL(), false, other)
	eventually(t, "proven", func() bool {
		_, config := v.store.ProofAge(sycstate.ConfigStream)
		_, system := v.store.ProofAge(sycstate.SystemStream)
		return config && system
	})
	const reads = 8
	calls, queries := v.network.calls.Load(), v.peers.queries.Load()
	eventually(t, "long polls", func() bool { return v.network.calls.Load() >= calls+reads })
	must.Less(t, queries+reads/2, v.peers.queries.Load())
}

// appendDirectly appends an operation to the log without a store.
func appendDirectly(t *testing.T, address string, op sycrecord.Operation) error {
	t.Helper()
	op.ID, op.Schema = "direct", sycrecord.NewestSchema
	data, err := json.Marshal(op)
	must.NoError(t, err)
	client := syclog.New(syclog.Options{Address: address})
	defer client.Close()
	_, err = client.Append(t.Context(), sycstate.ConfigStream, syclog.Entry{ID: op.ID, Data: data})
	return err
}
