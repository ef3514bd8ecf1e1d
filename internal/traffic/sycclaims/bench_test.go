package sycclaims_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
	"sycamorecart.example/sycamorecart/internal/traffic/sycclaims"
)

// countedLog counts the appends of all VMs, and the bytes of data that they read.
type countedLog struct {
	sycclaims.Log
	appends *atomic.Int64
	read    *atomic.Int64
}

func (l countedLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (syclog.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	for _, r := range page.Records {
		l.read.Add(int64(len(r.Data) + len(r.ID)))
	}
	return page, err
}

func (l countedLog) Append(ctx context.Context, stream string, entries ...syclog.Entry) (uint64, error) {
	l.appends.Add(1)
	return l.Log.Append(ctx, stream, entries...)
}

// BenchmarkClaims runs calls with keys of their own through 8 VMs on a log that
// takes 400 appends a second.
func BenchmarkClaims(b *testing.B) {
	const vms = 8
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", vms*callers), func(b *testing.B) {
			var appends, read atomic.Int64
			f := newFleet(b, vms, func(o *sycclaims.Options) { o.Log = countedLog{o.Log, &appends, &read} })
			var mu sync.Mutex
			waits := hdrhistogram.New(1, 1e7, 3)
			var next, failed atomic.Int64
			start := time.Now()
			var group sync.WaitGroup
			for n := range vms * callers {
				group.Go(func() {
					for key := next.Add(1); key <= int64(b.N); key = next.Add(1) {
						began := time.Now()
						_, err := attempt(f.drivers[vm(n%vms)], fmt.Sprint(key), func() sycclaim.Answer { return sycclaim.Answer{Status: 200} })
						if err != nil {
							failed.Add(1)
							continue
						}
						mu.Lock()
						_ = waits.RecordValue(time.Since(began).Microseconds())
						mu.Unlock()
					}
				})
			}
			group.Wait()
			seconds := time.Since(start).Seconds()
			b.ReportMetric(float64(b.N)/seconds, "calls/s")
			b.ReportMetric(float64(appends.Load())/seconds, "appends/s")
			b.ReportMetric(float64(read.Load())/float64(vms*b.N), "read-B/call/VM")
			b.ReportMetric(float64(waits.ValueAtQuantile(50))/1e3, "p50-ms")
			b.ReportMetric(float64(waits.ValueAtQuantile(99))/1e3, "p99-ms")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}
