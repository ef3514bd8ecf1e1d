// Command sycamorebench runs the stand-ins, the demonstration and the load.
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
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
