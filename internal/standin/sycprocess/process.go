// Package sycprocess runs child processes for tests and benchmarks, such as routers under
// test. It sends them signals and waits until they end.
package sycprocess

import (
	"io"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"
)

// Process is a child process that was started by Start. It's killed when this process
// ends.
type Process struct {
	// tomb runs the goroutine that waits for the process, and holds the error that the
	// process ended with.
	tomb    tomb.Tomb
	command *exec.Cmd
}

// Start starts a program with arguments. Its standard output and standard error go to
// output; nil discards them.
func Start(output io.Writer, program string, arguments ...string) (*Process, error) {
	p := &Process{command: exec.Command(program, arguments...)}
	p.command.Stdout = output
	p.command.Stderr = output
	// Setpgid: if a shell ends and its process group has a stopped process, the kernel sends
	// SIGHUP to the group, so the child gets a group of its own. Pdeathsig: outside the
	// shell's group the child doesn't get the terminal's signals, such as SIGINT, so the
	// kernel kills it when this process ends.
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", program)
	}
	p.tomb.Go(p.command.Wait)
	return p, nil
}

// PID returns the id of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.tomb.Dead() }

// Err returns the error that the process ended with, nil if its exit status was 0. While
// the process runs, Err returns tomb.ErrStillAlive.
func (p *Process) Err() error { return p.tomb.Err() }

// Signal sends a signal to the process. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	if p.tomb.Alive() {
		_ = p.command.Process.Signal(s)
	}
}

// Kill ends the process with SIGKILL and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	_ = p.tomb.Wait()
}

// Stop sends SIGTERM to the process, waits until it has ended and returns the error that
// it ended with. If it hasn't ended after the timeout, Stop kills it and returns an error.
func (p *Process) Stop(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.tomb.Dead():
		return p.tomb.Wait()
	case <-time.After(timeout):
		p.Kill()
		return eris.Errorf("process %d did not end within %s", p.PID(), timeout)
	}
}
