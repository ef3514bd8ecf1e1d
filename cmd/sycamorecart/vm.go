package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// runVM reads the settings of a command that runs a VM, and runs it.
func runVM[S any](f *flag.FlagSet, usage, path string, read func(string) (S, error), run func(S) error) subcommands.ExitStatus {
	if path == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, usage)
		return subcommands.ExitUsageError
	}
	settings, err := read(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
