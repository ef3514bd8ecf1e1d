// Package sycfootprint measures what control costs a VM: real router processes
// stand idle before engines of growing number, and their processor time, memory
// and bytes to other VMs are read.
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
	// settleTime lets a deployment come to rest before it is measured.
	settleTime = 4 * time.Second
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
	// Fields of /proc/PID/stat after the program's name.
	userField   = 11
	systemField = 12
	// customersPerAppend bounds the records of one append.
	customersPerAppend = 500
)

// Size is the size of a deployment.
type Size struct {
	VMs       int
	Engines   int
	Customers int
}

// Cost is what control costs one VM, averaged over all of them.
type Cost struct {
	Size Size
	// Core is the part of a core, 0 to 1.
	Core float64
	// Memory is the resident memory in bytes.
	Memory float64
	// PeerBytes is the traffic with other VMs, both ways, in bytes a second.
	PeerBytes float64
	// Polls is the number of load polls a second.
	Polls float64
}

// Options tells how to measure.
type Options struct {
	// Binary is the router program.
	Binary string
	// Span is how long each size is measured, at least a second.
	Span time.Duration
	// DomainSize is the largest number of VMs in a failure domain.
	DomainSize int
	// Profile names the file that gets a processor profile of one router over
	// the span; empty takes none, and a profile adds to the cost.
	Profile string
}

// Measure runs a deployment of the given size and reads its cost over the span.
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
	before, err := read(ctx, d)
	if err != nil {
		return Cost{}, err
	}
	if err := o.watch(ctx, d); err != nil {
		return Cost{}, err
	}
	after, err := read(ctx, d)
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

func (o Options) settings() map[string]string {
	if o.Profile == "" {
		return nil
	}
	return map[string]string{"operators.pprof": "true"}
}

// watch lets the span pass and takes the profile.
func (o Options) watch(ctx context.Context, d *sycdeploy.Deployment) error {
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

func wait(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}

// reading sums what all routers have used so far.
type reading struct {
	seconds float64
	memory  float64
	bytes   float64
	polls   float64
}

func read(ctx context.Context, d *sycdeploy.Deployment) (reading, error) {
	var sum reading
	for _, r := range d.Routers() {
		seconds, memory, err := process(r.PID())
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

// process reads a process's processor time in seconds and resident memory in bytes.
func process(pid int) (seconds, memory float64, err error) {
	line, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, eris.Wrap(err, "footprint")
	}
	_, rest, ok := strings.Cut(string(line), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= systemField {
		return 0, 0, eris.Errorf("footprint: process %d shows no times", pid)
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

// fetch returns the body of an operators' page.
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
		return nil, eris.Errorf("footprint: %s answered %s", url, response.Status)
	}
	return response.Body, nil
}

// metric sums the series of a metric.
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

// Slope fits a line through costs and returns what one more unit of a size
// costs, and the cost at a size of 0.
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
