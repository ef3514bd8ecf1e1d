package sycchoose_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/syckvstore"
	"sycamorecart.example/sycamorecart/internal/traffic/sycchoose"
	"sycamorecart.example/sycamorecart/internal/traffic/sycfeed"
)

// digestPeriod is the regular time between digests that a VM sends.
const digestPeriod = 200 * time.Millisecond

// deployment is the size of a site: its numbers of failure domains, engines and VMs.
type deployment struct {
	name    string
	domains int
	engines int
	vms     int
	// delay is the one-way delay between failure domains.
	delay time.Duration
}

// bottlers and dairies are the deployments that the benchmarks run on.
var (
	bottlers = deployment{"bottlers", 3, 10, 7, 1500 * time.Microsecond}
	dairies  = deployment{"dairies", 4, 12, 8, 500 * time.Microsecond}
)

// site is a deployment with stand-in engines that runs in the test's process.
type site struct {
	engines []*sycengine.Engine
	vms     []*vm
	// domainOf maps the host and port of each endpoint to its failure domain.
	domainOf map[string]string
	knowledge
}

// knowledge limits what the VMs of a site learn.
type knowledge struct {
	// noDigests stops all digests between VMs, digestsInDomain those between VMs of
	// different failure domains.
	noDigests, digestsInDomain bool
	// noEvents has the VMs ignore cache events and cache lists.
	noEvents bool
}

// loadSink is a Sink that ignores cache events and cache lists.
type loadSink struct {
	*sycchoose.Chooser
}

// Events ignores the batch.
func (s loadSink) Events(name string, _ sycdispatch.Batch) sycdispatch.Position {
	return s.Position(name)
}

// Resync ignores the list.
func (s loadSink) Resync(name, _ string, _ uint64, _ []uint64) sycdispatch.Position {
	return s.Position(name)
}

// vm is a VM of a site.
type vm struct {
	// domain is the VM's failure domain.
	domain  string
	loop    *sycloop.Loop
	chooser *sycchoose.Chooser
	// client sends requests to engines with the network delay of the deployment.
	client *http.Client
}

// delayed is a transport that adds the network delay to calls to other failure domains.
type delayed struct {
	// base sends the calls.
	base http.RoundTripper
	// domain is the failure domain of the caller.
	domain string
	// domainOf maps the host and port of each endpoint to its failure domain.
	domainOf map[string]string
	// delay is the one-way delay between failure domains.
	delay time.Duration
}

// RoundTrip waits for the delay in both directions, then sends the request.
func (d *delayed) RoundTrip(r *http.Request) (*http.Response, error) {
	if d.domainOf[r.URL.Host] != d.domain {
		time.Sleep(2 * d.delay)
	}
	return d.base.RoundTrip(r)
}

// domainName returns the failure domain of the VM or engine with an index.
func domainName(i, domains int) string { return fmt.Sprintf("d%d", i%domains) }

// newSite starts the engines, a KV store and the VMs of a deployment. An engine runs at most
// concurrent requests at a time. The customers have equal weights.
func newSite(t testing.TB, d deployment, policy string, seed uint64, engine sycengine.Options, concurrent int, k knowledge) *site {
	t.Helper()
	s := &site{domainOf: map[string]string{}, knowledge: k}
	records := [][3]string{{"version", "v1", `{"model":"m","weights":"w1","initial":true}`}}
	for i := range d.engines {
		o := engine
		o.Models = map[string]string{"m": "w1"}
		o.Seed = seed + uint64(i)
		e, err := sycengine.New(o)
		must.NoError(t, err)
		t.Cleanup(func() { must.NoError(t, e.Close()) })
		s.engines = append(s.engines, e)
		s.domainOf[e.Address()] = domainName(i, d.domains)
		records = append(records, [3]string{"endpoint", fmt.Sprintf("e%02d", i), fmt.Sprintf(
			`{"address":%q,"failure_domain":%q,"type":"engine","models":["m"],"max_concurrent":%d}`,
			e.URL(), domainName(i, d.domains), concurrent,
		)})
	}
	store, err := syckvstore.New(syckvstore.Options{})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, store.Close()) })
	s.domainOf[strings.TrimPrefix(store.URL(), "http://")] = domainName(0, d.domains)
	records = append(records, [3]string{"endpoint", "kv", fmt.Sprintf(
		`{"address":%q,"failure_domain":%q,"type":"kv_store"}`, store.URL(), domainName(0, d.domains),
	)})
	state := state(t, records...)
	for i := range d.vms {
		s.vms = append(s.vms, s.newVM(t, d, domainName(i, d.domains), policy, seed+uint64(i), state))
	}
	s.exchangeDigests(t)
	return s
}

// newVM starts a VM in a failure domain.
func (s *site) newVM(t testing.TB, d deployment, domain, policy string, seed uint64, state *sycconfig.State) *vm {
	transport := &delayed{
		base:     &http.Transport{MaxIdleConnsPerHost: 64},
		domain:   domain,
		domainOf: s.domainOf,
		delay:    d.delay,
	}
	config := func() *sycconfig.State { return state }
	loop := sycloop.New()
	chooser := sycchoose.New(sycchoose.Options{
		Loop:          loop,
		Config:        config,
		FailureDomain: domain,
		Policy:        policy,
		Seed:          seed * 7919,
	})
	var sink sycfeed.Sink = chooser
	if s.noEvents {
		sink = loadSink{chooser}
	}
	feed := sycfeed.New(sycfeed.Options{
		Loop: loop, Sink: sink, Config: config, Transport: transport, FailureDomain: domain,
	})
	t.Cleanup(func() {
		must.NoError(t, feed.Close())
		must.NoError(t, loop.Close())
		transport.base.(*http.Transport).CloseIdleConnections()
	})
	return &vm{domain: domain, loop: loop, chooser: chooser, client: &http.Client{Transport: transport}}
}

// exchangeDigests sends digests between the VMs, at the regular time and when urgent, until
// the test ends.
func (s *site) exchangeDigests(t testing.TB) {
	ctx, cancel := context.WithCancel(t.Context())
	var senders sync.WaitGroup
	for i, from := range s.vms {
		senders.Go(func() {
			ticker := time.NewTicker(digestPeriod)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				case <-from.chooser.Urgent():
				}
				s.sendDigest(i, from)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		senders.Wait()
	})
}

// sendDigest sends the digest of the VM with an index to the other VMs.
func (s *site) sendDigest(i int, from *vm) {
	var loads []*sycpeerpb.EndpointLoad
	var usages []*sycpeerpb.CustomerService
	from.loop.Do(func(now time.Duration) { loads, usages = from.chooser.Digest(now) })
	for j, to := range s.vms {
		if i == j || s.noDigests || (s.digestsInDomain && from.domain != to.domain) {
			continue
		}
		to.loop.Post(func(now time.Duration) {
			to.chooser.ApplyDigest(now, fmt.Sprint(i), loads, usages)
		})
	}
}

// response is the result of a request.
type response struct {
	// err is set if the request was refused or failed.
	err error
	// firstToken is the time from the request to the first token.
	firstToken time.Duration
	// promptTokens is the length of the prompt, cachedTokens how much of it the engine had
	// cached.
	promptTokens int
	cachedTokens int
	// endpoint names the endpoint that ran the request.
	endpoint string
}

// attempts counts the attempts of all runs, to give each its own ID.
var attempts atomic.Uint64

// run chooses an endpoint for a request and runs it there, as package sycgateway does.
func (v *vm) run(ctx context.Context, w sycwork.Work) response {
	start := time.Now()
	grant, err := v.chooser.Choose(ctx, w)
	if err != nil {
		return response{err: err}
	}
	sent := time.Now()
	result, first, err := v.complete(ctx, w, grant)
	if !first.IsZero() {
		result.FirstToken = first.Sub(sent)
	}
	grant.Done(result)
	return response{
		err:          err,
		firstToken:   first.Sub(start),
		promptTokens: result.PromptTokens,
		cachedTokens: result.CachedTokens,
		endpoint:     grant.Target().Endpoint,
	}
}

// event is the wire form of an event in an engine's response stream.
type event struct {
	Done  bool `json:"done"`
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		CachedTokens     int `json:"cached_tokens"`
	} `json:"usage"`
}

// complete sends a request to the granted endpoint and reads the response stream. first is
// the time of the first token, zero if there was none.
func (v *vm) complete(ctx context.Context, w sycwork.Work, g sycwork.Grant) (result sycwork.Result, first time.Time, err error) {
	t := g.Target()
	result.Outcome = sycwork.Failed
	id := fmt.Sprint("a-", attempts.Add(1))
	body, err := json.Marshal(map[string]any{
		"model": w.Model, "weights": t.Weights, "prompt": w.Prompt, "max_tokens": w.MaxTokens,
		"cache_salt": t.Salt, "priority": t.Priority, "attempt": id, "stream": id, "import": t.Import,
	})
	if err != nil {
		return result, first, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return result, first, err
	}
	response, err := v.client.Do(request)
	if err != nil {
		result.Unreachable = strings.Contains(err.Error(), "refused")
		return result, first, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		result.Outcome = sycwork.Refused
		return result, first, fmt.Errorf("engine responded %s", response.Status)
	}
	result.Incarnation = response.Header.Get("Sycamorecart-Incarnation")
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if first.IsZero() {
			first = time.Now()
			g.FirstToken()
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return result, first, err
		}
		if e.Done {
			result.Outcome = sycwork.Succeeded
			result.PromptTokens = e.Usage.PromptTokens
			result.CachedTokens = e.Usage.CachedTokens
			result.OutputTokens = e.Usage.CompletionTokens
			return result, first, nil
		}
	}
	return result, first, fmt.Errorf("the response stream was interrupted: %w", lines.Err())
}
