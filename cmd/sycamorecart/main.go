// Command sycamorecart runs one VM of the router (serve, join) and provides the
// operators' commands, which publish configuration records to the platform's
// log, follow the log, check files and print the status of VMs.
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
