package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/ground/syclogging"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycreport"
)

const demoUsage = `demo [flags]

Runs a whole deployment in this process on free loopback ports: the platform's
stand-in, engines, booking services and VMs in several failure domains. Sends
the traffic of several customers while a new version is rolled out, checks every
answer byte by byte and prints what each customer saw.

  sycamorebench demo
  sycamorebench demo -prompts docs -stay

Exit codes: 0 every answer was right, 1 some answer was not, 2 wrong arguments.

`

const (
	// demoDuration is the time in which the demonstration sends requests.
	demoDuration = 8 * time.Second
	// demoWarmUp is how long the VMs run before the first request, so that every
	// customer's token bucket fills up to its burst.
	demoWarmUp = 2500 * time.Millisecond
	// demoDeadline limits the duration of the rollout.
	demoDeadline = 10 * time.Second
	// demoBake is the rollout's bake time: the shortest time that each stage lasts.
	demoBake = 800 * time.Millisecond
	// demoRate multiplies the arrival rates of the workload.
	demoRate = 0.8
)

// demoCommand runs a whole deployment in this process, sends traffic to it during a
// rollout and checks every response.
type demoCommand struct {
	// workload is the name of the workload.
	workload string
	// prompts is the folder with the text files of the shared documents; empty for
	// generated documents.
	prompts string
	// stay keeps the deployment running after the traffic, until a signal.
	stay bool
	// seed is the seed of the deployment and of the traffic.
	seed uint64
	// verbose logs at level info instead of error.
	verbose bool
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "run a whole deployment in one process" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string { return demoUsage }

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.workload, "workload", "bottlers", "`name` of the workload: bottlers or dairies")
	f.StringVar(&c.prompts, "prompts", "", "make the prompts from the text files of a `folder`")
	f.BoolVar(&c.stay, "stay", false, "keep running afterwards and print curl commands")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the traffic")
	f.BoolVar(&c.verbose, "v", false, "show the VMs' logs")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	workload, ok := sycload.FindWorkload(c.workload)
	if !ok || f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	level := "error"
	if c.verbose {
		level = "info"
	}
	if err := syclogging.Setup(os.Stderr, level, "text"); err != nil {
		return failed(err)
	}
	if err := c.run(ctx, workload); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

// run starts the deployment, publishes the rollout, sends the traffic and prints the
// results. It returns the error of checkResult.
func (c *demoCommand) run(ctx context.Context, workload sycload.Workload) (err error) {
	documents, err := c.documents()
	if err != nil {
		return err
	}
	d, err := sycdeploy.New(ctx, sycdeploy.Options{Workload: workload, Seed: c.seed, WarmUp: demoWarmUp})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	fmt.Printf("%d VMs in %d failure domains, %d engines and %d booking services are up\n",
		len(d.Routers()), len(workload.Domains()), len(d.Engines()), len(d.Workers()))
	if err := publishRollout(ctx, d); err != nil {
		return err
	}
	result, err := sycload.Run(ctx, sycload.Options{
		Workload:   workload,
		Routers:    d.URLs(),
		Keys:       d.Keys(),
		Model:      sycdeploy.Model,
		BookPath:   sycdeploy.BookPath,
		Documents:  documents,
		Seed:       c.seed,
		Duration:   demoDuration,
		RateFactor: demoRate,
		Progress:   printProgress,
	})
	if err != nil {
		return err
	}
	result.Audit(d.BookedSlots())
	if err := sycreport.Table(os.Stdout, result); err != nil {
		return err
	}
	printRollout(d)
	if c.stay {
		printCurl(d, workload)
		<-ctx.Done()
	}
	return checkResult(result)
}

// documents returns the documents of the prompts folder, or nil for generated
// documents.
func (c *demoCommand) documents() ([]string, error) {
	if c.prompts == "" {
		return nil, nil
	}
	return sycload.ReadDocuments(c.prompts)
}

// publishRollout publishes a second version of the deployment's model, which starts
// its rollout.
func publishRollout(ctx context.Context, d *sycdeploy.Deployment) error {
	_, err := d.Publish(ctx, sycdeploy.Put(sycrecord.KindVersion, "second", sycrecord.VersionFields{
		Model:    sycdeploy.Model,
		Weights:  "w2",
		Deadline: time.Now().Add(demoDeadline),
		Canary:   0.1,
		Steps:    []float64{0.5, 1},
		Bake:     sycrecord.Duration(demoBake),
	}))
	return err
}

// printRollout prints the outcome of each rollout that the VMs recorded.
func printRollout(d *sycdeploy.Deployment) {
	for _, r := range d.RolloutRecords() {
		fmt.Printf("version %s: %s at a share of %g: %s\n", r.Version(), r.Fields().State, r.Fields().Share, r.Fields().Reason)
	}
}

// printCurl prints curl commands that try the running deployment.
func printCurl(d *sycdeploy.Deployment, workload sycload.Workload) {
	router := d.Routers()[0]
	key := d.Keys()[workload.Customers()[0].Name()]
	fmt.Println(strings.Join([]string{
		"",
		"It keeps running until Ctrl-C. Try:",
		fmt.Sprintf(`  curl -N -H 'Authorization: Bearer %s' -d '{"model":"%s","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}' %s/v1/chat/completions`, key, sycdeploy.Model, router.URL()),
		fmt.Sprintf(`  curl -H 'Authorization: Bearer %s' -H 'Idempotency-Key: 1' -d '{"slot":"dock-1"}' %s%s`, key, router.URL(), sycdeploy.BookPath),
		fmt.Sprintf(`  curl %s/v1/status`, router.OperatorURL()),
		fmt.Sprintf(`  curl %s/metrics`, router.OperatorURL()),
	}, "\n"))
}

// checkResult returns an error if a response was wrong, a request failed, a slot was
// booked more than once, or a slot was booked although the response said that the booking
// did not run. Other refusals are allowed.
func checkResult(r sycload.Result) error {
	if !r.Sound() || r.Total.Failed > 0 {
		return eris.Errorf("%d answers were wrong, %d failed, %d bookings were doubled: %s",
			r.Total.Wrong, r.Total.Failed, r.Bookings.Doubled, strings.Join(r.Faults, "; "))
	}
	fmt.Println("every answer was right")
	return nil
}
