package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/operate/sycpublish"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
)

const watchUsage = `watch (-log URL | -settings FILE) [-all] [-for DURATION]
  Follows the config and system streams and prints each record with what became
  of it, and the outcome of rollouts with their evidence. Ends at SIGINT,
  SIGTERM or after the given time.

  Example:
    sycamorecart watch -log http://127.0.0.1:9000

  Exit codes: 0 ended as asked, 1 the log could not be read, 2 wrong arguments.
`

// watch is the command that prints the records of the log and the progress of
// rollouts as they appear.
type watch struct {
	// log gives the address of the log to follow.
	log logFlags
	// all makes the command print the newest records already in the log first.
	all bool
	// duration is the time after which the command ends; 0 for no limit.
	duration time.Duration
}

func newWatch() subcommands.Command { return &watch{} }

// Name implements subcommands.Command.
func (*watch) Name() string { return "watch" }

// Synopsis implements subcommands.Command.
func (*watch) Synopsis() string { return "follow records and rollouts" }

// Usage implements subcommands.Command.
func (*watch) Usage() string { return watchUsage }

// SetFlags implements subcommands.Command.
func (c *watch) SetFlags(f *flag.FlagSet) {
	c.log.register(f)
	f.BoolVar(&c.all, "all", false, "begin with the newest records that are already there")
	f.DurationVar(&c.duration, "for", 0, "end after this time; 0 does not")
}

// Execute implements subcommands.Command.
func (c *watch) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		fmt.Fprint(os.Stderr, watchUsage)
		return subcommands.ExitUsageError
	}
	url, err := c.log.resolve()
	if err != nil {
		return fail(err, subcommands.ExitUsageError)
	}
	if err := logErrorsOnly(); err != nil {
		return fail(err, subcommands.ExitFailure)
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if c.duration > 0 {
		ctx, cancel = context.WithTimeout(ctx, c.duration)
		defer cancel()
	}
	return c.run(ctx, url)
}

// run prints new results after each change of the store until the context ends.
func (c *watch) run(ctx context.Context, url string) subcommands.ExitStatus {
	session := sycpublish.Open(url)
	defer session.Close()
	changed := make(chan struct{}, 1)
	session.Store().OnChange(func(time.Duration) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	if err := session.WaitReady(ctx); err != nil {
		return fail(logReadError(url, err), subcommands.ExitFailure)
	}
	w := &resultPrinter{store: session.Store()}
	if !c.all {
		w.config, w.system = w.store.Applied()
	}
	for {
		w.print()
		select {
		case <-changed:
		case <-ctx.Done():
			return subcommands.ExitSuccess
		}
	}
}

// resultPrinter prints the results of applied records, each once.
type resultPrinter struct {
	// store holds the state built from the log.
	store *sycstate.Store
	// config is the offset after the last printed record of the config stream.
	config uint64
	// system is the offset after the last printed record of the system stream.
	system uint64
}

// print prints the results of both streams that are not printed yet.
func (w *resultPrinter) print() {
	for _, result := range w.store.Results(sycstate.ConfigStream, w.config) {
		fmt.Println("config " + formatResult(result))
		w.config = result.Offset() + 1
	}
	for _, result := range w.store.Results(sycstate.SystemStream, w.system) {
		fmt.Println("system " + formatResult(result))
		w.system = result.Offset() + 1
		w.printRollout(result)
	}
}

// printRollout prints the state of the rollout that a record has changed, and its
// evidence: the failures and the times to first token of the new and the old version, by
// route and load class. It prints nothing if a later record has changed the rollout again.
func (w *resultPrinter) printRollout(result sycconfig.Result) {
	if result.Kind() != sycrecord.KindRollout || !result.Accepted() {
		return
	}
	rollout, ok := w.store.System().Rollout(result.Name())
	if !ok || rollout.Offset() != result.Offset() {
		return
	}
	fields := rollout.Value().Fields()
	fmt.Printf("rollout %s is %s at share %g: %s\n", result.Name(), fields.State, fields.Share, fields.Reason)
	for _, e := range fields.Evidence {
		fmt.Printf("  route %s load %s: %d of %d failed (before: %d of %d), first token p95 %v (before: %v)\n",
			e.Route, e.Load, e.Failures, e.Requests, e.OldFailures, e.OldRequests,
			time.Duration(e.P95), time.Duration(e.OldP95))
	}
}
