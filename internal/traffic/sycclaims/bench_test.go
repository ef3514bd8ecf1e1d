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

// countingLog counts the appends of all VMs and the bytes that they read.
type countingLog struct {
	sycclaims.Log
	// appends is the number of appends.
	appends *atomic.Int64
	// readBytes is the number of bytes of data and ids in the records read.
	readBytes *atomic.Int64
}

func (l countingLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (syclog.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	for _, r := range page.Records {
		l.readBytes.Add(int64(len(r.Data) + len(r.ID)))
	}
	return page, err
}

func (l countingLog) Append(ctx context.Context, stream string, entries ...syclog.Entry) (uint64, error) {
	l.appends.Add(1)
	return l.Log.Append(ctx, stream, entries...)
}

// BenchmarkClaims runs calls, each with a key of its own, through 8 VMs on a log that accepts
// 400 appends per second.
func BenchmarkClaims(b *testing.B) {
	const vms = 8
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", vms*callers), func(b *testing.B) {
			var appends, readBytes atomic.Int64
			f := newFleet(b, vms, func(o *sycclaims.Options) { o.Log = countingLog{o.Log, &appends, &readBytes} })
			var mu sync.Mutex
			latencies := hdrhistogram.New(1, 1e7, 3)
			var next, failed atomic.Int64
			start := time.Now()
			var group sync.WaitGroup
			for n := range vms * callers {
				group.Go(func() {
					for key := next.Add(1); key <= int64(b.N); key = next.Add(1) {
						callStart := time.Now()
						_, err := claimAndRun(f.drivers[vm(n%vms)], fmt.Sprint(key), func() sycclaim.Answer { return sycclaim.Answer{Status: 200} })
						if err != nil {
							failed.Add(1)
							continue
						}
						mu.Lock()
						_ = latencies.RecordValue(time.Since(callStart).Microseconds())
						mu.Unlock()
					}
				})
			}
			group.Wait()
			seconds := time.Since(start).Seconds()
			b.ReportMetric(float64(b.N)/seconds, "calls/s")
			b.ReportMetric(float64(appends.Load())/seconds, "appends/s")
			b.ReportMetric(float64(readBytes.Load())/float64(vms*b.N), "read-B/call/VM")
			b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1e3, "p50-ms")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1e3, "p99-ms")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}
