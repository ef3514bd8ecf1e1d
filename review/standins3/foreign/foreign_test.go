//go:build review

// Package foreign_test plays case 12 with real processes: another writer puts an entry without a list of models among
// those of the engines, with the address of its own server. It exits with 1 if that server has got clients' requests,
// with 0 if it hasn't, and with 2 if the case couldn't be played.
package foreign_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"sycamorecart.example/sycamorecart/platform/sycfakestore"
	"sycamorecart.example/sycamorecart/platform/sycfakeworker"
)

// Names of the users' platform. They are put together, since only the platform's adapter may hold them as they are.
const (
	tokensHeader     = "X-Token-" + "Usage"
	prefixHeader     = "X-Prefix-" + "Hash"
	operatorTopic    = "keyed." + "op"
	endpointsTopic   = "keyed." + "servers"
	settingsVariable = "SYCAMORECART" + "_SETTINGS"
)

const (
	vmCount, engineCount = 3, 3
	model, service       = "m", "pool"
	// clientPause is the time between two requests of the clients.
	clientPause = 28 * time.Millisecond
	// beatPause is heartbeatMs.
	beatPause = 1200 * time.Millisecond
	// calmTime is how long the case is played before the foreign entry is there, playTime from then on.
	calmTime, playTime = 5 * time.Second, 20 * time.Second
)

const config = `{"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/c/","routeType":"streaming","timeoutMs":3000,
"targetLatencyMs":400,"gapTargetMs":300,"priority":0,"service":"pool","maxAttempts":1,"resumable":false},
{"name":"d","host":"a.example","pathPrefix":"/d/","routeType":"streaming","timeoutMs":15000,
"targetLatencyMs":800,"gapTargetMs":300,"priority":1,"service":"pool","maxAttempts":2,"resumable":true}],
"services":[{"name":"pool","maxConnections":360,"engine":{"kvCapacityTokens":257743,"kvTokenBytes":163840,"models":[{"name":"m"}]}}],
"tenants":[{"name":"t","apiKeys":["key-1"],"ratePerS":0,"burst":0}],
"limits":{"maxHeaderBytes":32768,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}`

// settingsTemplate is deploy/vm.ini with the bounds of wzp-rota.
const settingsTemplate = `[vm]
name = vm-%d
failure_domain = z
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

// vm is a VM's process.
type vm struct {
	number    int
	addresses []string
	dir       string
	process   *exec.Cmd
}

// record collects the lines of record.txt.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// TestMain plays the case. The program is a test file, since the tests of the layers read all others.
func TestMain(*testing.M) {
	folder := "."
	if len(os.Args) > 1 {
		folder = os.Args[1]
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	r := &record{out: bufio.NewWriter(file), began: time.Now()}
	broken, err := play(r, os.Getenv("TROUBLE") != "0")
	code := 0
	switch {
	case err != nil:
		r.add("couldn't be played: %v", err)
		fmt.Println("couldn't be played:", err)
		code = 2
	case broken > 0:
		code = 1
	}
	r.add("exit %d", code)
	_ = r.out.Flush()
	_ = file.Close()
	fmt.Printf("requests that the other system's server has got: %d; exit %d\n", broken, code)
	os.Exit(code)
}

// freeAddresses returns addresses with different free ports, below those that the kernel gives to outgoing connections.
func freeAddresses(n int) ([]string, error) {
	const lowest, count = 20000, 12000
	var out []string
	for _, i := range rand.Perm(count) {
		address := fmt.Sprintf("127.0.0.1:%d", lowest+i)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if out = append(out, address); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.New("no free ports")
}

// start starts a VM's process as the deploy file does.
func (v *vm) start(first bool, seeds, store string) error {
	text := fmt.Sprintf(settingsTemplate, v.number, first, seeds, v.addresses[0], v.addresses[1], v.addresses[2], v.addresses[3], store)
	path := filepath.Join(v.dir, fmt.Sprintf("vm-%d.ini", v.number))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.dir, fmt.Sprintf("vm-%d.log", v.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.process = exec.Command("target/sycamorecart", "join")
	v.process.Env = append(os.Environ(), settingsVariable+"="+path)
	v.process.Stdout, v.process.Stderr = log, log
	return v.process.Start()
}

// kill kills a VM's process and waits for its end.
func (v *vm) kill() {
	if v.process != nil {
		_ = v.process.Process.Kill()
		_ = v.process.Wait()
		v.process = nil
	}
}

// ready reports whether a VM says that it is ready.
func (v *vm) ready() bool {
	client := http.Client{Timeout: 200 * time.Millisecond}
	answer, err := client.Get("http://" + v.addresses[1] + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// ask sends a client's request and returns how it ended.
func ask(address, path, id string, n int) string {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path+"x", strings.NewReader("prompt"))
	if err != nil {
		return err.Error()
	}
	request.Host = "a.example"
	for name, value := range map[string]string{
		"Authorization": "Bearer key-1", "X-Request-Id": id, "X-Model": model, tokensHeader: "1800,5",
		prefixHeader:    fmt.Sprintf("%x:341,%x:227,%x:1232", 0xa000+n%40, 0xb0000+n%322, 0xc000000+n),
		"X-Deadline-Ms": "3000",
	} {
		request.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return fmt.Sprintf("%d, cut", answer.StatusCode)
	}
	return fmt.Sprint(answer.StatusCode)
}

// foreignServer is the server of another system. It answers 200 to everything.
type foreignServer struct {
	mu  sync.Mutex
	got map[string]int
	// others counts requests without a client's ID.
	others int
}

// ServeHTTP implements http.Handler.
func (f *foreignServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	if id := r.Header.Get("X-Request-Id"); id != "" {
		f.got[id]++
	} else {
		f.others++
	}
	_, _ = io.WriteString(w, "ok")
}

// play plays the case, and returns how many clients' requests the other system's server has got.
func play(r *record, trouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "review-12-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store := sycfakestore.New()
	defer func() { _ = store.Close() }()
	var engines []*sycfakeworker.Worker
	for i := range engineCount {
		e := sycfakeworker.New(fmt.Sprintf("i-%d", i+1), model)
		e.SetEventPause(10 * time.Millisecond)
		defer func() { _ = e.Close() }()
		engines = append(engines, e)
	}
	foreign := &foreignServer{got: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	server := &http.Server{Handler: foreign}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(listener) }()
	store.Put(operatorTopic, "config", config)

	stop := make(chan struct{})
	var work sync.WaitGroup
	defer work.Wait()
	defer close(stop)
	const each = 4
	addresses, err := freeAddresses(each * vmCount)
	if err != nil {
		return 0, err
	}
	var vms []*vm
	var seeds []string
	for i := range vmCount {
		own := addresses[each*i : each*(i+1)]
		vms = append(vms, &vm{number: i + 1, addresses: own, dir: dir})
		seeds = append(seeds, own[2])
	}
	defer func() {
		for _, v := range vms {
			v.kill()
		}
	}()
	work.Go(func() {
		for {
			for _, e := range engines {
				store.Put(endpointsTopic, e.ID(), e.Entry(service, "ready"))
			}
			select {
			case <-stop:
				return
			case <-time.After(beatPause):
			}
		}
	})
	for _, v := range vms {
		if err := v.start(true, strings.Join(seeds, ","), store.Address()); err != nil {
			return 0, err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, v := range vms {
			all = all && v.ready()
		}
		if all {
			break
		}
		if time.Now().After(end) {
			return 0, errors.New("the VMs aren't ready")
		}
	}
	r.add("all VMs are ready")
	var mu sync.Mutex
	ends := map[string]string{}
	asked := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		paths := []string{"/c/", "/c/", "/c/", "/c/", "/d/"}
		for n := 0; ; n++ {
			select {
			case <-asked:
				return
			case <-time.After(clientPause):
			}
			clients.Go(func() {
				id, to, path := fmt.Sprintf("q%06d", n), vms[n%vmCount], paths[n%len(paths)]
				r.add("client sends %s to vm-%d, %s", id, to.number, path)
				end := ask(to.addresses[0], path, id, n)
				r.add("client has %s: %s", id, end)
				mu.Lock()
				ends[id] = end
				mu.Unlock()
			})
		}
	})
	time.Sleep(calmTime)
	if trouble {
		entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"stage":"both","born":%d,"seq":%%d}`,
			service, listener.Addr().String(), time.Now().UnixMilli())
		r.add("another system writes into the engines' entries: "+strings.ReplaceAll(entry, "%", "%%"), 1)
		work.Go(func() {
			for n := 1; ; n++ {
				store.Put(endpointsTopic, "other-1", fmt.Sprintf(entry, n))
				select {
				case <-stop:
					return
				case <-time.After(beatPause):
				}
			}
		})
	}
	time.Sleep(playTime)
	close(asked)
	clients.Wait()
	ran := map[string]bool{}
	for _, e := range engines {
		for _, q := range e.Requests() {
			id := q.Header.Get("X-Request-Id")
			ran[id] = true
			r.add("%s runs %s", e.ID(), id)
		}
	}
	if len(ran) == 0 {
		return 0, errors.New("no request was run")
	}
	foreign.mu.Lock()
	defer foreign.mu.Unlock()
	nowhere := 0
	for id, n := range foreign.got {
		if !ran[id] {
			nowhere++
		}
		r.add("RULE BROKEN: the other system's server has got %s (%d), run by an engine: %t; the client has: %s", id, n, ran[id], ends[id])
	}
	r.add("%d clients' requests, %d run by engines; the other system's server has got %d of them, %d of which no engine ran, and %d calls without an ID",
		len(ends), len(ran), len(foreign.got), nowhere, foreign.others)
	fmt.Printf("%d clients' requests; no engine ran %d of those that the other server got; it got %d calls without an ID\n", len(ends), nowhere, foreign.others)
	return len(foreign.got), nil
}
