package sycdispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycroute"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

type dispatcher = sycdispatch.Dispatcher[*sycroute.Prefix]

// rig drives one dispatcher.
type rig struct {
	t testing.TB
	*dispatcher
	now    time.Duration
	serial uint64
	shares []sycwork.VersionShare
	config *sycconfig.State
	offset uint64
}

func newRig(t testing.TB, seed uint64) *rig {
	r := &rig{
		t:      t,
		now:    time.Hour,
		shares: []sycwork.VersionShare{{Version: "v1", Weights: "w1", Share: 1}},
		config: sycconfig.NewState(),
	}
	r.dispatcher = sycdispatch.New(sycdispatch.Options{
		FailureDomain: "near",
		Seed:          seed,
		Versions:      func(string) []sycwork.VersionShare { return r.shares },
	}, &sycroute.Prefix{})
	r.put("version", "v1", `{"model":"m","weights":"w1","initial":true}`)
	return r
}

// put publishes a record.
func (r *rig) put(kind, name, spec string) {
	op := fmt.Sprintf(`{"schema":2,"id":"t-%d","op":"put","kind":%q,"name":%q,"spec":%s}`, r.offset, kind, name, spec)
	next, result := r.config.Apply(r.offset, []byte(op))
	must.True(r.t, result.Accepted(), must.Sprint(result.Reason()))
	r.offset++
	r.config = next
	r.Configure(r.now, next)
}

// engine publishes an engine with the given concurrency.
func (r *rig) engine(name, domain string, concurrent int) {
	r.put("endpoint", name, fmt.Sprintf(
		`{"address":"http://%s:80","failure_domain":%q,"type":"engine","models":["m"],"max_concurrent":%d}`,
		name, domain, concurrent,
	))
}

func (r *rig) engines(n, concurrent int) {
	for i := range n {
		r.engine(fmt.Sprintf("e%d", i), "near", concurrent)
	}
}

// report sends a load report of an engine that is ready with w1.
func (r *rig) report(name, incarnation string, running int) {
	r.Report(r.now, r.now, name, sycdispatch.Report{
		Incarnation: incarnation,
		Running:     running,
		Ready:       []sycdispatch.Loaded{{Model: "m", Weights: "w1"}},
	})
}

// holds tells that an engine's cache holds a prompt.
func (r *rig) holds(name, incarnation, customer, prompt string) {
	r.Resync(r.now, name, incarnation, 0, chainOf(customer, prompt))
}

func chainOf(customer, prompt string) []uint64 {
	return sycblock.Chain(sycblock.Salt(customer, "m", "", "w1"), prompt)
}

func (r *rig) request(customer, prompt string) *sycdispatch.Request {
	r.serial++
	q := &sycdispatch.Request{
		ID:           r.serial,
		Customer:     customer,
		Model:        "m",
		PromptTokens: sycblock.Tokens(prompt),
		MaxTokens:    16,
		Deadline:     r.now + time.Minute,
	}
	for _, v := range r.shares {
		salt := sycblock.Salt(customer, "m", v.Adapter, v.Weights)
		q.Options = append(q.Options, sycdispatch.Option{Version: v, Salt: salt, Chain: sycblock.Chain(salt, prompt)})
	}
	return q
}

// elsewhere submits a request that excludes an endpoint.
func (r *rig) elsewhere(name, customer, prompt string) sycdispatch.Decision {
	q := r.request(customer, prompt)
	q.Exclude = []string{name}
	r.Submit(r.now, q)
	list := r.Take()
	must.Len(r.t, 1, list)
	must.NotNil(r.t, list[0].Target)
	return list[0]
}

// ask submits a request and returns its decision, if there is one at once.
func (r *rig) ask(customer, prompt string) (sycdispatch.Decision, bool) {
	q := r.request(customer, prompt)
	r.Submit(r.now, q)
	for _, d := range r.Take() {
		if d.ID == q.ID {
			return d, true
		}
	}
	return sycdispatch.Decision{}, false
}

// place asks for a request that must get an endpoint at once.
func (r *rig) place(customer, prompt string) sycdispatch.Decision {
	d, ok := r.ask(customer, prompt)
	must.True(r.t, ok, must.Sprint("the request waits"))
	must.NotNil(r.t, d.Target, must.Sprint(d.Refusal))
	return d
}

// finish ends an attempt well.
func (r *rig) finish(d sycdispatch.Decision, took time.Duration) {
	r.now += took
	r.FirstToken(r.now, d.ID)
	r.Finish(r.now, d.ID, sycwork.Result{Outcome: sycwork.Succeeded, FirstToken: took})
}

// text returns a prompt of n blocks that differs between names from its first block on.
func text(name string, n int) string {
	return strings.Repeat(name+".", n*sycblock.BytesPerBlock/len(name)+1)[:n*sycblock.BytesPerBlock]
}
