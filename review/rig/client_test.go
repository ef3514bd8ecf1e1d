//go:build review

package rig

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// key and host are the API key and the host of all requests.
const (
	key  = "wu3fexd9dnn2ctnfzs98"
	host = "jepu9.example"
)

// kind is a kind of request of the sheet.
type kind struct {
	name, path, method string
	deadline           time.Duration
	model              bool
	// once is set if a request may run at most once, resumable if a stream may go on elsewhere.
	once, resumable bool
	bodyBytes       int
}

// kinds are the requests of the site wzp-rota.
var kinds = map[string]kind{
	"rota-draft": {name: "rota-draft", path: "/draft/1", method: "POST", deadline: 15 * time.Second, model: true, resumable: true, bodyBytes: 12000},
	"lot-check":  {name: "lot-check", path: "/check/1", method: "POST", deadline: 3 * time.Second, model: true, once: true, bodyBytes: 2400},
	"slot-book":  {name: "slot-book", path: "/book/1", method: "POST", deadline: time.Second, once: true, bodyBytes: 600},
	"slot-read":  {name: "slot-read", path: "/read/1", method: "GET", deadline: time.Second},
}

// config returns a configuration with the site's routes.
func config(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"rota-draft","host":"%[2]s","pathPrefix":"/draft/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":800,"gapTargetMs":300,"priority":1,"service":"model-pool","maxAttempts":2,"resumable":true,"sticky":true},
{"name":"lot-check","host":"%[2]s","pathPrefix":"/check/","routeType":"streaming","timeoutMs":3000,"targetLatencyMs":400,"gapTargetMs":300,"priority":0,"service":"model-pool","maxAttempts":1,"sticky":true},
{"name":"slot-book","host":"%[2]s","pathPrefix":"/book/","routeType":"non_idempotent","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"rota-app","maxAttempts":1},
{"name":"slot-read","host":"%[2]s","pathPrefix":"/read/","routeType":"idempotent","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"rota-app","maxAttempts":2}],
"services":[{"name":"model-pool","healthPath":"/health","maxConnections":360,"engine":{"slots":64,"kvCapacityTokens":257743,"models":[{"name":"%[3]s"}]}},
{"name":"rota-app","healthPath":"/health","maxConnections":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"sese880","apiKeys":["%[4]s"],"unit":"tokens","uncachedTokens":200,"ratePerS":4000000,"burst":4000000}]}`, version, host, model, key)
}

// model is the name of the model that the engines run.
const model = "daka510000"

// exchange is a client attempt and its answer.
type exchange struct {
	ID, Kind string
	Sent     time.Time
	Status   int
	Stamp    string
	Body     string
	Err      error
	Ended    time.Time
	events   int
}

// send sends one client attempt to a VM and records its answer.
func (d *deployment) send(v *vm, name string, tokensIn, tokensOut int) *exchange {
	k := kinds[name]
	x := &exchange{ID: fmt.Sprintf("%016x", rand.Uint64()), Kind: name, Sent: time.Now(), events: eventsOf(tokensOut)}
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline+time.Second)
	defer cancel()
	var body io.Reader
	if k.bodyBytes > 0 {
		body = strings.NewReader(strings.Repeat("b", k.bodyBytes))
	}
	r, err := http.NewRequestWithContext(ctx, k.method, "http://"+v.callers+k.path, body)
	if err != nil {
		fail("request: %v", err)
	}
	r.Host = host
	r.Header.Set("X-Request-Id", x.ID)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(k.deadline.Milliseconds()))
	if k.model {
		r.Header.Set("X-Model", model)
		r.Header.Set(tokensHeader, fmt.Sprintf("%d,%d", tokensIn, tokensOut))
		shared := tokensIn * 2 / 5
		r.Header.Set(prefixHeader, fmt.Sprintf("%08x:%d,%s:%d", rand.IntN(53), shared, x.ID, tokensIn-shared))
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		x.Err = err
	} else {
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		x.Status, x.Stamp, x.Body, x.Err = response.StatusCode, response.Header.Get(stampHeader), string(data), err
	}
	x.Ended = time.Now()
	d.record.answer(x)
	return x
}

// load sends requests of a kind to the VMs in turn at a rate until a time, and returns when all have ended.
func (d *deployment) load(wait *sync.WaitGroup, name string, perSecond float64, until time.Time, size func() (in, out int)) {
	wait.Add(1)
	go func() {
		defer wait.Done()
		for i := 0; time.Now().Before(until); i++ {
			v := d.vms[i%len(d.vms)]
			in, out := size()
			wait.Add(1)
			go func() {
				defer wait.Done()
				d.send(v, name, in, out)
			}()
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		}
	}()
}
