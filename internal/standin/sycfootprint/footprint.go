// Package sycfootprint measures the control cost of a VM: the processor time, memory and
// traffic that a router uses without any customer requests, to poll engines and exchange
// state with other VMs. It starts a deployment of real router processes of a given size,
// keeps them idle and reads their usage.
package sycfootprint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
)

const (
	// settleTime is the wait before the measurement, after the customers' records were
	// applied, so that the work of starting up isn't measured.
	settleTime = 4 * time.Second
	// ticksPerSecond converts processor time in /proc, which is in clock ticks, to seconds.
	ticksPerSecond = 100
	// userField is the index of the user time in /proc/PID/stat, counted from 0 after the
	// program's name.
	userField = 11
	// systemField is the index of the system time, counted in the same way.
	systemField = 12
	// customersPerAppend limits the customer records in one append to the log.
	customersPerAppend = 500
)

// Size is the size of a deployment to measure.
type Size struct {
	// VMs is the number of VMs, each with one router.
	VMs int
	// Engines is the number of engines in the deployment.
	Engines int
	// Customers is the number of customer records in the configuration.
	Customers int
}

// Cost is the resource usage of one router, averaged over all VMs of a deployment.
type Cost struct {
	// Size is the size of the measured deployment.
	Size Size
	// Core is the average number of processor cores in use; 1 is one core in full use.
	Core float64
	// Memory is the resident memory at the end of the measurement, in bytes.
	Memory float64
	// PeerBytes is the traffic with other VMs in both directions, in bytes per second.
	PeerBytes float64
	// Polls is the number of polls of engines' load per second.
	Polls float64
}

// Options configures a measurement.
type Options struct {
	// Binary is the path of the router program.
	Binary string
	// Span is how long a deployment is measured, at least one second.
	Span time.Duration
	// DomainSize is the maximum number of VMs in a failure domain.
	DomainSize int
	// Profile is the file to which a processor profile of one router over the span is
	// written; empty for none. Profiling increases the measured cost.
	Profile string
}

// Measure starts a deployment of the given size, waits until it has settled and returns its
// cost over Options.Span.
func Measure(ctx context.Context, o Options, size Size) (cost Cost, err error) {
	d, err := sycdeploy.New(ctx, sycdeploy.Options{
		Workload: sycload.Idle(size.VMs, size.Engines, o.DomainSize),
		Binary:   o.Binary,
		Settings: o.settings(),
		Seed:     1,
	})
	if err != nil {
		return Cost{}, err
	}
	defer func() {
		if closed := d.Close(); err == nil {
			err = closed
		}
	}()
	if err := publishCustomers(ctx, d, size.Customers); err != nil {
		return Cost{}, err
	}
	if err := wait(ctx, settleTime); err != nil {
		return Cost{}, err
	}
	before, err := readUsage(ctx, d)
	if err != nil {
		return Cost{}, err
	}
	if err := o.awaitSpan(ctx, d); err != nil {
		return Cost{}, err
	}
	after, err := readUsage(ctx, d)
	if err != nil {
		return Cost{}, err
	}
	n := float64(size.VMs)
	return Cost{
		Size:      size,
		Core:      (after.seconds - before.seconds) / o.Span.Seconds() / n,
		Memory:    after.memory / n,
		PeerBytes: (after.bytes - before.bytes) / o.Span.Seconds() / n,
		Polls:     (after.polls - before.polls) / o.Span.Seconds() / n,
	}, nil
}

// settings returns the setting by which routers serve processor profiles, or nil if no
// profile is requested.
func (o Options) settings() map[string]string {
	if o.Profile == "" {
		return nil
	}
	return map[string]string{"operators.pprof": "true"}
}

// awaitSpan waits for the span and, if requested, writes the profile of the first router.
func (o Options) awaitSpan(ctx context.Context, d *sycdeploy.Deployment) error {
	if o.Profile == "" {
		return wait(ctx, o.Span)
	}
	url := fmt.Sprintf("%s/debug/pprof/profile?seconds=%d", d.Routers()[0].OperatorURL(), int(o.Span.Seconds()))
	body, err := fetch(ctx, url)
	if err != nil {
		return err
	}
	defer body.Close()
	file, err := os.Create(o.Profile)
	if err != nil {
		return eris.Wrap(err, "footprint")
	}
	defer file.Close()
	_, err = io.Copy(file, body)
	return eris.Wrap(err, "footprint: profile")
}

// publishCustomers appends records of n customers to the log and waits until all routers
// have applied them.
func publishCustomers(ctx context.Context, d *sycdeploy.Deployment, n int) error {
	var list []sycrecord.Operation
	var next uint64
	for i := range n {
		list = append(list, sycdeploy.Put(sycrecord.KindCustomer, fmt.Sprintf("customer-%d", i), sycrecord.CustomerFields{Rate: 1, Burst: 5}))
		if len(list) < customersPerAppend && i < n-1 {
			continue
		}
		var err error
		if next, err = d.Publish(ctx, list...); err != nil {
			return err
		}
		list = nil
	}
	return d.AwaitApplied(ctx, next)
}

// wait waits for the span or until the context ends.
func wait(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}

// resourceUsage holds what all routers of a deployment together have used up to one moment.
type resourceUsage struct {
	// seconds is the processor time since the processes started.
	seconds float64
	// memory is the resident memory in bytes.
	memory float64
	// bytes is the traffic with other VMs since the processes started.
	bytes float64
	// polls is the number of polls of engines' load since the processes started.
	polls float64
}

// readUsage reads the usage of all routers from /proc and from their metrics.
func readUsage(ctx context.Context, d *sycdeploy.Deployment) (resourceUsage, error) {
	var sum resourceUsage
	for _, r := range d.Routers() {
		seconds, memory, err := processUsage(r.PID())
		if err != nil {
			return sum, err
		}
		bytes, err := metric(ctx, r.OperatorURL()+"/metrics", "sycamorecart_peer_bytes_total")
		if err != nil {
			return sum, err
		}
		polls, err := metric(ctx, r.OperatorURL()+"/metrics", "sycamorecart_feed_polls_total")
		if err != nil {
			return sum, err
		}
		sum.seconds += seconds
		sum.memory += memory
		sum.bytes += bytes
		sum.polls += polls
	}
	return sum, nil
}

// processUsage reads the processor time in seconds and the resident memory in bytes of a process
// from /proc.
func processUsage(pid int) (seconds, memory float64, err error) {
	line, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, eris.Wrap(err, "footprint")
	}
	_, rest, ok := strings.Cut(string(line), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= systemField {
		return 0, 0, eris.Errorf("footprint: /proc/%d/stat has no processor times", pid)
	}
	user, _ := strconv.ParseFloat(fields[userField], 64)
	system, _ := strconv.ParseFloat(fields[systemField], 64)
	pages, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, eris.Wrap(err, "footprint")
	}
	var total, resident float64
	if _, err := fmt.Sscan(string(pages), &total, &resident); err != nil {
		return 0, 0, eris.Wrap(err, "footprint")
	}
	return (user + system) / ticksPerSecond, resident * float64(os.Getpagesize()), nil
}

// fetch returns the body of a page of a router's operator endpoint, such as its metrics. The
// caller closes it.
func fetch(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "footprint")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "footprint")
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, eris.Errorf("footprint: %s responded with %s", url, response.Status)
	}
	return response.Body, nil
}

// metric returns the sum over all label values of the named metric in the metrics text at
// the URL.
func metric(ctx context.Context, url, name string) (float64, error) {
	body, err := fetch(ctx, url)
	if err != nil {
		return 0, err
	}
	defer body.Close()
	sum := 0.0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		series, value, _ := strings.Cut(lines.Text(), " ")
		if series != name && !strings.HasPrefix(series, name+"{") {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, eris.Wrapf(err, "footprint: %s", series)
		}
		sum += v
	}
	return sum, eris.Wrap(lines.Err(), "footprint")
}

// Slope fits a line through costs by linear regression. The functions size and cost select
// the two quantities. It returns the cost of one more unit of size and the cost at size 0.
func Slope(costs []Cost, size, cost func(Cost) float64) (slope, base float64) {
	xs := make([]float64, len(costs))
	ys := make([]float64, len(costs))
	for i, c := range costs {
		xs[i] = size(c)
		ys[i] = cost(c)
	}
	base, slope = stat.LinearRegression(xs, ys, nil, false)
	return slope, base
}
