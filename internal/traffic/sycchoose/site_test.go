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

// sharePeriod is the time between digests of the VMs of a failure domain.
const sharePeriod = 200 * time.Millisecond

// deployment is the size of a site.
type deployment struct {
	name    string
	domains int
	engines int
	vms     int
	// delay is the one-way delay between failure domains.
	delay time.Duration
}

var (
	bottlers = deployment{"bottlers", 3, 10, 7, 1500 * time.Microsecond}
	dairies  = deployment{"dairies", 4, 12, 8, 500 * time.Microsecond}
)

// site is a deployment that runs in the test's process.
type site struct {
	engines []*sycengine.Engine
	vms     []*vm
	// domainOf gives the failure domain of each engine's host.
	domainOf map[string]string
	knowledge
}

// knowledge is what a site's VMs learn.
type knowledge struct {
	// alone stops digests, within keeps them inside a failure domain.
	alone, within bool
	// deaf stops cache events and lists.
	deaf bool
}

// deafSink takes load reports only.
type deafSink struct {
	*sycchoose.Chooser
}

// Events forgets the batch.
func (s deafSink) Events(name string, _ sycdispatch.Batch) sycdispatch.Position {
	return s.Position(name)
}

// Resync forgets the list.
func (s deafSink) Resync(name, _ string, _ uint64, _ []uint64) sycdispatch.Position {
	return s.Position(name)
}

type vm struct {
	domain  string
	loop    *sycloop.Loop
	chooser *sycchoose.Chooser
	client  *http.Client
}

// delayed adds the way to other failure domains and back to each call.
type delayed struct {
	base     http.RoundTripper
	domain   string
	domainOf map[string]string
	delay    time.Duration
}

// RoundTrip waits before it sends.
func (d *delayed) RoundTrip(r *http.Request) (*http.Response, error) {
	if d.domainOf[r.URL.Host] != d.domain {
		time.Sleep(2 * d.delay)
	}
	return d.base.RoundTrip(r)
}

func domainName(i, domains int) string { return fmt.Sprintf("d%d", i%domains) }

// newSite starts engines and VMs. The customers have equal weights.
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
	s.share(t)
	return s
}

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
	if s.deaf {
		sink = deafSink{chooser}
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

// share passes digests between the VMs, at the regular time and when urgent.
func (s *site) share(t testing.TB) {
	ctx, cancel := context.WithCancel(t.Context())
	var sharers sync.WaitGroup
	for i, from := range s.vms {
		sharers.Go(func() {
			ticker := time.NewTicker(sharePeriod)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				case <-from.chooser.Urgent():
				}
				s.shareFrom(i, from)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		sharers.Wait()
	})
}

func (s *site) shareFrom(i int, from *vm) {
	var loads []*sycpeerpb.EndpointLoad
	var services []*sycpeerpb.CustomerService
	from.loop.Do(func(now time.Duration) { loads, services = from.chooser.Digest(now) })
	for j, to := range s.vms {
		if i == j || s.alone || (s.within && from.domain != to.domain) {
			continue
		}
		to.loop.Post(func(now time.Duration) {
			to.chooser.ApplyDigest(now, fmt.Sprint(i), loads, services)
		})
	}
}

// answer is what became of a request.
type answer struct {
	err          error
	firstToken   time.Duration
	promptTokens int
	cachedTokens int
	endpoint     string
}

var attempts atomic.Uint64

// run sends one request the way the gateway does.
func (v *vm) run(ctx context.Context, w sycwork.Work) answer {
	start := time.Now()
	grant, err := v.chooser.Choose(ctx, w)
	if err != nil {
		return answer{err: err}
	}
	sent := time.Now()
	result, first, err := v.complete(ctx, w, grant)
	if !first.IsZero() {
		result.FirstToken = first.Sub(sent)
	}
	grant.Done(result)
	return answer{
		err:          err,
		firstToken:   first.Sub(start),
		promptTokens: result.PromptTokens,
		cachedTokens: result.CachedTokens,
		endpoint:     grant.Target().Endpoint,
	}
}

type event struct {
	Done  bool `json:"done"`
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		CachedTokens     int `json:"cached_tokens"`
	} `json:"usage"`
}

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
		return result, first, fmt.Errorf("engine answered %s", response.Status)
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
	return result, first, fmt.Errorf("the stream broke off: %w", lines.Err())
}
