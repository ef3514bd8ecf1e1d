package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/subcommands"
	"github.com/shoenig/test/must"
)

// TestSignalWhileStarting guards against a VM that is ended by a signal which arrives while it starts. The
// VM reads its settings from a pipe, so that the test can hold the start up.
func TestSignalWhileStarting(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		path := filepath.Join(t.TempDir(), "settings.ini")
		must.NoError(t, syscall.Mkfifo(path, 0o600))
		status := make(chan subcommands.ExitStatus, 1)
		go func() { status <- run(t, newJoin(), "-settings", path) }()
		// Opening the pipe waits for the VM.
		settings, err := os.OpenFile(path, os.O_WRONLY, 0)
		must.NoError(t, err)
		must.NoError(t, syscall.Kill(os.Getpid(), s))
		must.NoError(t, settings.Close())
		must.Eq(t, subcommands.ExitUsageError, <-status)
	}
}
