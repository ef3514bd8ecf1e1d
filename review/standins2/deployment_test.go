//go:build review

package standins2_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// The names of the deployment, as an operator would choose them.
const (
	host      = "rota.example"
	appName   = "rota-app"
	tenant    = "spring-co"
	tenantKey = "wu3fexd9dnn2ctnfzs98"
)

// settings is deploy/vm.ini as the platform fills it in for a machine of a small deployment.
const settings = `[vm]
name = %s
failure_domain = %s
first_start = %t
seeds = %s
memory_mb = 284
cores = 0.4
link_mbps = 1000

[listen]
callers = %s
readiness = %s
peers = %s
metrics = %s

[store]
address = %s

[bounds]
lease = 3000ms
config = 2000ms
drain = 2000ms
weights = 8000ms
grace = 8s
retry_share = 0.2
retry_floor = 54
rollout_share = 0.1
quota_window = 8s
quota_slack = 140000
`

// machine is a VM's process with its addresses.
type machine struct {
	name, zone                         string
	callers, readiness, peers, metrics string
	process                            *exec.Cmd
}

// deployment is a small deployment: the store, workers of a plain service and VMs.
type deployment struct {
	record   *record
	store    *store
	workers  []*worker
	machines []*machine
	program  string
	dir      string
}

// freeAddress returns a loopback address whose port is free. The port is below those that the kernel gives to
// outgoing connections, so that it stays free while a process is down.
func freeAddress() (string, error) {
	const first, count, tries = 12000, 16000, 100
	var err error
	for range tries {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count))); err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", err
}

// newDeployment starts the store, three workers and three machines, and waits until these are ready.
func newDeployment(r *record, program, dir string) (*deployment, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, store: s, program: program, dir: dir}
	s.put(operatorTopic, "config", configuration())
	zones := []string{"zakopane", "nowy-targ", "krynica"}
	for i, zone := range zones {
		w, err := newWorker(r, s, fmt.Sprintf("i-7f3a91c%d", i), appName, zone)
		if err != nil {
			return nil, err
		}
		d.workers = append(d.workers, w)
	}
	for _, zone := range zones {
		m := &machine{name: "front-" + zone + "-1", zone: zone}
		for _, address := range []*string{&m.callers, &m.readiness, &m.peers, &m.metrics} {
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		d.machines = append(d.machines, m)
	}
	return d, d.start(true)
}

// configuration returns the operator's configuration.
func configuration() string {
	route := map[string]any{
		"host": host, "targetLatencyMs": 150, "priority": 2, "service": appName, "public": false, "sticky": false, "resumable": false,
	}
	book, read := map[string]any{}, map[string]any{}
	for k, v := range route {
		book[k], read[k] = v, v
	}
	book["name"], book["pathPrefix"], book["routeType"], book["maxAttempts"] = "slot-book", "/book/", "non_idempotent", 1
	read["name"], read["pathPrefix"], read["routeType"], read["maxAttempts"] = "slot-read", "/read/", "idempotent", 2
	draft := map[string]any{
		"name": "rota-draft", "host": host, "pathPrefix": "/draft/", "routeType": "streaming", "timeoutMs": 15000, "targetLatencyMs": 800,
		"gapTargetMs": 300, "priority": 1, "service": poolName, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true,
	}
	pool := map[string]any{
		"name": poolName, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kvCapacityTokens": 257743, "kvTokenBytes": 163840, "models": []any{map[string]any{"name": modelName}},
		},
	}
	text, _ := json.Marshal(map[string]any{
		"version": 7, "routes": []any{book, read, draft},
		"services": []any{pool, map[string]any{"name": appName, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{tenantKey}, "unit": "tokens", "uncachedTokens": 200, "isolated": false}},
	})
	return string(text)
}

// start starts the machines' processes, and waits until all are ready.
func (d *deployment) start(first bool) error {
	var seeds []string
	for _, m := range d.machines {
		seeds = append(seeds, m.peers)
	}
	for _, m := range d.machines {
		text := fmt.Sprintf(settings, m.name, m.zone, first, strings.Join(seeds, ","), m.callers, m.readiness, m.peers, m.metrics, d.store.address)
		path := filepath.Join(d.dir, m.name+".ini")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		m.process = exec.Command(d.program, "join")
		m.process.Env = append(os.Environ(), settingsEnv+"="+path)
		m.process.Stdout, m.process.Stderr = log, log
		if err := m.process.Start(); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	d.record.write("all machines are ready")
	return nil
}

// awaitReady waits until a machine says that it is ready.
func (m *machine) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 200 {
		if answer, err := client.Get("http://" + m.readiness + "/ready"); err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s isn't ready after 10 s", m.name)
}

// kill kills the machines' processes and waits for their ends.
func (d *deployment) kill() {
	for _, m := range d.machines {
		if m.process != nil && m.process.Process != nil {
			_ = m.process.Process.Kill()
			_ = m.process.Wait()
		}
	}
}
