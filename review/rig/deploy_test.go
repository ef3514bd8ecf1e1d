//go:build review

package rig

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"sycamorecart.example/sycamorecart/platform/sycfakestore"
)

// vm is one router process, started like the deploy file does.
type vm struct {
	name                      string
	zone                      string
	callers, readiness, peers string
	settings                  string
	log                       *os.File
	command                   *exec.Cmd
	exited                    chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir     string
	store   *sycfakestore.Store
	workers []*worker
	vms     []*vm
	started time.Time
	record  *record
	stop    chan struct{}
}

// freePorts returns free ports of a loopback IP number.
func freePorts(ip string, count int) []string {
	var out []string
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			fail("no free port: %v", err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out
}

// processes are the processes that were started, and folder is the temporary folder.
var (
	processes []*os.Process
	folder    string
)

// section and value match the placeholders that deploy/vm.ini uses.
var (
	section = regexp.MustCompile(`\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	value   = regexp.MustCompile(`\{\{([a-zA-Z.]+)\}\}`)
)

// render fills in the template deploy/vm.ini as the platform does.
func render(template string, fields map[string]string) string {
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if fields[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return value.ReplaceAllStringFunc(text, func(s string) string { return fields[value.FindStringSubmatch(s)[1]] })
}

// newDeployment starts the store.
func newDeployment(r *record) *deployment {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("no temporary folder: %v", err)
	}
	folder = dir
	return &deployment{dir: dir, store: sycfakestore.New(), record: r, stop: make(chan struct{}), started: time.Now()}
}

// addVM reserves the addresses of a VM in a zone.
func (d *deployment) addVM(zone string) {
	i := len(d.vms) + 1
	// Runs beside each other use different IP numbers.
	ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%200, i)
	ports := freePorts(ip, 3)
	v := &vm{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, callers: ports[0], readiness: ports[1], peers: ports[2]}
	d.vms = append(d.vms, v)
}

// startVMs writes the VMs' settings and starts them.
func (d *deployment) startVMs() {
	template, err := os.ReadFile("deploy/vm.ini")
	if err != nil {
		fail("template: %v", err)
	}
	var seeds []string
	for _, v := range d.vms {
		seeds = append(seeds, v.peers)
	}
	for _, v := range d.vms {
		fields := map[string]string{
			"nodeName": v.name, "zone": v.zone, "bootstrap": "true", "seeds": strings.Join(seeds[:min(3, len(seeds))], ","),
			"limits.memoryMb": "284", "limits.cpuShare": "0.4", "limits.linkMbps": "1000",
			"listen.frontend": v.callers, "listen.readiness": v.readiness, "listen.controlPlane": v.peers, "ip": strings.Split(v.callers, ":")[0],
			"platform.address": d.store.Address(),
			"bounds.leaseMs":   "3000", "bounds.configApplyMs": "2000", "bounds.drainMs": "2000", "bounds.versionMs": "8000", "bounds.graceS": "8",
			"bounds.retryBudgetRatio": "0.2", "bounds.budgetMinRetries": "54", "bounds.exposureShare": "0.1",
			"bounds.quotaWindowS": "8", "bounds.quotaSlack": "140000",
		}
		text := render(string(template), fields)
		v.settings = filepath.Join(d.dir, v.name+".ini")
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			fail("settings: %v", err)
		}
		d.startVM(v)
	}
}

// startVM starts one VM's process with the deploy file's command.
func (d *deployment) startVM(v *vm) {
	log, err := os.OpenFile(filepath.Join(d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	c := exec.Command("target/sycamorecart", "join")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + v.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail("start: %v", err)
	}
	processes = append(processes, c.Process)
	v.log, v.command, v.exited = log, c, make(chan struct{})
	go func() {
		_ = c.Wait()
		close(v.exited)
	}()
}

// awaitReady waits until all VMs answer their readiness check with 200.
func (d *deployment) awaitReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range d.vms {
			if response, err := client.Get("http://" + v.readiness + "/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.vms) {
			return
		}
		if time.Now().After(end) {
			fail("the VMs aren't ready")
		}
	}
}

// beat writes the entries of all workers each heartbeat until the deployment ends.
func (d *deployment) beat() {
	for {
		for _, w := range d.workers {
			if text := w.entry(); text != "" {
				d.store.Put(workersTopic, w.id, text)
			}
		}
		select {
		case <-d.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// close ends all processes and stand-ins. Logs of VMs are kept if REVIEW_LOGS names a folder.
func (d *deployment) close() {
	close(d.stop)
	for _, v := range d.vms {
		if v.command != nil {
			_ = v.command.Process.Signal(syscall.SIGCONT)
			_ = v.command.Process.Kill()
			<-v.exited
			_ = v.log.Close()
		}
	}
	for _, w := range d.workers {
		w.close()
	}
	_ = d.store.Close()
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(d.dir, "*.log"))
		for _, l := range logs {
			if data, err := os.ReadFile(l); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(l)), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.dir)
}

// fail ends the program with the exit code for a case that couldn't run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "case couldn't run: "+format+"\n", args...)
	for _, p := range processes {
		_ = p.Kill()
	}
	if folder != "" {
		_ = os.RemoveAll(folder)
	}
	os.Exit(exitNotRun)
}
