package main

import (
	"context"
	"errors"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"sycamorecart.example/sycamorecart/internal/ground/syclogging"
	"sycamorecart.example/sycamorecart/internal/ground/syctrace"
	"sycamorecart.example/sycamorecart/internal/operate/sycsetting"
	"sycamorecart.example/sycamorecart/internal/operate/sycvm"
)

const serveUsage = `serve -settings FILE
  Runs one VM until SIGTERM or SIGINT, then finishes its requests and stops.
  A second signal stops it at once.

  Example:
    sycamorecart serve -settings /etc/sycamorecart/vm.ini

  Exit codes: 0 stopped after finishing every request, 1 failed or cut
  requests, 2 wrong arguments or settings.
`

// serve is the command that runs one VM until a signal stops it.
type serve struct {
	// settings is the path of the VM's settings file.
	settings string
}

func newServe() subcommands.Command { return &serve{} }

// Name implements subcommands.Command.
func (*serve) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serve) Synopsis() string { return "run one VM" }

// Usage implements subcommands.Command.
func (*serve) Usage() string { return serveUsage }

// SetFlags implements subcommands.Command.
func (c *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the VM's settings `file`")
}

// Execute implements subcommands.Command.
func (c *serve) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return runVM(f, serveUsage, c.settings, sycsetting.Read, func(s *sycsetting.Settings) error { return c.run(ctx, s) })
}

// run starts the VM, waits for a signal and drains it. A second signal ends the
// drain at once.
func (c *serve) run(ctx context.Context, settings *sycsetting.Settings) error {
	if err := syclogging.Setup(os.Stderr, settings.LogLevel(), settings.LogFormat()); err != nil {
		return err
	}
	traces, err := syctrace.Setup(ctx, syctrace.Options{
		Export:   settings.TraceExport(),
		Endpoint: settings.TraceEndpoint(),
		Sample:   settings.TraceSample(),
		VM:       settings.Peers().String(),
	})
	if err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	vm, err := sycvm.New(settings)
	if err != nil {
		return errors.Join(err, traces.Close())
	}
	<-stop.Done()
	drain, cancelDrain := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancelDrain()
	return errors.Join(vm.Drain(drain), vm.Close(), traces.Close())
}
