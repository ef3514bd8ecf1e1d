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
	"syscall"
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
	// callers is the address that the router listens on for callers, front the
	// proxy that they reach it through.
	callers  string
	front    *sycfault.Proxy
	settings string

	mu sync.Mutex
	// operators and peers are the other addresses that the router listens on,
	// peerFront the proxy for other VMs. They change when the router is replaced.
	operators, peers string
	peerFront        *sycfault.Proxy
	// instance is nil while the router doesn't run.
	instance instance
	// paused is set between Pause and Continue.
	paused bool
}

// Name is the name of the router's slot.
func (r *Router) Name() string { return r.name }

// FailureDomain is where the router runs.
func (r *Router) FailureDomain() string { return r.domain }

// URL is the base URL for callers.
func (r *Router) URL() string { return r.front.URL() }

// OperatorURL is the base URL for operators.
func (r *Router) OperatorURL() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return "http://" + r.operators
}

// PeerAddress is the address for other VMs, the router's id in the VM list.
func (r *Router) PeerAddress() string { return r.peerProxy().Address() }

func (r *Router) peerProxy() *sycfault.Proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerFront
}

// ip is the IP number that the router dials from.
func (r *Router) ip() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ip, _, _ := net.SplitHostPort(r.peers)
	return ip
}

// CallerProxy is the proxy between callers and the router.
func (r *Router) CallerProxy() *sycfault.Proxy { return r.front }

// planRouters chooses the routers' addresses and writes their settings.
func (d *Deployment) planRouters() error {
	var routers []*Router
	for _, domain := range d.options.Workload.Domains() {
		for i := range domain.VMs() {
			r := &Router{deployment: d, name: fmt.Sprintf("vm-%s-%d", domain.Name(), i+1), domain: domain.Name()}
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

// nextIP is an IP number that no router of the deployment has had.
func (d *Deployment) nextIP() string {
	return fmt.Sprintf("%s.%d", d.network, firstHost+d.hosts.Add(1)-1)
}

func (r *Router) prepare() error {
	d := r.deployment
	addresses, err := freeAddresses(d.nextIP(), 3)
	if err != nil {
		return err
	}
	r.callers = addresses[0]
	fault := sycfault.Fault{Latency: d.options.Workload.ToClients()}
	front, err := sycfault.New(r.callers, sycfault.Options{Seed: d.options.Seed, Fault: fault})
	if err != nil {
		return err
	}
	r.front = front
	d.onClose(front.Close)
	d.onClose(r.close)
	r.settings = d.file(r.name + ".ini")
	return r.locate(addresses[1], addresses[2])
}

// locate gives the router its addresses for operators and VMs.
func (r *Router) locate(operators, peers string) error {
	front, err := r.deployment.newProxy(peers, r.domain)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.operators, r.peers, r.peerFront = operators, peers, front
	r.mu.Unlock()
	return r.writeSettings(operators, peers)
}

// Replace kills the router, has the platform remove it from the list, and starts
// another in its place. The new one has other addresses for VMs and operators;
// the balancer's address for callers leads to it. Cuts in force don't concern the
// new one.
func (r *Router) Replace() error {
	d := r.deployment
	r.Kill()
	d.platform.RemoveVM(r.PeerAddress())
	addresses, err := freeAddresses(d.nextIP(), 2)
	if err != nil {
		return err
	}
	if err := r.locate(addresses[0], addresses[1]); err != nil {
		return err
	}
	return r.Start()
}

func (r *Router) writeSettings(operators, peers string) error {
	d := r.deployment
	values := map[string]string{
		"vm.failure_domain": r.domain,
		"vm.peer_address":   r.PeerAddress(),
		"listen.callers":    r.callers,
		"listen.operators":  operators,
		"listen.peers":      peers,
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
	r.paused = false
	return i
}

// Kill ends the router at once.
func (r *Router) Kill() {
	if p := r.take(); p != nil {
		p.Kill()
	}
}

// Pause stops the router's process where it is, as a paused VM would. It has an
// effect only where the router is a process of its own.
func (r *Router) Pause() { r.setPaused(true, syscall.SIGSTOP) }

// Continue lets a paused router go on.
func (r *Router) Continue() { r.setPaused(false, syscall.SIGCONT) }

func (r *Router) setPaused(paused bool, signal syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instance == nil {
		return
	}
	r.paused = paused
	r.instance.Signal(signal)
}

// Paused reports whether the router is paused.
func (r *Router) Paused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paused
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

// Err is what the router's process ended with, unless it was told to.
func (r *Router) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instance == nil {
		return nil
	}
	return r.instance.Err()
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
