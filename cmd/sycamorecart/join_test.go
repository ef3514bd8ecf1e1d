package main

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/subcommands"
	"github.com/shoenig/test/must"
)

// TestSignalWhileStarting guards against a VM that is ended by a signal which arrives while it starts. The
// VM reads its settings from a pipe, so that the test can hold the start up.
func TestSignalWhileStarting(t *testing.T) {
	signals := []os.Signal{syscall.SIGHUP, syscall.SIGTERM}
	// A signal may arrive only when the VM has stopped, and would end the tests.
	arrived := make(chan os.Signal, len(signals))
	signal.Notify(arrived, signals...)
	defer signal.Stop(arrived)
	for _, s := range signals {
		path := filepath.Join(t.TempDir(), "settings.ini")
		must.NoError(t, syscall.Mkfifo(path, 0o600))
		status := make(chan subcommands.ExitStatus, 1)
		vm := newJoin().(*join)
		go func() { status <- run(t, vm, "-settings", path) }()
		// Opening the pipe waits for the VM.
		settings, err := os.OpenFile(path, os.O_WRONLY, 0)
		must.NoError(t, err)
		must.NoError(t, syscall.Kill(os.Getpid(), s.(syscall.Signal)))
		must.Eq(t, s, <-arrived)
		must.NoError(t, settings.Close())
		must.Eq(t, subcommands.ExitUsageError, <-status)
		must.Eq(t, 1, len(vm.stop)+len(vm.reloads))
	}
}
