// Command sycamorecart runs one VM of the router (serve, join) and provides the
// operators' commands, which publish configuration records to the platform's
// log, follow the log, check files and print the status of VMs.
//
// The log's config stream has the operators' records, its system stream the records of
// VMs.
//
// serve runs a VM that uses the log and the VM list at the URLs in its settings file. join
// runs a VM of a fleet on a platform whose protocols package sycadapter translates.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(newServe(), "")
	subcommands.Register(newJoin(), "")
	subcommands.Register(newCheck(), "")
	subcommands.Register(newPublish(), "")
	subcommands.Register(newWatch(), "")
	subcommands.Register(newStatus(), "")
	subcommands.Register(newKey(), "")
	subcommands.Register(newVersion(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
