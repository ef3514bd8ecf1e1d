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

// settingsPollInterval is the time between two checks of whether the settings
// file was modified.
const settingsPollInterval = 2 * time.Second

// join is the command that runs one VM of a fleet on the platform until a signal
// stops it.
type join struct {
	// settings is the path of the VM's settings file.
	settings string
	// stop gets the signals that end the VM, and reloads those after which it reads the settings again.
	stop, reloads chan os.Signal
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
	// A signal while the VM starts must not end it at once.
	c.stop, c.reloads = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(c.stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(c.stop)
	signal.Notify(c.reloads, syscall.SIGHUP)
	defer signal.Stop(c.reloads)
	return runVM(f, joinUsage, c.settings, sycsetting.ReadNode, c.run)
}

// run starts the VM, waits for a signal, then drains and closes the VM.
func (c *join) run(settings *sycsetting.Node) error {
	log, err := syclogging.SetupQueue(os.Stdout, settings.LogLevel, settings.LogFormat)
	if err != nil {
		return err
	}
	vm, err := sycjoin.New(settings)
	if err != nil {
		return errors.Join(err, log.Close())
	}
	c.waitForStop()
	err = errors.Join(vm.Drain(), vm.Close())
	if err != nil {
		logrus.WithError(err).Error("node: stopped with an error")
	}
	logrus.Info("node: stopped")
	return errors.Join(err, log.Close())
}

// waitForStop returns on SIGTERM or SIGINT. Until then it reloads the settings
// file on SIGHUP and whenever the file's modification time changes.
func (c *join) waitForStop() {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	applied := modTime(c.settings)
	for {
		select {
		case <-c.stop:
			return
		case <-c.reloads:
			c.reload()
			applied = modTime(c.settings)
		case <-ticker.C:
			if at := modTime(c.settings); !at.Equal(applied) {
				applied = at
				c.reload()
			}
		}
	}
}

// modTime returns the modification time of a file, or the zero time if the file
// can't be examined.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings file to the running VM. Settings that can't be read
// are logged and leave the VM's settings as they were.
func (c *join) reload() {
	settings, err := sycsetting.ReadNode(c.settings)
	if err != nil {
		logrus.WithError(err).Error("node: changed settings could not be read and were not applied")
		return
	}
	sycnode.Apply(settings)
	logrus.Info("node: settings reloaded")
}
