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

type kvStoreCommand struct {
	options syckvstore.Options
}

// Name is the command's name.
func (*kvStoreCommand) Name() string { return "kvstore" }

// Synopsis describes the command in a line.
func (*kvStoreCommand) Synopsis() string { return "run a stand-in for the store of kept KV cache" }

// Usage describes the command.
func (*kvStoreCommand) Usage() string { return kvStoreUsage }

// SetFlags declares the flags.
func (c *kvStoreCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.Address, "address", "", "listen on `ip:port`; a free port by default")
	f.IntVar(&c.options.Blocks, "blocks", syckvstore.DefaultBlocks, "blocks that the store keeps")
}

// Execute runs the store.
func (c *kvStoreCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	store, err := syckvstore.New(c.options)
	if err != nil {
		return failed(err)
	}
	return serveUntilSignal(ctx, store)
}
