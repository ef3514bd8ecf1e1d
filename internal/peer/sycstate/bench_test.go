package sycstate_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

const (
	// fleetVMs is the number of VMs of the larger of today's sites.
	fleetVMs = 8
	// domainVMs is the number of VMs in a failure domain at the size that the system is
	// designed for.
	domainVMs = 70
)

// BenchmarkPropagation measures the time from the append of a record until all VMs have
// applied it, with the default options.
func BenchmarkPropagation(b *testing.B) {
	logrus.SetOutput(io.Discard)
	cases := []struct {
		name string
		vms  int
		// peersOnly is the number of VMs that can't reach the log, readers the number
		// of VMs that read the log for the others.
		peersOnly, readers int
	}{
		{"log", fleetVMs, 0, fleetVMs},
		{"peers", fleetVMs, fleetVMs - 1, fleetVMs},
		{"domain-log", domainVMs, 0, domainVMs},
		{"domain-relayed", domainVMs, 0, 2},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			p := platform(b, sycplatform.Options{})
			vms := make([]*vm, c.vms)
			for i := range vms {
				reads := i < c.readers
				o := sycstate.Options{ReadsLog: func() bool { return reads }}
				vms[i] = startWith(b, o, p.URL(), false)
			}
			for i, v := range vms {
				v.setPeers(slices.Concat(vms[:i], vms[i+1:])...)
			}
			eventually(b, "ready", func() bool { return all(vms, func(v *vm) bool { return v.store.Ready() }) })
			for _, v := range vms[c.vms-c.peersOnly:] {
				v.network.down.Store(true)
			}
			var times []time.Duration
			rate := 0.0
			start, before := time.Now(), logCalls(vms)
			for b.Loop() {
				rate++
				proposed := time.Now()
				_, err := vms[0].store.Propose(b.Context(), sycstate.ConfigStream, customer(b, "c", rate))
				must.NoError(b, err)
				for !all(vms, func(v *vm) bool { return v.has("c", rate)() }) {
					time.Sleep(100 * time.Microsecond)
				}
				times = append(times, time.Since(proposed))
			}
			calls := float64(logCalls(vms) - before)
			b.ReportMetric(calls/time.Since(start).Seconds(), "log-calls/s")
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-median")
			b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "ms-worst")
		})
	}
}

// logCalls returns the number of HTTP requests that VMs have sent to the log.
func logCalls(vms []*vm) int64 {
	var sum int64
	for _, v := range vms {
		sum += v.network.calls.Load()
	}
	return sum
}

// all reports whether f returns true for every VM.
func all(vms []*vm, f func(*vm) bool) bool {
	for _, v := range vms {
		if !f(v) {
			return false
		}
	}
	return true
}

// updates is the number of updates that each writer completes in one iteration.
const updates = 10

// BenchmarkContention has writers concurrently change a field of the same object, in two
// ways: by a merge operation, and by compare-and-swap, which reads the object and writes
// it back on the condition that it hasn't changed, until that succeeds.
func BenchmarkContention(b *testing.B) {
	logrus.SetOutput(io.Discard)
	methods := []struct {
		name   string
		update func(ctx context.Context, v *vm, name string, value int) error
	}{
		{"operation", mergeUpdate},
		{"read_then_write", casUpdate},
	}
	for _, method := range methods {
		for _, writers := range []int{1, 2, 4, fleetVMs} {
			b.Run(fmt.Sprintf("%s/%d", method.name, writers), func(b *testing.B) {
				// A high rate limit of the log, because a low one would hide the cost of retries.
				p := platform(b, sycplatform.Options{AppendsPerSecond: 1e6})
				vms := make([]*vm, writers)
				for i := range vms {
					vms[i] = startWith(b, sycstate.Options{}, p.URL(), false)
				}
				_, err := vms[0].store.Propose(b.Context(), sycstate.ConfigStream, customer(b, "c", 1))
				must.NoError(b, err)
				rounds := 0
				for b.Loop() {
					rounds++
					contend(b, vms, method.update)
				}
				done := float64(rounds * writers * updates)
				b.ReportMetric(float64(len(p.Records(sycstate.ConfigStream))-1)/done, "appends/update")
				b.ReportMetric(done/b.Elapsed().Seconds(), "updates/s")
			})
		}
	}
}

// contend has each VM make its updates, all VMs at once.
func contend(b *testing.B, vms []*vm, update func(context.Context, *vm, string, int) error) {
	var group sync.WaitGroup
	for _, v := range vms {
		group.Go(func() {
			for i := range updates {
				must.NoError(b, update(b.Context(), v, "c", i+1))
			}
		})
	}
	group.Wait()
}

// mergeUpdate sets the burst of a customer by a merge operation.
func mergeUpdate(ctx context.Context, v *vm, name string, value int) error {
	return complete(ctx, v, sycrecord.Operation{
		Verb: sycrecord.Merge,
		Kind: sycrecord.KindCustomer,
		Name: name,
		Spec: json.RawMessage(fmt.Sprintf(`{"burst":%d}`, value)),
	})
}

// casUpdate sets the burst of a customer by compare-and-swap: it writes the customer back
// if its generation hasn't changed since it was read, and retries otherwise.
func casUpdate(ctx context.Context, v *vm, name string, value int) error {
	for {
		object, _ := v.store.Config().Customer(name)
		fields, ok := sycrecord.Fields(object.Value()).(sycrecord.CustomerFields)
		if !ok {
			return fmt.Errorf("customer %q is missing", name)
		}
		fields.Burst = float64(value)
		spec, err := json.Marshal(fields)
		if err != nil {
			return err
		}
		generation := object.Generation()
		err = complete(ctx, v, sycrecord.Operation{
			Verb:   sycrecord.Put,
			Kind:   sycrecord.KindCustomer,
			Name:   name,
			Expect: &generation,
			Spec:   spec,
		})
		if err != errRejected {
			return err
		}
	}
}

// errRejected reports an operation that was rejected when it was applied.
var errRejected = fmt.Errorf("rejected")

// complete proposes an operation, and retries while the log's rate limit rejects it.
func complete(ctx context.Context, v *vm, op sycrecord.Operation) error {
	for {
		result, err := v.store.Propose(ctx, sycstate.ConfigStream, op)
		if limited(err) {
			continue
		}
		if err == nil && !result.Accepted() {
			return errRejected
		}
		return err
	}
}

// limited reports whether the log rejected an append by an HTTP status, such as that of
// its rate limit.
func limited(err error) bool {
	unavailable, ok := err.(*syclog.UnavailableError)
	return ok && unavailable.Status != 0
}
