package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

const serviceUsage = `service [flags]

Runs a stand-in for a plain application service. Prints its URL as the first
line and runs until SIGTERM. GET /admin/calls lists what it received, GET
/admin/bookings what it booked, POST /admin/faults changes its faults.

  sycamorebench service -address 127.0.0.1:7301
  curl -d '{"slot":"dock 4"}' http://127.0.0.1:7301/book

`

// serviceCommand runs a stand-in for an application service that books slots.
type serviceCommand struct {
	options sycservice.Options
}

// Name implements subcommands.Command.
func (*serviceCommand) Name() string { return "service" }

// Synopsis implements subcommands.Command.
func (*serviceCommand) Synopsis() string { return "run a stand-in for an application service" }

// Usage implements subcommands.Command.
func (*serviceCommand) Usage() string { return serviceUsage }

// SetFlags implements subcommands.Command.
func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.Address, "address", "", "listen on `ip:port`; a free port by default")
}

// Execute implements subcommands.Command.
func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	service, err := sycservice.New(c.options)
	if err != nil {
		return failed(err)
	}
	return serveUntilSignal(ctx, service)
}
