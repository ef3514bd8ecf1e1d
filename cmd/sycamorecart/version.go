package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

const versionUsage = `version
  Prints the program's version and the newest schema version of records and
  format of snapshots that it reads.

  Example:
    sycamorecart version

  Exit codes: 0 printed, 2 wrong arguments.
`

// version is the command that prints the program's version and the newest schema version
// of records and format of snapshots that it reads. A snapshot is the encoded state that
// the records of a log stream result in.
type version struct{}

func newVersion() subcommands.Command { return &version{} }

// Name implements subcommands.Command.
func (*version) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*version) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*version) Usage() string { return versionUsage }

// SetFlags implements subcommands.Command.
func (*version) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*version) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		fmt.Fprint(os.Stderr, versionUsage)
		return subcommands.ExitUsageError
	}
	build, goVersion := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		build, goVersion = info.Main.Version, info.GoVersion
	}
	fmt.Printf("sycamorecart %s, %s, schema versions 1 to %d, snapshot format %d\n",
		build, goVersion, sycrecord.NewestSchema, sycconfig.SnapshotFormat)
	return subcommands.ExitSuccess
}
