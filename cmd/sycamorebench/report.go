package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycreport"
)

const reportUsage = `report [flags] RESULT...

Prints the results of one or more load runs as a table, side by side, and
writes a page with plots.

  sycamorebench report -html out.html before.json after.json

`

// reportCommand compares the results of load runs in a table and on an HTML page.
type reportCommand struct {
	// html is the path of the page with plots to write; empty for none.
	html string
}

// Name implements subcommands.Command.
func (*reportCommand) Name() string { return "report" }

// Synopsis implements subcommands.Command.
func (*reportCommand) Synopsis() string { return "compare the results of load runs" }

// Usage implements subcommands.Command.
func (*reportCommand) Usage() string { return reportUsage }

// SetFlags implements subcommands.Command.
func (c *reportCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.html, "html", "", "write a page with plots to `file`")
}

// Execute implements subcommands.Command.
func (c *reportCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	var results []sycload.Result
	for _, path := range f.Args() {
		result, err := sycload.ReadResult(path)
		if err != nil {
			return failed(err)
		}
		results = append(results, result)
	}
	if err := sycreport.Table(os.Stdout, results...); err != nil {
		return failed(err)
	}
	if c.html == "" {
		return subcommands.ExitSuccess
	}
	if err := writePage(c.html, results); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

// writePage writes an HTML page with plots of the results to path.
func writePage(path string, results []sycload.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "report")
	}
	if err := sycreport.HTML(file, results...); err != nil {
		_ = file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "report")
}
