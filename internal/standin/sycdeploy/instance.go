package sycdeploy

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"

	"sycamorecart.example/sycamorecart/internal/operate/sycsetting"
	"sycamorecart.example/sycamorecart/internal/operate/sycvm"
	"sycamorecart.example/sycamorecart/internal/standin/sycprocess"
)

// instance is one run of a router: a process of its own or a VM in this process.
type instance interface {
	// PID returns the id of the process that the router runs in.
	PID() int
	// Done returns a channel that is closed when the router has ended.
	Done() <-chan struct{}
	// Err returns the error that the router ended with. While it runs, a process
	// returns tomb.ErrStillAlive. A VM in this process always returns nil.
	Err() error
	// Kill ends the router without a drain and waits until it has ended.
	Kill()
	// Signal sends a signal to the router's process. It does nothing for a VM in
	// this process.
	Signal(s syscall.Signal)
	// Stop lets the router finish its running requests, waits until it has ended and
	// returns the error that it ended with. After the timeout it kills the router.
	Stop(timeout time.Duration) error
}

// startInstance runs a router with the settings file at the given path. The router is
// a process of Options.Binary or, if that's empty, a VM in this process.
func (d *Deployment) startInstance(settings string) (instance, error) {
	if d.options.Binary == "" {
		return startInProcess(settings)
	}
	return sycprocess.Start(d.options.Output, d.options.Binary, "serve", "-settings", settings)
}

// inProcess is a router that runs as a VM in this process.
type inProcess struct {
	vm *sycvm.VM
	// once closes done only once.
	once sync.Once
	// done is closed when the VM has been closed.
	done chan struct{}
}

// startInProcess starts a VM in this process with the settings file at path.
func startInProcess(path string) (*inProcess, error) {
	settings, err := sycsetting.Read(path)
	if err != nil {
		return nil, err
	}
	vm, err := sycvm.New(settings)
	if err != nil {
		return nil, err
	}
	return &inProcess{vm: vm, done: make(chan struct{})}, nil
}

// PID implements instance.
func (*inProcess) PID() int { return os.Getpid() }

// Done implements instance.
func (i *inProcess) Done() <-chan struct{} { return i.done }

// Err implements instance.
func (*inProcess) Err() error { return nil }

// Kill implements instance.
func (i *inProcess) Kill() { _ = i.close() }

// Signal implements instance.
func (*inProcess) Signal(syscall.Signal) {}

// Stop implements instance.
func (i *inProcess) Stop(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := i.vm.Drain(ctx); err != nil {
		i.Kill()
		return err
	}
	return i.close()
}

// close ends the VM without a drain and closes the Done channel.
func (i *inProcess) close() error {
	err := i.vm.Close()
	i.once.Do(func() { close(i.done) })
	return err
}
