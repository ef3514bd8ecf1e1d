package main

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"sycamorecart.example/sycamorecart/internal/operate/sycpublish"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
)

const statusUsage = `status [-json] [-token-file FILE] URL ...
  Asks VMs' operators' listeners how they are: readiness, applied offsets and
  the VMs that they know. With -json it prints each VM's whole status, one JSON
  object after the other, with its rollouts and shares.

  Example:
    sycamorecart status http://127.0.0.1:8081

  Exit codes: 0 all VMs are ready, 1 some are not or did not answer, 2 wrong
  arguments.
`

// status is the command that prints the status of VMs.
type status struct {
	// json makes the command print each VM's whole status as JSON.
	json bool
	// tokenFile is the path of the file with the operators' token.
	tokenFile string
}

func newStatus() subcommands.Command { return &status{} }

// Name implements subcommands.Command.
func (*status) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*status) Synopsis() string { return "show how VMs are" }

// Usage implements subcommands.Command.
func (*status) Usage() string { return statusUsage }

// SetFlags implements subcommands.Command.
func (c *status) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print the whole status as JSON")
	f.StringVar(&c.tokenFile, "token-file", "", "`file` with the operators' token")
}

// Execute implements subcommands.Command.
func (c *status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprint(os.Stderr, statusUsage)
		return subcommands.ExitUsageError
	}
	for _, url := range f.Args() {
		if _, err := baseURL(url); err != nil {
			return fail(err, subcommands.ExitUsageError)
		}
	}
	secret, err := readToken(c.tokenFile)
	if err != nil {
		return fail(err, subcommands.ExitUsageError)
	}
	operator := sycpublish.NewStatusClient(secret)
	defer operator.Close()
	exit := subcommands.ExitSuccess
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, url := range f.Args() {
		if err := c.print(ctx, operator, url, table); err != nil {
			exit = fail(err, subcommands.ExitFailure)
		}
	}
	if err := table.Flush(); err != nil {
		return fail(err, subcommands.ExitFailure)
	}
	return exit
}

// notReadyError reports a VM that isn't ready for traffic.
type notReadyError struct {
	// url is the base URL of the VM's operators' listener.
	url string
	// reason is the VM's explanation.
	reason string
}

// Error implements error.
func (e *notReadyError) Error() string { return e.url + " is not ready: " + e.reason }

// print fetches the status of the VM at url and writes it to out. It returns a
// notReadyError if the VM isn't ready.
func (c *status) print(ctx context.Context, operator *sycpublish.StatusClient, url string, out io.Writer) error {
	raw, err := operator.RawStatus(ctx, url)
	if err != nil {
		return err
	}
	var vm sycpublish.VMStatus
	if err := json.Unmarshal(raw, &vm); err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	if c.json {
		fmt.Fprintf(out, "%s\n", raw)
	} else {
		printVM(out, vm)
	}
	if !vm.Ready {
		return &notReadyError{url: url, reason: vm.Why}
	}
	return nil
}

// printVM writes the rows of a VM: its state, the fraction of every customer's rate that
// accrues on it, its log streams, rollouts and endpoints, and its members, the other VMs
// that have recently replied to it.
func printVM(out io.Writer, vm sycpublish.VMStatus) {
	state := "ready"
	if !vm.Ready {
		state = "not ready"
	}
	if vm.Leads {
		state += ", leads rollouts"
	}
	fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", vm.Address, vm.FailureDomain, formatOffsets(vm.Applied), state)
	fmt.Fprintf(out, "  accrues %.3f of every rate\tslots %s\t\t\n", vm.Shares.Fraction, strings.Join(vm.Shares.Slots, ", "))
	for _, stream := range vm.Streams {
		fmt.Fprintf(out, "  stream %s\t%s\t%d unreadable\t\n", stream.Stream, formatLogEnd(stream), len(stream.Unreadable))
	}
	for _, r := range vm.Rollouts {
		fmt.Fprintf(out, "  version %s\t%s\tshare %g\t%s\n", r.Version, r.State, r.Share, cmp.Or(r.Veto, r.Waiting, r.Reason))
	}
	for _, e := range vm.Endpoints {
		fmt.Fprintf(out, "  endpoint %s\t%s\t%d in flight\t%s\n", e.Name, e.Health, e.InFlight, e.Reason)
	}
	for _, member := range vm.Members {
		fmt.Fprintf(out, "  knows %s\t%s\t%s\t\n", member.Address, member.FailureDomain, formatOffsets(member.Applied))
	}
}

// formatLogEnd describes how recently a VM has read a log stream to its end, or why
// it can't follow the stream.
func formatLogEnd(stream sycstate.StreamStatus) string {
	switch {
	case stream.LogDiffers:
		return "log was replaced"
	case stream.LogEndsBefore:
		return "log ends before"
	case !stream.Proven:
		return "log's end not seen"
	}
	return "log's end seen " + time.Duration(stream.ProofAge).Round(time.Millisecond).String() + " ago"
}

// formatOffsets formats the applied offset of each log stream.
func formatOffsets(offsets map[string]uint64) string {
	return fmt.Sprintf("config %d, system %d", offsets["config"], offsets["system"])
}
