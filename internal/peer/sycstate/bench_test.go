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
	// fleet is the number of VMs of today's larger site.
	fleet = 8
	// domainFleet is that of a failure domain at the size to design for.
	domainFleet = 70
)

// BenchmarkPropagation measures from the append of a record until all VMs have
// folded it, with the times of production.
func BenchmarkPropagation(b *testing.B) {
	logrus.SetOutput(io.Discard)
	cases := []struct {
		name string
		vms  int
		// cut is the number of VMs that reach peers only, readers that of those
		// that read the log for the others.
		cut, readers int
	}{
		{"log", fleet, 0, fleet},
		{"peers", fleet, fleet - 1, fleet},
		{"domain-log", domainFleet, 0, domainFleet},
		{"domain-relayed", domainFleet, 0, 2},
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
				v.know(slices.Concat(vms[:i], vms[i+1:])...)
			}
			eventually(b, "ready", func() bool { return all(vms, func(v *vm) bool { return v.store.Ready() }) })
			for _, v := range vms[c.vms-c.cut:] {
				v.network.cut.Store(true)
			}
			var times []time.Duration
			rate := 0.0
			began, before := time.Now(), logCalls(vms)
			for b.Loop() {
				rate++
				start := time.Now()
				_, err := vms[0].store.Propose(b.Context(), sycstate.ConfigStream, customer(b, "c", rate))
				must.NoError(b, err)
				for !all(vms, func(v *vm) bool { return v.has("c", rate)() }) {
					time.Sleep(100 * time.Microsecond)
				}
				times = append(times, time.Since(start))
			}
			calls := float64(logCalls(vms) - before)
			b.ReportMetric(calls/time.Since(began).Seconds(), "log-calls/s")
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-median")
			b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "ms-worst")
		})
	}
}

// logCalls counts the calls that VMs have made to the log.
func logCalls(vms []*vm) int64 {
	var sum int64
	for _, v := range vms {
		sum += v.network.calls.Load()
	}
	return sum
}

func all(vms []*vm, f func(*vm) bool) bool {
	for _, v := range vms {
		if !f(v) {
			return false
		}
	}
	return true
}

// updates is the number of updates that each writer completes in one round.
const updates = 10

// BenchmarkContention lets writers change one field each of the same object:
// by a merge, which is evaluated where the state is, and by reading the object
// and writing it under the condition that it has not changed, as often as it
// takes.
func BenchmarkContention(b *testing.B) {
	logrus.SetOutput(io.Discard)
	recipes := []struct {
		name   string
		update func(ctx context.Context, v *vm, name string, value int) error
	}{
		{"operation", mergeUpdate},
		{"read_then_write", casUpdate},
	}
	for _, recipe := range recipes {
		for _, writers := range []int{1, 2, 4, fleet} {
			b.Run(fmt.Sprintf("%s/%d", recipe.name, writers), func(b *testing.B) {
				// Without the log's rate limit, which would hide the retries' own cost.
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
					contend(b, vms, recipe.update)
				}
				done := float64(rounds * writers * updates)
				b.ReportMetric(float64(len(p.Records(sycstate.ConfigStream))-1)/done, "appends/update")
				b.ReportMetric(done/b.Elapsed().Seconds(), "updates/s")
			})
		}
	}
}

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

// mergeUpdate sets one field by an operation.
func mergeUpdate(ctx context.Context, v *vm, name string, value int) error {
	return complete(ctx, v, sycrecord.Operation{
		Verb: sycrecord.Merge,
		Kind: sycrecord.KindCustomer,
		Name: name,
		Spec: json.RawMessage(fmt.Sprintf(`{"burst":%d}`, value)),
	})
}

// casUpdate reads the object, changes one field and writes the object back if
// it has still the same generation, until that succeeds.
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
		if err != errRefused {
			return err
		}
	}
}

var errRefused = fmt.Errorf("refused")

// complete proposes an operation, waiting out the log's rate limit.
func complete(ctx context.Context, v *vm, op sycrecord.Operation) error {
	for {
		result, err := v.store.Propose(ctx, sycstate.ConfigStream, op)
		if limited(err) {
			continue
		}
		if err == nil && !result.Accepted() {
			return errRefused
		}
		return err
	}
}

func limited(err error) bool {
	unavailable, ok := err.(*syclog.UnavailableError)
	return ok && unavailable.Status != 0
}
