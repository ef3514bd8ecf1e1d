// Package sycprocess starts the processes under test, signals them and waits for
// their end.
package sycprocess

import (
	"io"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"
)

// Process is a child process.
type Process struct {
	tomb    tomb.Tomb
	command *exec.Cmd
}

// Start runs a program; its output goes to the writer.
func Start(output io.Writer, program string, arguments ...string) (*Process, error) {
	p := &Process{command: exec.Command(program, arguments...)}
	p.command.Stdout = output
	p.command.Stderr = output
	// In the group of a shell that ends, a stopped process would get SIGHUP from the kernel.
	// Out of it, it no longer gets the terminal's signals, and must end with this process.
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", program)
	}
	p.tomb.Go(p.command.Wait)
	return p, nil
}

// PID is the id of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.tomb.Dead() }

// Err is what the process ended with; tomb.ErrStillAlive while it runs.
func (p *Process) Err() error { return p.tomb.Err() }

// Signal sends a signal; it does nothing once the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	if p.tomb.Alive() {
		_ = p.command.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	_ = p.tomb.Wait()
}

// Stop asks the process to end, waits for it and returns the error that it
// ended with. It kills the process when the time has passed.
func (p *Process) Stop(patience time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.tomb.Dead():
		return p.tomb.Wait()
	case <-time.After(patience):
		p.Kill()
		return eris.Errorf("process %d did not end within %s", p.PID(), patience)
	}
}
