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

// instance is a running router: a process, or a VM within this process.
type instance interface {
	// PID is the process that the router runs in.
	PID() int
	// Done is closed when the router has ended.
	Done() <-chan struct{}
	// Err is what the router ended with.
	Err() error
	// Kill ends the router at once and waits for it.
	Kill()
	// Signal sends a signal to the process. A VM within this process gets none.
	Signal(s syscall.Signal)
	// Stop lets the router finish its requests and returns the error that it
	// ended with. It kills the router when the time has passed.
	Stop(patience time.Duration) error
}

// startInstance runs a router with the settings file: a process of the binary, or a VM
// in this process where there is none.
func (d *Deployment) startInstance(settings string) (instance, error) {
	if d.options.Binary == "" {
		return startInside(settings)
	}
	return sycprocess.Start(d.options.Output, d.options.Binary, "serve", "-settings", settings)
}

// inside is a VM within this process.
type inside struct {
	vm   *sycvm.VM
	once sync.Once
	done chan struct{}
}

func startInside(path string) (*inside, error) {
	settings, err := sycsetting.Read(path)
	if err != nil {
		return nil, err
	}
	vm, err := sycvm.New(settings)
	if err != nil {
		return nil, err
	}
	return &inside{vm: vm, done: make(chan struct{})}, nil
}

// PID implements instance.
func (*inside) PID() int { return os.Getpid() }

// Done implements instance.
func (i *inside) Done() <-chan struct{} { return i.done }

// Err implements instance.
func (*inside) Err() error { return nil }

// Kill implements instance.
func (i *inside) Kill() { _ = i.close() }

// Signal implements instance.
func (*inside) Signal(syscall.Signal) {}

// Stop implements instance.
func (i *inside) Stop(patience time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := i.vm.Drain(ctx); err != nil {
		i.Kill()
		return err
	}
	return i.close()
}

func (i *inside) close() error {
	err := i.vm.Close()
	i.once.Do(func() { close(i.done) })
	return err
}
