package sycchoose_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sycroute"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
)

// workload describes the requests of a benchmark run. Each prompt consists of a text that
// all prompts of the customer share, the text of one of the customer's plans, and a text of
// its own.
type workload struct {
	name string
	// perSecond is the number of requests per second of all customers together.
	perSecond float64
	// greedy is how many times as many requests the first customer sends as each other
	// customer.
	greedy float64
	// customers is the number of customers.
	customers int
	// system, plan and tail are the lengths of a prompt's three texts in tokens.
	system, plan, tail int
	// plans is the number of plans that a customer uses at a time.
	plans int
	// maxTokens is the limit of a response in tokens.
	maxTokens int
	// duration is the length of the measurement after the warm-up.
	duration time.Duration
	// shift is the time after which the plans that a customer uses shift by one, so that the
	// most used one is replaced.
	shift time.Duration
}

// morning has many requests with short prompts, evening few with long ones.
var (
	morning = workload{"morning", 90, 1, 5, 1500, 2500, 150, 8, 24, 8 * time.Second, 4 * time.Second}
	evening = workload{"evening", 20, 1, 5, 4000, 12000, 800, 6, 64, 8 * time.Second, 4 * time.Second}
)

// text returns a text of n tokens. Texts of different names differ from the first block on.
func text(n int, name ...any) string {
	word := fmt.Sprintln(name...)
	size := n * sycblock.BytesPerToken
	return strings.Repeat(word, size/len(word)+1)[:size]
}

// work returns the request with a serial number that is due at a time of the run. Its
// customer and plan are random.
func (w workload) work(r *rand.Rand, serial int, due time.Duration) sycwork.Work {
	point := r.Float64() * (float64(w.customers-1) + w.greedy)
	customer := max(int(point-w.greedy)+1, 0)
	if point < w.greedy {
		customer = 0
	}
	// The product of two random numbers makes plans with low numbers much more frequent.
	plan := int(float64(w.plans)*r.Float64()*r.Float64()) + int(due/w.shift)
	prompt := text(w.system, "customer", customer) + text(w.plan, "plan", customer, plan) + text(w.tail, "request", serial)
	return sycwork.Work{
		Customer:  fmt.Sprint("c", customer),
		Model:     "m",
		Prompt:    prompt,
		MaxTokens: w.maxTokens,
	}
}

// outcome holds the results of a run.
type outcome struct {
	mu sync.Mutex
	// responses holds the complete responses by customer.
	responses map[string][]response
	// refused counts the requests that got no endpoint, failed those that failed at one.
	refused int
	failed  int
}

// add records the response to a customer's request.
func (o *outcome) add(customer string, r response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var refusal *sycwork.Refusal
	switch {
	case errors.As(r.err, &refusal):
		o.refused++
	case r.err != nil:
		o.failed++
	default:
		o.responses[customer] = append(o.responses[customer], r)
	}
}

// drive sends a workload to random VMs of a site, without waiting for responses. Requests of
// the warm-up aren't counted.
func drive(t testing.TB, s *site, w workload, seed uint64) *outcome {
	const warmUp = 5 * time.Second
	r := rand.New(rand.NewPCG(seed, 1))
	o := &outcome{responses: map[string][]response{}}
	var running sync.WaitGroup
	start := time.Now()
	due := time.Duration(0)
	for serial := 0; due < w.duration+warmUp; serial++ {
		due += time.Duration(r.ExpFloat64() / w.perSecond * float64(time.Second))
		work := w.work(r, serial, due)
		vm := s.vms[r.IntN(len(s.vms))]
		counted := due > warmUp
		time.Sleep(time.Until(start.Add(due)))
		running.Go(func() {
			work.Deadline = time.Now().Add(20 * time.Second)
			response := vm.run(t.Context(), work)
			if counted {
				o.add(work.Customer, response)
			}
		})
	}
	running.Wait()
	return o
}

// quantile returns the q-quantile of durations, which it sorts.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// report reports the results as metrics of the benchmark.
func (o *outcome) report(b *testing.B) {
	var all []time.Duration
	prompt, cached, worst := 0, 0, time.Duration(0)
	for _, responses := range o.responses {
		var times []time.Duration
		for _, r := range responses {
			times = append(times, r.firstToken)
			prompt += r.promptTokens
			cached += r.cachedTokens
		}
		worst = max(worst, quantile(times, 0.95))
		all = append(all, times...)
	}
	b.ReportMetric(float64(cached)/float64(max(prompt, 1)), "hit-rate")
	b.ReportMetric(float64(prompt-cached)/float64(max(len(all), 1)), "computed/req")
	b.ReportMetric(milliseconds(quantile(all, 0.50)), "ms-p50")
	b.ReportMetric(milliseconds(quantile(all, 0.95)), "ms-p95")
	b.ReportMetric(milliseconds(quantile(all, 0.99)), "ms-p99")
	b.ReportMetric(milliseconds(worst), "ms-worst-p95")
	b.ReportMetric(float64(o.refused), "refused")
	b.ReportMetric(float64(o.failed), "failed")
	b.ReportMetric(float64(len(all)), "answers")
}

// BenchmarkPolicies compares the policies for selecting endpoints on stand-in engines. Run it
// with -benchtime 1x, since one iteration is a complete run.
func BenchmarkPolicies(b *testing.B) {
	policies := []string{
		sycroute.NameRoundRobin,
		sycroute.NameLeastLoaded,
		sycroute.NameRendezvous,
		sycroute.NamePrefix,
	}
	for _, d := range []deployment{bottlers, dairies} {
		for _, w := range []workload{morning, evening} {
			for _, seed := range []uint64{1, 2} {
				for _, policy := range policies {
					b.Run(fmt.Sprintf("%s/%s/seed%d/%s", d.name, w.name, seed, policy), func(b *testing.B) {
						for b.Loop() {
							s := newSite(b, d, policy, seed, sycengine.Options{CacheBlocks: 2048}, 24, knowledge{})
							drive(b, s, w, seed).report(b)
						}
					})
				}
			}
		}
	}
}

// BenchmarkKnowledge compares runs of the prefix policy in which the VMs lack digests, cache
// events or both. Run it with -benchtime 1x, since one iteration is a complete run.
func BenchmarkKnowledge(b *testing.B) {
	tests := []struct {
		name string
		knowledge
	}{
		{"all", knowledge{}},
		{"digests_within_domain", knowledge{digestsInDomain: true}},
		{"no_digests", knowledge{noDigests: true}},
		{"no_events", knowledge{noEvents: true}},
		{"neither", knowledge{noEvents: true, noDigests: true}},
	}
	for _, w := range []workload{morning, evening} {
		for _, tt := range tests {
			b.Run(w.name+"/"+tt.name, func(b *testing.B) {
				for b.Loop() {
					s := newSite(b, bottlers, sycroute.NamePrefix, 3, sycengine.Options{CacheBlocks: 2048}, 24, tt.knowledge)
					drive(b, s, w, 3).report(b)
				}
			})
		}
	}
}
