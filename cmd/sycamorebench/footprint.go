package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycfootprint"
)

const footprintUsage = `footprint [flags]

Measures what control costs an idle VM, with router processes of a given binary
beside this program: for growing numbers of VMs, engines and customers, the part
of a core, the memory and the bytes to and from other VMs, and their slopes.

  sycamorebench footprint -vms 4,8,16,32 -engines 10,40,80 -customers 10,2000,8000

`

// footprintCommand measures the resources that an idle VM uses for control, as the
// deployment grows.
type footprintCommand struct {
	// binary is the path of the router program; empty for the sycamorecart that is in
	// the same folder as this program.
	binary string
	// vms, engines and customers each list the numbers to measure, separated by
	// commas. While one of them grows, the others stay at their first number.
	vms       string
	engines   string
	customers string
	// span is how long each size of deployment is measured.
	span time.Duration
	// profile is the path of the file for a CPU profile of a router; empty for none.
	profile string
	// domain is the largest number of VMs in a failure domain.
	domain int
}

// Name implements subcommands.Command.
func (*footprintCommand) Name() string { return "footprint" }

// Synopsis implements subcommands.Command.
func (*footprintCommand) Synopsis() string { return "measure what control costs a VM" }

// Usage implements subcommands.Command.
func (*footprintCommand) Usage() string { return footprintUsage }

// SetFlags implements subcommands.Command.
func (c *footprintCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.binary, "binary", "", "router `program`; the one beside this program by default")
	f.StringVar(&c.vms, "vms", "4,8,16,32", "`numbers` of VMs, with the first number of engines and customers")
	f.StringVar(&c.engines, "engines", "10,40,80", "`numbers` of engines, with the first number of VMs and customers")
	f.StringVar(&c.customers, "customers", "10,2000,8000", "`numbers` of customers, with the first number of VMs and engines")
	f.DurationVar(&c.span, "span", 8*time.Second, "how long each size is measured")
	f.IntVar(&c.domain, "domain", 4, "largest number of `VMs` in a failure domain")
	f.StringVar(&c.profile, "profile", "", "`file` for a processor profile of a router; the last size overwrites the others")
}

// Execute implements subcommands.Command.
func (c *footprintCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	if c.domain <= 0 {
		return failed(eris.New("a failure domain needs a VM"))
	}
	if c.binary == "" {
		binary, err := sycdeploy.FindBinary()
		if err != nil {
			return failed(err)
		}
		c.binary = binary
	}
	if err := c.run(ctx); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

// dimension is one size of a deployment that the command varies: its number of VMs,
// engines or customers.
type dimension struct {
	// name is the name of the dimension in the output.
	name string
	// numbers are the values to measure. The first is used while another dimension
	// varies.
	numbers []int
	// set sets this dimension of a size.
	set func(size *sycfootprint.Size, n int)
	// get returns the value of this dimension at which a cost was measured.
	get func(c sycfootprint.Cost) float64
}

// run measures each dimension while the other two stay at their first number.
func (c *footprintCommand) run(ctx context.Context) error {
	var dimensions []dimension
	for _, d := range []struct {
		name, list string
		field      func(s *sycfootprint.Size) *int
	}{
		{"VMs", c.vms, func(s *sycfootprint.Size) *int { return &s.VMs }},
		{"engines", c.engines, func(s *sycfootprint.Size) *int { return &s.Engines }},
		{"customers", c.customers, func(s *sycfootprint.Size) *int { return &s.Customers }},
	} {
		numbers, err := parseNumbers(d.list)
		if err != nil {
			return eris.Wrap(err, d.name)
		}
		dimensions = append(dimensions, dimension{
			name:    d.name,
			numbers: numbers,
			set:     func(s *sycfootprint.Size, n int) { *d.field(s) = n },
			get:     func(cost sycfootprint.Cost) float64 { return float64(*d.field(&cost.Size)) },
		})
	}
	for _, d := range dimensions {
		if err := c.measure(ctx, d, dimensions); err != nil {
			return err
		}
	}
	return nil
}

// options returns the measurement's options given by the flags.
func (c *footprintCommand) options() sycfootprint.Options {
	return sycfootprint.Options{Binary: c.binary, Span: c.span, DomainSize: c.domain, Profile: c.profile}
}

// parseNumbers parses a comma-separated list of positive numbers. It requires at least
// three, so that a slope can be fitted to their costs.
func parseNumbers(list string) ([]int, error) {
	var numbers []int
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || n <= 0 {
			return nil, eris.Errorf("%q is not a number above 0", text)
		}
		numbers = append(numbers, n)
	}
	if len(numbers) < 3 {
		return nil, eris.Errorf("a slope needs three sizes, not %d", len(numbers))
	}
	return numbers, nil
}

// measure measures deployments at each number of one dimension, with the other
// dimensions at their first number, and prints the costs and their slopes.
func (c *footprintCommand) measure(ctx context.Context, varied dimension, all []dimension) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VMs\tengines\tcustomers\tcore\tmemory MiB\tpeer bytes/s\tload polls/s")
	var costs []sycfootprint.Cost
	for _, n := range varied.numbers {
		var size sycfootprint.Size
		for _, d := range all {
			d.set(&size, d.numbers[0])
		}
		varied.set(&size, n)
		cost, err := sycfootprint.Measure(ctx, c.options(), size)
		if err != nil {
			return err
		}
		costs = append(costs, cost)
		fmt.Fprintf(table, "%d\t%d\t%d\t%.4f\t%.1f\t%.0f\t%.1f\n", size.VMs, size.Engines, size.Customers, cost.Core, cost.Memory/(1<<20), cost.PeerBytes, cost.Polls)
	}
	core, _ := sycfootprint.Slope(costs, varied.get, func(c sycfootprint.Cost) float64 { return c.Core })
	memory, _ := sycfootprint.Slope(costs, varied.get, func(c sycfootprint.Cost) float64 { return c.Memory })
	bytes, _ := sycfootprint.Slope(costs, varied.get, func(c sycfootprint.Cost) float64 { return c.PeerBytes })
	fmt.Fprintf(table, "each more of %s\t\t\t%.6f\t%.4f\t%.1f\n\n", varied.name, core, memory/(1<<20), bytes)
	return table.Flush()
}
