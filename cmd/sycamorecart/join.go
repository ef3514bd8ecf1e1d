package main

import (
	"context"
	"errors"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/ground/syclogging"
	"sycamorecart.example/sycamorecart/internal/operate/sycnode"
	"sycamorecart.example/sycamorecart/internal/operate/sycsetting"
	"sycamorecart.example/sycamorecart/platform/sycadapter"
	"sycamorecart.example/sycamorecart/platform/sycjoin"
)

const joinUsage = `join [-settings FILE]
  Runs one VM of a fleet on the platform until SIGTERM or SIGINT, then finishes
  its requests and stops. Without -settings the file is the one that the
  platform names.

  Example:
    sycamorecart join -settings /etc/sycamorecart/local.ini

  Exit codes: 0 stopped after finishing every request, 1 failed or cut
  requests, 2 wrong arguments or settings.
`

// settingsPeriod is the time between two looks at the settings file.
const settingsPeriod = 2 * time.Second

// join runs a VM on the platform.
type join struct {
	settings string
}

func newJoin() subcommands.Command { return &join{} }

// Name implements subcommands.Command.
func (*join) Name() string { return "join" }

// Synopsis implements subcommands.Command.
func (*join) Synopsis() string { return "run one VM of a fleet on the platform" }

// Usage implements subcommands.Command.
func (*join) Usage() string { return joinUsage }

// SetFlags implements subcommands.Command.
func (c *join) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", sycadapter.SettingsPath(), "the VM's settings `file`")
}

// Execute implements subcommands.Command.
func (c *join) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return runVM(f, joinUsage, c.settings, sycsetting.ReadNode, c.run)
}

func (c *join) run(settings *sycsetting.Node) error {
	log, err := syclogging.SetupQueue(os.Stdout, settings.LogLevel, settings.LogFormat)
	if err != nil {
		return err
	}
	vm, err := sycjoin.New(settings)
	if err != nil {
		return errors.Join(err, log.Close())
	}
	c.wait()
	err = errors.Join(vm.Drain(), vm.Close())
	if err != nil {
		logrus.WithError(err).Error("node: ended with a fault")
	}
	logrus.Info("node: stopped")
	return errors.Join(err, log.Close())
}

// wait returns when the VM is to stop, and until then takes over settings that
// change, with or without a signal.
func (c *join) wait() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	last := modified(c.settings)
	for {
		select {
		case <-stop:
			return
		case <-reload:
			c.reload()
			last = modified(c.settings)
		case <-ticker.C:
			if at := modified(c.settings); !at.Equal(last) {
				last = at
				c.reload()
			}
		}
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (c *join) reload() {
	settings, err := sycsetting.ReadNode(c.settings)
	if err != nil {
		logrus.WithError(err).Error("node: changed settings not taken")
		return
	}
	sycnode.Apply(settings)
	logrus.Info("node: settings reloaded")
}
