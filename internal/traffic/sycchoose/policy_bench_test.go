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

// workload describes the requests of a run.
type workload struct {
	name string
	// perSecond is the rate of all customers together; the first customer
	// sends greedy times as much as each other one.
	perSecond float64
	greedy    float64
	customers int
	// system, plan and tail are lengths in tokens: a customer's prompts share
	// the first, those on one of its plans the second too.
	system, plan, tail int
	plans              int
	maxTokens          int
	duration           time.Duration
	// shift is the time after which a customer's hottest plan is given up for
	// the next one.
	shift time.Duration
}

var (
	morning = workload{"morning", 90, 1, 5, 1500, 2500, 150, 8, 24, 8 * time.Second, 4 * time.Second}
	evening = workload{"evening", 20, 1, 5, 4000, 12000, 800, 6, 64, 8 * time.Second, 4 * time.Second}
)

// text returns n tokens that differ between names from the first block on.
func text(n int, name ...any) string {
	word := fmt.Sprintln(name...)
	size := n * sycblock.BytesPerToken
	return strings.Repeat(word, size/len(word)+1)[:size]
}

func (w workload) work(r *rand.Rand, serial int, due time.Duration) sycwork.Work {
	customer := r.Float64() * (float64(w.customers-1) + w.greedy)
	name := max(int(customer-w.greedy)+1, 0)
	if customer < w.greedy {
		name = 0
	}
	// Few plans are very hot.
	plan := int(float64(w.plans)*r.Float64()*r.Float64()) + int(due/w.shift)
	prompt := text(w.system, "customer", name) + text(w.plan, "plan", name, plan) + text(w.tail, "request", serial)
	return sycwork.Work{
		Customer:  fmt.Sprint("c", name),
		Model:     "m",
		Prompt:    prompt,
		MaxTokens: w.maxTokens,
	}
}

// outcome is what a run measured.
type outcome struct {
	mu      sync.Mutex
	answers map[string][]answer
	refused int
	failed  int
}

func (o *outcome) add(customer string, a answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var refusal *sycwork.Refusal
	switch {
	case errors.As(a.err, &refusal):
		o.refused++
	case a.err != nil:
		o.failed++
	default:
		o.answers[customer] = append(o.answers[customer], a)
	}
}

// drive sends an open load to a site; requests of the warm-up aren't counted.
func drive(t testing.TB, s *site, w workload, seed uint64) *outcome {
	const warmUp = 5 * time.Second
	r := rand.New(rand.NewPCG(seed, 1))
	o := &outcome{answers: map[string][]answer{}}
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
			a := vm.run(t.Context(), work)
			if counted {
				o.add(work.Customer, a)
			}
		})
	}
	running.Wait()
	return o
}

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (o *outcome) report(b *testing.B) {
	var all []time.Duration
	prompt, cached, worst := 0, 0, time.Duration(0)
	for _, answers := range o.answers {
		var times []time.Duration
		for _, a := range answers {
			times = append(times, a.firstToken)
			prompt += a.promptTokens
			cached += a.cachedTokens
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

// BenchmarkPolicies compares the policies on stand-in engines. It is meant for
// -benchtime 1x.
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

// BenchmarkKnowledge shows what each source of knowledge is worth to the
// prefix policy. It is meant for -benchtime 1x.
func BenchmarkKnowledge(b *testing.B) {
	tests := []struct {
		name string
		knowledge
	}{
		{"all", knowledge{}},
		{"digests_within_domain", knowledge{within: true}},
		{"no_digests", knowledge{alone: true}},
		{"no_events", knowledge{deaf: true}},
		{"neither", knowledge{deaf: true, alone: true}},
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
