package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// runVM reads the settings file at path with read and passes the settings to
// run, which returns when the VM has stopped. It returns the exit status of the
// command, and prints usage when the arguments are wrong.
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
