package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

const platformUsage = `platform [flags]

Runs the stand-in for the platform: the log, the VM list and the weight store.
Prints its URL as the first line and runs until SIGTERM. POST /admin/faults
changes its faults.

  sycamorebench platform -address 127.0.0.1:7000 -weights w1=4194304
  curl -d '{"log":{"out":true}}' http://127.0.0.1:7000/admin/faults

`

// platformCommand runs the stand-in for the platform: the log, the VM list and the
// weight store.
type platformCommand struct {
	options sycplatform.Options
	// weights maps names of weights to their size in bytes, as decimal text.
	weights pairs
}

// Name implements subcommands.Command.
func (*platformCommand) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*platformCommand) Synopsis() string { return "run the stand-in for the platform" }

// Usage implements subcommands.Command.
func (*platformCommand) Usage() string { return platformUsage }

// SetFlags implements subcommands.Command.
func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	c.weights = pairs{}
	o := &c.options
	f.StringVar(&o.Address, "address", "", "listen on `ip:port`; a free port by default")
	f.DurationVar(&o.RetainAge, "retain-age", 0, "how long records are kept; 0 for ever")
	f.IntVar(&o.RetainCount, "retain-count", 0, "how many records each stream keeps; 0 for all")
	f.Float64Var(&o.AppendsPerSecond, "appends", sycplatform.DefaultAppendsPerSecond, "limit of appends a second")
	f.DurationVar(&o.ListLag, "list-lag", 0, "how old the answers of the VM list are")
	f.IntVar(&o.StoreBytesPerSecond, "store-rate", sycplatform.DefaultStoreBytesPerSecond, "rate of the weight store in bytes a second")
	f.Int64Var(&o.OtherWeights, "other-weights", sycplatform.DefaultOtherWeights, "size of weights not named by -weights; -1 for none")
	f.Var(c.weights, "weights", "size of weights as `name=bytes`; may be repeated")
}

// Execute implements subcommands.Command.
func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Weights = map[string]int64{}
	for name, text := range c.weights {
		size, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return failed(eris.Wrapf(err, "size of weights %s", name))
		}
		c.options.Weights[name] = size
	}
	platform, err := sycplatform.New(c.options)
	if err != nil {
		return failed(err)
	}
	return serveUntilSignal(ctx, platform)
}
