package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"sycamorecart.example/sycamorecart/internal/standin/syckvstore"
)

const kvStoreUsage = `kvstore [flags]

Runs a stand-in for the store of kept KV cache. Prints its URL as the first
line and runs until SIGTERM.

  sycamorebench kvstore -address 127.0.0.1:7201

`

// kvStoreCommand runs a stand-in for the KV store, which keeps KV cache blocks
// outside the engines.
type kvStoreCommand struct {
	options syckvstore.Options
}

// Name implements subcommands.Command.
func (*kvStoreCommand) Name() string { return "kvstore" }

// Synopsis implements subcommands.Command.
func (*kvStoreCommand) Synopsis() string { return "run a stand-in for the store of kept KV cache" }

// Usage implements subcommands.Command.
func (*kvStoreCommand) Usage() string { return kvStoreUsage }

// SetFlags implements subcommands.Command.
func (c *kvStoreCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.Address, "address", "", "listen on `ip:port`; a free port by default")
	f.IntVar(&c.options.Blocks, "blocks", syckvstore.DefaultBlocks, "blocks that the store keeps")
}

// Execute implements subcommands.Command.
func (c *kvStoreCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	store, err := syckvstore.New(c.options)
	if err != nil {
		return failed(err)
	}
	return serveUntilSignal(ctx, store)
}
