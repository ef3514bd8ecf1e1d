package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycreport"
)

const loadUsage = `load [flags]

Sends the traffic of a deployment to running routers, checks every answer and
prints how each customer fared. With -self it starts the stand-ins and the
routers itself. Exit 1 when an answer was wrong or a booking ran twice.

  sycamorebench load -self -binary ./sycamorecart -workload bottlers -out new.json
  sycamorebench load -self -set routing.policy=round_robin -out old.json
  sycamorebench load -routers http://127.0.0.1:8080 -key rota=SECRET ... -out result.json

`

// loadCommand sends the traffic of a workload to routers and measures how each
// customer is served.
type loadCommand struct {
	// options is filled in from the flags and passed to sycload.Run.
	options sycload.Options
	// workload is the name of the workload.
	workload string
	// routers are the base URLs of running routers, separated by commas.
	routers string
	// prompts is the folder with the text files of the shared documents; empty for
	// generated documents.
	prompts string
	// out is the path of the file for the result as JSON; empty for none.
	out string
	// self makes the command start the stand-ins and the routers.
	self bool
	// binary is the path of the router program that self starts; empty for the
	// sycamorecart that is in the same folder as this program.
	binary string
	// settings maps section.key to the value of a router setting, for self.
	settings pairs
	// keys maps customers to the secrets of their keys, for routers.
	keys pairs
	// engine configures the engines that self starts.
	engine sycengine.Options
	// warmUp is how long the routers that self starts run before the first request.
	warmUp time.Duration
	// verbose makes the routers that self starts log to standard error.
	verbose bool
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string { return "send the traffic of a deployment and measure" }

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string { return loadUsage }

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	c.settings, c.keys = pairs{}, pairs{}
	o := &c.options
	f.StringVar(&c.workload, "workload", "bottlers", "bottlers or dairies")
	f.StringVar(&c.routers, "routers", "", "base `URLs` of running routers, separated by commas")
	f.Var(c.keys, "key", "secret of a customer's key as `customer=secret`, for -routers")
	f.BoolVar(&c.self, "self", false, "start stand-ins and routers")
	f.StringVar(&c.binary, "binary", "", "router `program` for -self; sycamorecart beside this one by default")
	f.Var(c.settings, "set", "setting of the routers for -self as `section.key=value`; may be repeated")
	f.DurationVar(&c.warmUp, "warm-up", 3*time.Second, "how long the routers of -self run before the first request")
	f.BoolVar(&c.verbose, "verbose", false, "show the routers' logs with -self")
	f.IntVar(&c.engine.CacheBlocks, "blocks", 600, "cache blocks of each engine for -self")
	f.IntVar(&c.engine.PrefillTokensPerSecond, "prefill", sycengine.DefaultPrefillTokensPerSecond, "prompt tokens that each engine computes a second, for -self")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals")
	f.DurationVar(&o.Duration, "duration", sycload.DefaultDuration, "time in which requests are sent")
	f.IntVar(&o.MaxRequests, "max-requests", sycload.DefaultMaxRequests, "number of requests at most")
	f.Float64Var(&o.RateFactor, "rate", 1, "factor on all arrival rates")
	f.StringVar(&o.Model, "model", sycload.DefaultModel, "model asked for")
	f.StringVar(&o.BookPath, "book-path", "", "path that bookings are posted to, for -routers; none by default")
	f.StringVar(&c.prompts, "prompts", "", "take shared documents from the text files in `folder`")
	f.StringVar(&o.Label, "label", "", "name of the run in reports")
	f.StringVar(&c.out, "out", "", "write the result to `file` as JSON")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.self == (c.routers != "") {
		fmt.Fprintln(os.Stderr, "sycamorebench: give either -self or -routers")
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result, err := c.run(ctx)
	if err != nil {
		return failed(err)
	}
	if err := sycreport.Table(os.Stdout, result); err != nil {
		return failed(err)
	}
	if c.out != "" {
		if err := result.Save(c.out); err != nil {
			return failed(err)
		}
	}
	if !result.Sound() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run sends the workload and returns the result.
func (c *loadCommand) run(ctx context.Context) (sycload.Result, error) {
	workload, ok := sycload.FindWorkload(c.workload)
	if !ok {
		return sycload.Result{}, eris.Errorf("no workload %q", c.workload)
	}
	c.options.Workload = workload
	c.options.Progress = printProgress
	if c.prompts != "" {
		documents, err := sycload.ReadDocuments(c.prompts)
		if err != nil {
			return sycload.Result{}, err
		}
		c.options.Documents = documents
	}
	if c.self {
		return c.runSelf(ctx)
	}
	c.options.Routers = strings.Split(c.routers, ",")
	c.options.Keys = c.keys
	return sycload.Run(ctx, c.options)
}

// printProgress prints the counts of a run to standard error.
func printProgress(p sycload.Progress) {
	fmt.Fprintf(os.Stderr, "sent %d of %d, answered %d, wrong %d\n", p.Sent, p.Planned, p.Answered, p.Wrong)
}

const (
	// readyTimeout limits how long -self waits for its routers to become ready, on
	// top of the warm-up time.
	readyTimeout = 20 * time.Second
	// balancerPeriod is how often the balancer of -self checks the routers.
	balancerPeriod = 250 * time.Millisecond
)

// runSelf starts a deployment, sends the workload to it through a balancer and compares
// the responses to bookings with the slots that the services booked.
func (c *loadCommand) runSelf(ctx context.Context) (result sycload.Result, err error) {
	deployment, err := c.deploy(ctx)
	if err != nil {
		return result, err
	}
	defer func() {
		if closeErr := deployment.Close(); err == nil {
			err = closeErr
		}
	}()
	balancer := sycdeploy.NewBalancer(deployment, balancerPeriod)
	defer balancer.Close()
	c.options.Routers = deployment.URLs()
	c.options.Available = balancer.Available
	c.options.Keys = deployment.Keys()
	c.options.Model = sycdeploy.Model
	c.options.BookPath = sycdeploy.BookPath
	result, err = sycload.Run(ctx, c.options)
	if err != nil {
		return result, err
	}
	result.Audit(deployment.BookedSlots())
	return result, nil
}

// deploy starts the stand-ins and the routers of -self and waits until the routers are
// ready.
func (c *loadCommand) deploy(ctx context.Context) (*sycdeploy.Deployment, error) {
	binary := c.binary
	if binary == "" {
		found, err := sycdeploy.FindBinary()
		if err != nil {
			return nil, err
		}
		binary = found
	}
	var output io.Writer
	if c.verbose {
		output = os.Stderr
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout+c.warmUp)
	defer cancel()
	return sycdeploy.New(ctx, sycdeploy.Options{
		Workload: c.options.Workload,
		Binary:   binary,
		Settings: c.settings,
		Engine:   c.engine,
		Seed:     c.options.Seed,
		WarmUp:   c.warmUp,
		Output:   output,
	})
}
