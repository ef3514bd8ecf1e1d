package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/operate/sycpublish"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
)

const publishUsage = `publish (-log URL | -settings FILE) [-wait -vm URL ...] [RECORDS]
  Publishes records from a file, or from standard input without one: a JSON
  array, or JSON objects one after the other. Prints the offset of each and
  whether it was accepted, with the reason where it was refused. Nothing is
  published if a record has a fault. An answer of the log that is lost does not
  publish twice. Where a record carries an id, publishing it again later has no
  effect either.

  With -wait it returns when all records are in force on the VMs whose operators'
  listeners are given and on the VMs that these know.

  Example:
    sycamorecart publish -log http://127.0.0.1:9000 -wait \
      -vm http://127.0.0.1:8081 -vm http://127.0.1.1:8081 customers.json

  Exit codes: 0 all accepted (and in force, with -wait), 1 some refused or the
  log unavailable with nothing more published, 2 wrong arguments or records,
  3 outcome unknown or not in force everywhere in time.
`

// publish is the command that appends operators' records to the platform's log.
type publish struct {
	// log gives the address of the log to append to.
	log logFlags
	// vms are the base URLs of the VMs' listeners for operators. With wait, the command
	// requests the VMs' status there.
	vms urlList
	// tokenFile is the path of the file with the operators' token.
	tokenFile string
	// wait makes the command wait until the VMs have applied the records.
	wait bool
	// timeout limits the whole command.
	timeout time.Duration
}

func newPublish() subcommands.Command { return &publish{} }

// Name implements subcommands.Command.
func (*publish) Name() string { return "publish" }

// Synopsis implements subcommands.Command.
func (*publish) Synopsis() string { return "publish records" }

// Usage implements subcommands.Command.
func (*publish) Usage() string { return publishUsage }

// SetFlags implements subcommands.Command.
func (c *publish) SetFlags(f *flag.FlagSet) {
	c.log.register(f)
	f.BoolVar(&c.wait, "wait", false, "wait until the records are in force")
	f.Var(&c.vms, "vm", "base `URL` of a VM's operators' listener; may be repeated")
	f.StringVar(&c.tokenFile, "token-file", "", "`file` with the operators' token")
	f.DurationVar(&c.timeout, "timeout", 30*time.Second, "bound on the whole command")
}

// Execute implements subcommands.Command.
func (c *publish) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 1 {
		return usageError(c.Name(), "flags come before the file of records, and one file is published at a time")
	}
	if c.wait != (len(c.vms) > 0) {
		return usageError(c.Name(), "-wait and -vm go together")
	}
	url, err := c.log.resolve()
	if err != nil {
		return fail(err, subcommands.ExitUsageError)
	}
	ops, err := readRecords(f.Arg(0))
	if err != nil {
		return fail(err, subcommands.ExitUsageError)
	}
	if err := logErrorsOnly(); err != nil {
		return fail(err, subcommands.ExitFailure)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.run(ctx, url, ops)
}

// readRecords reads and validates records from a file, or from standard input if
// the path is empty.
func readRecords(path string) ([]sycrecord.Operation, error) {
	var input io.Reader = os.Stdin
	if path != "" {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		input = file
	}
	return sycpublish.Read(input)
}

// run publishes the records, prints the result of each and, with -wait, waits
// until they are in force.
func (c *publish) run(ctx context.Context, url string, ops []sycrecord.Operation) subcommands.ExitStatus {
	session := sycpublish.Open(url)
	defer session.Close()
	if err := session.WaitReady(ctx); err != nil {
		return fail(fmt.Errorf("nothing was published: %w", logReadError(url, err)), subcommands.ExitFailure)
	}
	status := subcommands.ExitSuccess
	next := uint64(0)
	err := session.Publish(ctx, ops, func(result sycconfig.Result) {
		fmt.Println(formatResult(result))
		next = max(next, result.Offset()+1)
		if !result.Accepted() {
			status = subcommands.ExitFailure
		}
	})
	if err != nil {
		return fail(err, publishExitCode(err))
	}
	if !c.wait {
		return status
	}
	if err := c.waitApplied(ctx, next); err != nil {
		return fail(err, exitUnknown)
	}
	fmt.Printf("in force everywhere up to offset %d\n", next-1)
	return status
}

// waitApplied waits until the VMs given by -vm, and all other VMs that these list as
// members and that aren't leaving, have applied all records of the config stream before
// offset next.
func (c *publish) waitApplied(ctx context.Context, next uint64) error {
	secret, err := readToken(c.tokenFile)
	if err != nil {
		return err
	}
	operator := sycpublish.NewStatusClient(secret)
	defer operator.Close()
	return operator.Await(ctx, c.vms, sycconfig.ConfigStream, next)
}

// publishExitCode returns ExitFailure for an append that certainly had no effect
// and exitUnknown for an append that may have had one.
func publishExitCode(err error) subcommands.ExitStatus {
	var unavailable *syclog.UnavailableError
	var refused *syclog.RefusedError
	if errors.As(err, &unavailable) || errors.As(err, &refused) {
		return subcommands.ExitFailure
	}
	return exitUnknown
}

// formatResult formats the offset, operation and outcome of a record on one line.
func formatResult(result sycconfig.Result) string {
	line := fmt.Sprintf("offset %d %s %s/%s ", result.Offset(), result.Verb(), result.Kind(), result.Name())
	if result.Accepted() {
		return line + "accepted"
	}
	return line + "refused: " + result.Reason()
}
