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

// rig drives one Dispatcher in a test, with its own clock and configuration.
type rig struct {
	t testing.TB
	*dispatcher
	// now is the current time on the rig's clock.
	now time.Duration
	// lastID is the ID of the last request.
	lastID uint64
	// versionShares are the traffic shares that the Dispatcher sees for every model.
	versionShares []sycwork.VersionShare
	config        *sycconfig.State
	// offset is the log offset of the next record.
	offset uint64
}

// newRig returns a rig without endpoints, with the version v1 of model m in service.
func newRig(t testing.TB, seed uint64) *rig {
	r := &rig{
		t:             t,
		now:           time.Hour,
		versionShares: []sycwork.VersionShare{{Version: "v1", Weights: "w1", Share: 1}},
		config:        sycconfig.NewState(),
	}
	r.dispatcher = sycdispatch.New(sycdispatch.Options{
		FailureDomain: "near",
		Seed:          seed,
		Versions:      func(string) []sycwork.VersionShare { return r.versionShares },
	}, &sycroute.Prefix{})
	r.publish("version", "v1", `{"model":"m","weights":"w1","initial":true}`)
	return r
}

// publish adds a record to the configuration and applies it.
func (r *rig) publish(kind, name, spec string) {
	op := fmt.Sprintf(`{"schema":2,"id":"t-%d","op":"put","kind":%q,"name":%q,"spec":%s}`, r.offset, kind, name, spec)
	next, result := r.config.Apply(r.offset, []byte(op))
	must.True(r.t, result.Accepted(), must.Sprint(result.Reason()))
	r.offset++
	r.config = next
	r.Configure(r.now, next)
}

// addEngine publishes an engine with the given concurrency.
func (r *rig) addEngine(name, domain string, concurrent int) {
	r.publish("endpoint", name, fmt.Sprintf(
		`{"address":"http://%s:80","failure_domain":%q,"type":"engine","models":["m"],"max_concurrent":%d}`,
		name, domain, concurrent,
	))
}

// addEngines publishes n engines named e0, e1 and so on in the VM's failure domain.
func (r *rig) addEngines(n, concurrent int) {
	for i := range n {
		r.addEngine(fmt.Sprintf("e%d", i), "near", concurrent)
	}
}

// reportLoad applies a load report of an engine that has the weights w1 loaded.
func (r *rig) reportLoad(name, incarnation string, running int) {
	r.Report(r.now, r.now, name, sycdispatch.Report{
		Incarnation: incarnation,
		Running:     running,
		Ready:       []sycdispatch.Loaded{{Model: "m", Weights: "w1"}},
	})
}

// reportCached applies a complete list of an engine's cached blocks, which are those
// of the prompt.
func (r *rig) reportCached(name, incarnation, customer, prompt string) {
	r.Resync(r.now, name, incarnation, 0, chainOf(customer, prompt))
}

// chainOf returns the block hashes of a customer's prompt for the weights w1.
func chainOf(customer, prompt string) []uint64 {
	return sycblock.Chain(sycblock.Salt(customer, "m", "", "w1"), prompt)
}

// request returns a new request, with an option for each version in service.
func (r *rig) request(customer, prompt string) *sycdispatch.Request {
	r.lastID++
	q := &sycdispatch.Request{
		ID:           r.lastID,
		Customer:     customer,
		Model:        "m",
		PromptTokens: sycblock.Tokens(prompt),
		MaxTokens:    16,
		Deadline:     r.now + time.Minute,
	}
	for _, v := range r.versionShares {
		salt := sycblock.Salt(customer, "m", v.Adapter, v.Weights)
		q.Options = append(q.Options, sycdispatch.Option{Version: v, Salt: salt, Chain: sycblock.Chain(salt, prompt)})
	}
	return q
}

// selectExcluding submits a request that excludes the named endpoint, and returns
// its decision, which must select another one.
func (r *rig) selectExcluding(name, customer, prompt string) sycdispatch.Decision {
	q := r.request(customer, prompt)
	q.Exclude = []string{name}
	r.Submit(r.now, q)
	list := r.Take()
	must.Len(r.t, 1, list)
	must.NotNil(r.t, list[0].Target)
	return list[0]
}

// submit submits a request and returns its decision, and false if it waits in the
// queue.
func (r *rig) submit(customer, prompt string) (sycdispatch.Decision, bool) {
	q := r.request(customer, prompt)
	r.Submit(r.now, q)
	for _, d := range r.Take() {
		if d.ID == q.ID {
			return d, true
		}
	}
	return sycdispatch.Decision{}, false
}

// mustSelect submits a request that must get an endpoint at once, and returns its
// decision.
func (r *rig) mustSelect(customer, prompt string) sycdispatch.Decision {
	d, ok := r.submit(customer, prompt)
	must.True(r.t, ok, must.Sprint("the request waits"))
	must.NotNil(r.t, d.Target, must.Sprint(d.Refusal))
	return d
}

// succeed ends an attempt as succeeded, with its first token after the given time.
func (r *rig) succeed(d sycdispatch.Decision, took time.Duration) {
	r.now += took
	r.FirstToken(r.now, d.ID)
	r.Finish(r.now, d.ID, sycwork.Result{Outcome: sycwork.Succeeded, FirstToken: took})
}

// promptText returns a prompt of n blocks. Prompts with different names differ from
// the first block on.
func promptText(name string, n int) string {
	return strings.Repeat(name+".", n*sycblock.BytesPerBlock/len(name)+1)[:n*sycblock.BytesPerBlock]
}
