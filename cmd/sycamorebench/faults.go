package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycoracle"
	"sycamorecart.example/sycamorecart/internal/standin/sycscenario"
)

const faultsUsage = `faults [flags]

Runs real router processes through faults, each alone and then two together,
while customers send requests, and prints how often each property was tried and
broken. Exit 1 when one was broken.

  sycamorebench faults -binary ./sycamorecart
  sycamorebench faults -only 'herd' -verbose

`

// faultsCommand runs router processes through fault scenarios and checks the
// properties that must hold.
type faultsCommand struct {
	// workload is the name of the workload.
	workload string
	// binary is the path of the router program; empty for the sycamorecart that is in
	// the same folder as this program.
	binary string
	// only selects the scenarios whose names contain it.
	only string
	// seed is the seed of the planned requests.
	seed uint64
	// verbose makes the routers write their logs to standard error.
	verbose bool
}

// Name implements subcommands.Command.
func (*faultsCommand) Name() string { return "faults" }

// Synopsis implements subcommands.Command.
func (*faultsCommand) Synopsis() string { return "run routers through faults and check the properties" }

// Usage implements subcommands.Command.
func (*faultsCommand) Usage() string { return faultsUsage }

// SetFlags implements subcommands.Command.
func (c *faultsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.workload, "workload", "bottlers", "bottlers or dairies")
	f.StringVar(&c.binary, "binary", "", "router `program`; sycamorecart beside this one by default")
	f.StringVar(&c.only, "only", "", "run only the scenarios whose name contains `text`")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the requests")
	f.BoolVar(&c.verbose, "verbose", false, "show the routers' logs")
}

// Execute implements subcommands.Command.
func (c *faultsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	total, err := c.run(ctx)
	if err != nil {
		return failed(err)
	}
	if err := total.Write(os.Stdout); err != nil {
		return failed(err)
	}
	if !total.Sound() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// options returns the scenarios' options given by the flags.
func (c *faultsCommand) options() (sycscenario.Options, error) {
	workload, ok := sycload.FindWorkload(c.workload)
	if !ok {
		return sycscenario.Options{}, eris.Errorf("no workload %q", c.workload)
	}
	binary := c.binary
	if binary == "" {
		found, err := sycdeploy.FindBinary()
		if err != nil {
			return sycscenario.Options{}, err
		}
		binary = found
	}
	var output io.Writer
	if c.verbose {
		output = os.Stderr
	}
	return sycscenario.Options{Binary: binary, Workload: workload, Seed: c.seed, Output: output}, nil
}

// run runs the selected scenarios one after the other, prints what each measured and
// returns how often each property was checked and violated.
func (c *faultsCommand) run(ctx context.Context) (*sycoracle.Ledger, error) {
	options, err := c.options()
	if err != nil {
		return nil, err
	}
	total := sycoracle.NewLedger()
	for _, s := range slices.Concat(sycscenario.Scenarios(), sycscenario.Pairs()) {
		if !strings.Contains(s.Name(), c.only) {
			continue
		}
		ledger, result, err := sycscenario.Run(ctx, s, options)
		if err != nil {
			return nil, err
		}
		t := result.Total
		fmt.Printf("%s: sent %d, right %d, wrong %d, refused %d (%d within the rate), failed %d, resumes %d\n",
			s.Name(), t.Sent, t.Right, t.Wrong, t.Refused, t.RefusedWithinRate, t.Failed, t.Resumes)
		for _, r := range result.Customers {
			if r.RefusedWithinRate > 0 {
				fmt.Printf("  %s: refused %d of %d within the rate, sent %d\n", r.Customer, r.RefusedWithinRate, r.WithinRate, r.Sent)
			}
		}
		for _, reason := range slices.Sorted(maps.Keys(t.Refusals)) {
			fmt.Printf("  refused %d with %s\n", t.Refusals[reason], reason)
		}
		for _, fault := range result.Faults {
			fmt.Printf("  %s\n", fault)
		}
		total.Add(s.Name(), ledger)
	}
	return total, nil
}
