// Command sycamorebench runs stand-ins (simulations of the platform, of model
// engines, of a KV store and of application services) and measures routers with
// them: under load, under faults and idle.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&platformCommand{}, "stand-ins")
	subcommands.Register(&engineCommand{}, "stand-ins")
	subcommands.Register(&kvStoreCommand{}, "stand-ins")
	subcommands.Register(&serviceCommand{}, "stand-ins")
	subcommands.Register(&demoCommand{}, "load")
	subcommands.Register(&loadCommand{}, "load")
	subcommands.Register(&faultsCommand{}, "load")
	subcommands.Register(&reportCommand{}, "load")
	subcommands.Register(&footprintCommand{}, "load")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// standIn is a simulation of a system that routers talk to, such as an engine. It
// serves HTTP until it is closed.
type standIn interface {
	// URL is the base URL that it serves.
	URL() string
	// Close stops it.
	Close() error
}

// serveUntilSignal prints the stand-in's URL as the first line and runs it
// until SIGTERM or SIGINT.
func serveUntilSignal(ctx context.Context, s standIn) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fmt.Println(s.URL())
	<-ctx.Done()
	if err := s.Close(); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

// failed prints an error to standard error and returns ExitFailure.
func failed(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "sycamorebench:", err)
	return subcommands.ExitFailure
}
