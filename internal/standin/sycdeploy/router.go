package sycdeploy

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
)

const (
	// stopPatience is how long a router may take to stop.
	stopPatience = time.Minute
	// firstHost is the last part of the first router's IP number.
	firstHost = 10
)

// networks counts the deployments of this process.
var networks atomic.Uint32

// newNetwork returns the first three parts of the IP numbers of a deployment's
// routers. Routers dial from their own numbers, so that two deployments with the
// same ones would take each other's ports.
func newNetwork() string {
	const lowest, count = 16, 200
	return fmt.Sprintf("127.%d.%d", lowest+os.Getpid()%count, networks.Add(1)%256)
}

// Router is a router of a deployment.
type Router struct {
	deployment *Deployment
	name       string
	domain     string
	// callers, operators and peers are the addresses that the router listens on.
	callers, operators, peers string
	// front is the proxy that callers reach the router through, peerFront the one
	// for other VMs.
	front     *sycfault.Proxy
	peerFront *sycfault.Proxy
	settings  string

	mu sync.Mutex
	// instance is nil while the router doesn't run.
	instance instance
}

// Name is the name of the router's slot.
func (r *Router) Name() string { return r.name }

// FailureDomain is where the router runs.
func (r *Router) FailureDomain() string { return r.domain }

// URL is the base URL for callers.
func (r *Router) URL() string { return r.front.URL() }

// Operators is the base URL for operators.
func (r *Router) Operators() string { return "http://" + r.operators }

// Peers is the address for other VMs, the router's id in the VM list.
func (r *Router) Peers() string { return r.peerFront.Address() }

// Front is the proxy between callers and the router.
func (r *Router) Front() *sycfault.Proxy { return r.front }

// planRouters chooses the routers' addresses and writes their settings.
func (d *Deployment) planRouters() error {
	var routers []*Router
	for _, domain := range d.options.Workload.Domains() {
		for i := range domain.VMs() {
			r := &Router{deployment: d, name: fmt.Sprintf("vm-%s-%d", domain.Name(), i+1), domain: domain.Name()}
			ip := fmt.Sprintf("%s.%d", d.network, firstHost+len(routers))
			addresses, err := freeAddresses(ip, 3)
			if err != nil {
				return err
			}
			r.callers, r.operators, r.peers = addresses[0], addresses[1], addresses[2]
			if err := r.prepare(); err != nil {
				return err
			}
			routers = append(routers, r)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routers = routers
	return nil
}

// freeAddresses finds ports of an IP number that nothing listens on.
func freeAddresses(ip string, n int) ([]string, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	addresses := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, eris.Wrap(err, "free address")
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

func (r *Router) prepare() error {
	d := r.deployment
	fault := sycfault.Fault{Latency: d.options.Workload.ToClients()}
	front, err := sycfault.New(r.callers, sycfault.Options{Seed: d.options.Seed, Fault: fault})
	if err != nil {
		return err
	}
	r.front = front
	d.onClose(front.Close)
	r.peerFront, err = d.newProxy(r.peers, r.domain)
	if err != nil {
		return err
	}
	d.onClose(r.close)
	r.settings = d.file(r.name + ".ini")
	return r.writeSettings()
}

func (r *Router) writeSettings() error {
	d := r.deployment
	values := map[string]string{
		"vm.failure_domain": r.domain,
		"vm.peer_address":   r.Peers(),
		"listen.callers":    r.callers,
		"listen.operators":  r.operators,
		"listen.peers":      r.peers,
		"platform.log":      d.front.URL(),
		"platform.list":     d.front.URL(),
		"drain.settle":      "200ms",
	}
	for key, value := range d.options.Settings {
		values[key] = value
	}
	file := ini.Empty()
	for path, value := range values {
		section, key, ok := strings.Cut(path, ".")
		if !ok {
			return eris.Errorf("setting %q isn't of the form section.key", path)
		}
		if _, err := file.Section(section).NewKey(key, value); err != nil {
			return eris.Wrapf(err, "setting %q", path)
		}
	}
	return eris.Wrap(file.SaveTo(r.settings), "router settings")
}

// Start runs the router.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, err := r.deployment.startInstance(r.settings)
	if err != nil {
		return err
	}
	r.instance = i
	return nil
}

// take returns the running router and forgets it.
func (r *Router) take() instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.instance
	r.instance = nil
	return i
}

// Kill ends the router at once.
func (r *Router) Kill() {
	if p := r.take(); p != nil {
		p.Kill()
	}
}

// Stop shuts the router down and returns the error that it ended with.
func (r *Router) Stop() error {
	p := r.take()
	if p == nil {
		return nil
	}
	return eris.Wrapf(p.Stop(stopPatience), "router %s", r.name)
}

func (r *Router) close() error {
	r.Kill()
	return nil
}

// PID is the router's process, 0 while it doesn't run.
func (r *Router) PID() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instance == nil {
		return 0
	}
	return r.instance.PID()
}

// Running reports whether the router was started and has not ended.
func (r *Router) Running() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instance == nil {
		return false
	}
	select {
	case <-r.instance.Done():
		return false
	default:
		return true
	}
}

// FindBinary returns the router program beside the running one.
func FindBinary() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", eris.Wrap(err, "find the router program")
	}
	program := filepath.Join(filepath.Dir(self), "sycamorecart")
	if _, err := os.Stat(program); err != nil {
		return "", eris.Wrap(err, "no router program beside this one")
	}
	return program, nil
}

// routerPackage is the router program's package.
const routerPackage = "sycamorecart.example/sycamorecart/cmd/sycamorecart"

// BuildRouter compiles the router program into a folder and returns its path.
func BuildRouter(folder string) (string, error) {
	program := filepath.Join(folder, "sycamorecart")
	output, err := exec.Command("go", "build", "-o", program, routerPackage).CombinedOutput()
	if err != nil {
		return "", eris.Wrapf(err, "build the router: %s", output)
	}
	return program, nil
}
