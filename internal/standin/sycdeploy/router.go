package sycdeploy

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
	// stopTimeout is how long Stop waits for a router to end before it kills it.
	stopTimeout = time.Minute
	// firstHost is the last number of the first router's IPv4 address.
	firstHost = 10
)

// networkCount counts the networks that newNetwork has returned in this process.
var networkCount atomic.Uint32

// newNetwork returns the first three numbers of the IPv4 addresses of a deployment's
// routers. They depend on the process id and on the number of earlier deployments of the
// process. Routers dial from their own addresses, so two deployments with the same
// addresses would take each other's ports.
func newNetwork() string {
	const lowest, count = 16, 200
	return fmt.Sprintf("127.%d.%d", lowest+os.Getpid()%count, networkCount.Add(1)%256)
}

// Router is one VM of a deployment, which runs the router program. The object remains
// when the VM is stopped, restarted or replaced.
type Router struct {
	deployment *Deployment
	// name is the name of the router's rate slot and of its settings file.
	name string
	// domain is the name of the router's failure domain.
	domain string
	// callerListen is the address that the router listens on for callers.
	callerListen string
	// callerProxy carries the callers' connections to the router.
	callerProxy *sycfault.Proxy
	// settingsPath is the path of the router's settings file.
	settingsPath string

	// mu guards the fields below.
	mu sync.Mutex
	// operatorListen and peerListen are the addresses that the router listens on for
	// operators and for other VMs. They change when the router is replaced.
	operatorListen, peerListen string
	// peerProxy carries the connections of other VMs to the router. It changes when the
	// router is replaced.
	peerProxy *sycfault.Proxy
	// instance is the router's current run. It's nil before Start and after Kill or Stop.
	instance instance
	// paused is true from Pause until Continue, Kill or Stop.
	paused bool
	// kills are the times at which Kill was called while the router ran.
	kills []time.Time
}

// Name returns the name of the router's rate slot.
func (r *Router) Name() string { return r.name }

// FailureDomain returns the name of the router's failure domain.
func (r *Router) FailureDomain() string { return r.domain }

// URL returns the router's base URL for callers.
func (r *Router) URL() string { return r.callerProxy.URL() }

// OperatorURL returns the router's base URL for operators.
func (r *Router) OperatorURL() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return "http://" + r.operatorListen
}

// PeerAddress returns the router's address for other VMs, as host:port. It identifies
// the router in the platform's VM list.
func (r *Router) PeerAddress() string { return r.currentPeerProxy().Address() }

// currentPeerProxy returns the proxy that other VMs reach the router through.
func (r *Router) currentPeerProxy() *sycfault.Proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerProxy
}

// ip returns the IP address that the router dials from.
func (r *Router) ip() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ip, _, _ := net.SplitHostPort(r.peerListen)
	return ip
}

// CallerProxy returns the proxy between callers and the router.
func (r *Router) CallerProxy() *sycfault.Proxy { return r.callerProxy }

// prepareRouters creates all routers, chooses their addresses and writes their settings
// files. It doesn't start them.
func (d *Deployment) prepareRouters() error {
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

// freeAddresses returns n addresses of the IP with ports that nothing listens on. It
// doesn't reserve them.
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

// nextIP returns an IP address that no router of the deployment has had.
func (d *Deployment) nextIP() string {
	return fmt.Sprintf("%s.%d", d.network, firstHost+d.hostCount.Add(1)-1)
}

// prepare chooses the router's addresses, starts its proxies and writes its settings file.
func (r *Router) prepare() error {
	d := r.deployment
	addresses, err := freeAddresses(d.nextIP(), 3)
	if err != nil {
		return err
	}
	r.callerListen = addresses[0]
	fault := sycfault.Fault{Latency: d.options.Workload.ToClients()}
	proxy, err := sycfault.New(r.callerListen, sycfault.Options{Seed: d.options.Seed, Fault: fault})
	if err != nil {
		return err
	}
	r.callerProxy = proxy
	d.onClose(proxy.Close)
	d.onClose(r.close)
	r.settingsPath = d.path(r.name + ".ini")
	return r.setAddresses(addresses[1], addresses[2])
}

// setAddresses sets the addresses that the router listens on for operators and for
// other VMs, starts the proxy for the other VMs and writes the settings file.
func (r *Router) setAddresses(operators, peers string) error {
	proxy, err := r.deployment.newProxy(peers, r.domain)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.operatorListen, r.peerListen, r.peerProxy = operators, peers, proxy
	r.mu.Unlock()
	return r.writeSettings(operators, peers)
}

// Replace kills the router, has the platform remove it from the VM list, and starts a
// new VM for the same callers' URL. The new VM has other addresses for operators and for
// other VMs. Faults that SetLink or CutDomains set earlier don't affect connections to
// the new VM.
func (r *Router) Replace() error {
	d := r.deployment
	r.Kill()
	d.platform.RemoveVM(r.PeerAddress())
	addresses, err := freeAddresses(d.nextIP(), 2)
	if err != nil {
		return err
	}
	if err := r.setAddresses(addresses[0], addresses[1]); err != nil {
		return err
	}
	return r.Start()
}

// writeSettings writes the router's settings file: its failure domain and addresses, the
// platform's URLs, drain.settle, and Options.Settings, which override the others.
func (r *Router) writeSettings(operators, peers string) error {
	d := r.deployment
	values := map[string]string{
		"vm.failure_domain": r.domain,
		"vm.peer_address":   r.PeerAddress(),
		"listen.callers":    r.callerListen,
		"listen.operators":  operators,
		"listen.peers":      peers,
		"platform.log":      d.platformProxy.URL(),
		"platform.list":     d.platformProxy.URL(),
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
	return eris.Wrap(file.SaveTo(r.settingsPath), "router settings")
}

// Start starts the router with its settings file. It doesn't wait until it's ready.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, err := r.deployment.startInstance(r.settingsPath)
	if err != nil {
		return err
	}
	r.instance = i
	return nil
}

// detach returns the current run of the router, nil if there is none, and leaves the
// router without one.
func (r *Router) detach() instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.instance
	r.instance = nil
	r.paused = false
	return i
}

// Kill ends the router without a drain and waits until it has ended. It does nothing if
// the router wasn't started.
func (r *Router) Kill() {
	if p := r.detach(); p != nil {
		r.recordKill(time.Now())
		p.Kill()
	}
}

// recordKill records that the router is killed.
func (r *Router) recordKill(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kills = append(r.kills, at)
}

// Kills lists the times at which Kill was called while the router ran.
func (r *Router) Kills() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.kills)
}

// Pause suspends the router's process with SIGSTOP, as a paused VM would be. It has no
// effect on the execution of a router that runs in this process.
func (r *Router) Pause() { r.setPaused(true, syscall.SIGSTOP) }

// Continue resumes a paused router's process with SIGCONT.
func (r *Router) Continue() { r.setPaused(false, syscall.SIGCONT) }

// setPaused sends the signal to the router's process and records whether it's paused.
// It does nothing if the router isn't started.
func (r *Router) setPaused(paused bool, signal syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instance == nil {
		return
	}
	r.paused = paused
	r.instance.Signal(signal)
}

// Paused reports whether Pause was called and the router wasn't resumed, stopped or
// killed since.
func (r *Router) Paused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paused
}

// Stop shuts the router down gracefully and returns the error that it ended with. It
// kills the router after a minute.
func (r *Router) Stop() error {
	p := r.detach()
	if p == nil {
		return nil
	}
	return eris.Wrapf(p.Stop(stopTimeout), "router %s", r.name)
}

// close kills the router. It's called when the deployment is closed.
func (r *Router) close() error {
	r.Kill()
	return nil
}

// PID returns the id of the process that the router runs in, or 0 if the router isn't
// started.
func (r *Router) PID() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instance == nil {
		return 0
	}
	return r.instance.PID()
}

// Err returns the error that the router ended with by itself, or tomb.ErrStillAlive while
// its process runs. It's nil before Start, after Kill or Stop, and for a router that runs
// in this process.
func (r *Router) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instance == nil {
		return nil
	}
	return r.instance.Err()
}

// Running reports whether the router was started and hasn't ended. A paused router is
// running.
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

// FindBinary returns the path of the router program in the folder of this process's
// executable. It fails if there is none.
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

// routerPackage is the import path of the router program.
const routerPackage = "sycamorecart.example/sycamorecart/cmd/sycamorecart"

// BuildRouter compiles the router program into a folder and returns the program's path.
func BuildRouter(folder string) (string, error) {
	program := filepath.Join(folder, "sycamorecart")
	output, err := exec.Command("go", "build", "-o", program, routerPackage).CombinedOutput()
	if err != nil {
		return "", eris.Wrapf(err, "build the router: %s", output)
	}
	return program, nil
}
