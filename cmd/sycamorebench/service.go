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

type serviceCommand struct {
	options sycservice.Options
}

// Name is the command's name.
func (*serviceCommand) Name() string { return "service" }

// Synopsis describes the command in a line.
func (*serviceCommand) Synopsis() string { return "run a stand-in for an application service" }

// Usage describes the command.
func (*serviceCommand) Usage() string { return serviceUsage }

// SetFlags declares the flags.
func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.Address, "address", "", "listen on `ip:port`; a free port by default")
}

// Execute runs the service.
func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	service, err := sycservice.New(c.options)
	if err != nil {
		return failed(err)
	}
	return serveUntilSignal(ctx, service)
}
