package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
)

const engineUsage = `engine [flags]

Runs a stand-in for a model engine. Prints its URL as the first line and runs
until SIGTERM. POST /admin/faults changes its faults, POST /admin/crash makes it
lose everything, GET /admin/requests lists what it received.

  sycamorebench engine -address 127.0.0.1:7101 -model chat=w1
  curl -d '{"slow":4}' http://127.0.0.1:7101/admin/faults

`

// engineCommand runs a stand-in for an engine, which simulates the timing and the
// cache of a model server.
type engineCommand struct {
	options sycengine.Options
	// models maps each model's name to the weights that the engine has ready for it.
	models pairs
}

// Name implements subcommands.Command.
func (*engineCommand) Name() string { return "engine" }

// Synopsis implements subcommands.Command.
func (*engineCommand) Synopsis() string { return "run a stand-in for a model engine" }

// Usage implements subcommands.Command.
func (*engineCommand) Usage() string { return engineUsage }

// SetFlags implements subcommands.Command.
func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	c.models = pairs{}
	o := &c.options
	f.StringVar(&o.Address, "address", "", "listen on `ip:port`; a free port by default")
	f.StringVar(&o.Platform, "platform", "", "base `URL` of the weight store; without one loads take no time")
	f.Var(c.models, "model", "weights that a model has ready, as `model=weights`; may be repeated")
	f.StringVar(&o.Role, "role", "both", "prefill, decode or both")
	f.BoolVar(&o.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	f.IntVar(&o.PrefillTokensPerSecond, "prefill", sycengine.DefaultPrefillTokensPerSecond, "prompt tokens computed a second")
	f.DurationVar(&o.DecodeStep, "decode", sycengine.DefaultDecodeStep, "duration of a decode step")
	f.IntVar(&o.MaxBatch, "batch", sycengine.DefaultMaxBatch, "requests that run together")
	f.Float64Var(&o.Speed, "speed", 1, "factor by which the model of time runs faster")
	f.IntVar(&o.CacheBlocks, "blocks", sycengine.DefaultCacheBlocks, "blocks of the cache")
	f.DurationVar(&o.EventDelay, "event-delay", sycengine.DefaultEventDelay, "how late cache events are published")
	f.Float64Var(&o.EventLoss, "event-loss", 0, "share of cache events never published")
	f.DurationVar(&o.LoadLag, "load-lag", sycengine.DefaultLoadLag, "how old load reports are at most")
	f.DurationVar(&o.RestartDelay, "restart-delay", sycengine.DefaultRestartDelay, "how long a crash lasts")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of random choices")
}

// Execute implements subcommands.Command.
func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Models = c.models
	engine, err := sycengine.New(c.options)
	if err != nil {
		return failed(err)
	}
	return serveUntilSignal(ctx, engine)
}
