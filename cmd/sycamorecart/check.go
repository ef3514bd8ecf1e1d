package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"sycamorecart.example/sycamorecart/internal/operate/sycpublish"
	"sycamorecart.example/sycamorecart/internal/operate/sycsetting"
)

const checkUsage = `check [-settings FILE] [-join FILE] [RECORDS ...]
  Checks settings files of VMs that serve and of VMs that join a fleet, and files
  of records, without a platform, and lists all faults. What depends on records that were published before, such as a key's
  customer, is judged when a record is published.

  Example:
    sycamorecart check -settings vm.ini customers.json

  Exit codes: 0 no faults, 1 faults, 2 wrong arguments.
`

// check is the command that validates settings files and files of records
// without a platform.
type check struct {
	// settings is the path of the settings file of a VM that runs with serve.
	settings string
	// join is the path of the settings file of a VM that runs with join.
	join string
}

func newCheck() subcommands.Command { return &check{} }

// Name implements subcommands.Command.
func (*check) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*check) Synopsis() string { return "check settings and records" }

// Usage implements subcommands.Command.
func (*check) Usage() string { return checkUsage }

// SetFlags implements subcommands.Command.
func (c *check) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file` of a VM")
	f.StringVar(&c.join, "join", "", "settings `file` of a VM that joins a fleet")
}

// Execute implements subcommands.Command.
func (c *check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" && c.join == "" && f.NArg() == 0 {
		fmt.Fprint(os.Stderr, checkUsage)
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	if c.settings != "" {
		if _, err := sycsetting.Read(c.settings); err != nil {
			status = fail(err, subcommands.ExitFailure)
		} else {
			fmt.Printf("%s: settings are in order\n", c.settings)
		}
	}
	if c.join != "" {
		if _, err := sycsetting.ReadNode(c.join); err != nil {
			status = fail(err, subcommands.ExitFailure)
		} else {
			fmt.Printf("%s: settings are in order\n", c.join)
		}
	}
	for _, path := range f.Args() {
		if err := checkRecords(path); err != nil {
			status = fail(fmt.Errorf("%s:\n%w", path, err), subcommands.ExitFailure)
		}
	}
	return status
}

// checkRecords reads and validates a file of records and prints their number.
func checkRecords(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	ops, err := sycpublish.Read(file)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d records are in order\n", path, len(ops))
	return nil
}
