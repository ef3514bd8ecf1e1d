// Command sycamorecart runs a router VM and the operators' commands.
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
