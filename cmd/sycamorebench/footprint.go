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

type footprintCommand struct {
	binary    string
	vms       string
	engines   string
	customers string
	span      time.Duration
	profile   string
	domain    int
}

// Name is the command's name.
func (*footprintCommand) Name() string { return "footprint" }

// Synopsis describes the command in a line.
func (*footprintCommand) Synopsis() string { return "measure what control costs a VM" }

// Usage describes the command.
func (*footprintCommand) Usage() string { return footprintUsage }

// SetFlags declares the flags.
func (c *footprintCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.binary, "binary", "", "router `program`; the one beside this program by default")
	f.StringVar(&c.vms, "vms", "4,8,16,32", "`numbers` of VMs, with the first number of engines and customers")
	f.StringVar(&c.engines, "engines", "10,40,80", "`numbers` of engines, with the first number of VMs and customers")
	f.StringVar(&c.customers, "customers", "10,2000,8000", "`numbers` of customers, with the first number of VMs and engines")
	f.DurationVar(&c.span, "span", 8*time.Second, "how long each size is measured")
	f.IntVar(&c.domain, "domain", 4, "largest number of `VMs` in a failure domain")
	f.StringVar(&c.profile, "profile", "", "`file` for a processor profile of a router; the last size overwrites the others")
}

// Execute measures and prints.
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

// axis is one way in which a deployment grows.
type axis struct {
	name    string
	numbers []int
	set     func(size *sycfootprint.Size, n int)
	get     func(c sycfootprint.Cost) float64
}

func (c *footprintCommand) run(ctx context.Context) error {
	var axes []axis
	for _, a := range []struct {
		name, list string
		field      func(s *sycfootprint.Size) *int
	}{
		{"VMs", c.vms, func(s *sycfootprint.Size) *int { return &s.VMs }},
		{"engines", c.engines, func(s *sycfootprint.Size) *int { return &s.Engines }},
		{"customers", c.customers, func(s *sycfootprint.Size) *int { return &s.Customers }},
	} {
		numbers, err := parseNumbers(a.list)
		if err != nil {
			return eris.Wrap(err, a.name)
		}
		axes = append(axes, axis{
			name:    a.name,
			numbers: numbers,
			set:     func(s *sycfootprint.Size, n int) { *a.field(s) = n },
			get:     func(cost sycfootprint.Cost) float64 { return float64(*a.field(&cost.Size)) },
		})
	}
	for _, a := range axes {
		if err := c.measure(ctx, a, axes); err != nil {
			return err
		}
	}
	return nil
}

func (c *footprintCommand) options() sycfootprint.Options {
	return sycfootprint.Options{Binary: c.binary, Span: c.span, DomainSize: c.domain, Profile: c.profile}
}

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

// measure grows a deployment along one axis and prints its costs and slopes.
func (c *footprintCommand) measure(ctx context.Context, a axis, all []axis) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VMs\tengines\tcustomers\tcore\tmemory MiB\tpeer bytes/s\tload polls/s")
	var costs []sycfootprint.Cost
	for _, n := range a.numbers {
		var size sycfootprint.Size
		for _, other := range all {
			other.set(&size, other.numbers[0])
		}
		a.set(&size, n)
		cost, err := sycfootprint.Measure(ctx, c.options(), size)
		if err != nil {
			return err
		}
		costs = append(costs, cost)
		fmt.Fprintf(table, "%d\t%d\t%d\t%.4f\t%.1f\t%.0f\t%.1f\n", size.VMs, size.Engines, size.Customers, cost.Core, cost.Memory/(1<<20), cost.PeerBytes, cost.Polls)
	}
	core, _ := sycfootprint.Slope(costs, a.get, func(c sycfootprint.Cost) float64 { return c.Core })
	memory, _ := sycfootprint.Slope(costs, a.get, func(c sycfootprint.Cost) float64 { return c.Memory })
	bytes, _ := sycfootprint.Slope(costs, a.get, func(c sycfootprint.Cost) float64 { return c.PeerBytes })
	fmt.Fprintf(table, "each more of %s\t\t\t%.6f\t%.4f\t%.1f\n\n", a.name, core, memory/(1<<20), bytes)
	return table.Flush()
}
