package sycload

import (
	"encoding/json"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Result holds the measurements of a run.
type Result struct {
	// Label names the run in reports.
	Label string `json:"label"`
	// Workload is the name of the workload.
	Workload string `json:"workload"`
	// Seed is the seed of the arrivals.
	Seed uint64 `json:"seed"`
	// Started is when the run started.
	Started time.Time `json:"started"`
	// Customers has the results of each customer, in the order of the workload.
	Customers []CustomerResult `json:"customers"`
	// Total has the sums and the latencies of all customers together.
	Total    CustomerResult `json:"total"`
	Bookings BookingResult  `json:"bookings"`
	// Faults describes the first maxFaults exchanges with verdict Wrong or Failed.
	Faults []string `json:"faults,omitempty"`

	// exchanges has all requests in the order in which they ended. It isn't saved.
	exchanges []Exchange
}

// Merge returns the result with the customers, counts, exchanges and faults of another
// run added. Latencies, numbers of tokens and audited bookings stay those of r.
func (r Result) Merge(other Result) Result {
	r.Customers = slices.Concat(r.Customers, other.Customers)
	r.Faults = slices.Concat(r.Faults, other.Faults)
	r.exchanges = slices.Concat(r.exchanges, other.exchanges)
	r.Total = r.Total.merge(other.Total)
	r.Bookings.Sent += other.Bookings.Sent
	r.Bookings.Confirmed += other.Bookings.Confirmed
	r.Bookings.Refused += other.Bookings.Refused
	r.Bookings.Unknown += other.Bookings.Unknown
	return r
}

// merge returns the result with the counts of requests in other added. Latencies and
// numbers of tokens stay those of r.
func (r CustomerResult) merge(other CustomerResult) CustomerResult {
	r.Sent += other.Sent
	r.Right += other.Right
	r.Wrong += other.Wrong
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.Resumes += other.Resumes
	r.WithinRate += other.WithinRate
	r.RefusedWithinRate += other.RefusedWithinRate
	refusals := maps.Clone(r.Refusals)
	if refusals == nil {
		refusals = map[string]int{}
	}
	for reason, n := range other.Refusals {
		refusals[reason] += n
	}
	r.Refusals = refusals
	return r
}

// RefusedSlots returns the slots of bookings whose responses say that they did not run.
func (r Result) RefusedSlots() []string {
	var slots []string
	for _, e := range r.exchanges {
		if e.Slot() != "" && e.Verdict() == Refused {
			slots = append(slots, e.Slot())
		}
	}
	return slots
}

// Percentiles summarizes a distribution of latencies.
type Percentiles struct {
	// P50 is the median, P95 and P99 are the 95th and 99th percentiles.
	P50 sycrecord.Duration `json:"p50"`
	P95 sycrecord.Duration `json:"p95"`
	P99 sycrecord.Duration `json:"p99"`
	// Max is the largest latency.
	Max sycrecord.Duration `json:"max"`
}

// CustomerResult holds the measurements of one customer's requests, or of all
// customers' together.
type CustomerResult struct {
	// Customer is the customer's name, or "all".
	Customer string `json:"customer"`
	// Sent is the number of requests sent.
	Sent int `json:"sent"`
	// Right, Wrong, Refused and Failed are the numbers of requests with these verdicts.
	Right int `json:"right"`
	Wrong int `json:"wrong"`
	// Refused counts responses that say that the request was not run.
	Refused int `json:"refused"`
	// Refusals counts the refused requests by status and code.
	Refusals map[string]int `json:"refusals"`
	// Failed counts requests without a complete response, whose outcome is unknown.
	Failed int `json:"failed"`
	// Resumes counts the responses, of any status, to attempts to resume a stream.
	Resumes int `json:"resumes"`
	// WithinRate counts the requests sent within the customer's rate and burst.
	WithinRate int `json:"within_rate"`
	// RefusedWithinRate is by how many the requests that weren't refused fall short of
	// WithinRate, or 0 if they don't. Of all customers together it is the sum of the
	// customers' numbers.
	RefusedWithinRate int `json:"refused_within_rate"`
	// FirstToken is the time from the planned start of a request to its first token.
	FirstToken Percentiles `json:"first_token"`
	// BetweenTokens is the time between consecutive tokens of a stream.
	BetweenTokens Percentiles `json:"between_tokens"`
	// PromptTokens is the number of prompt tokens that the engines report. Like the
	// three other numbers of prompt tokens below, it counts right responses only.
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens is the number of prompt tokens that the engines had cached.
	CachedTokens int `json:"cached_tokens"`
	// ReusableTokens is the number of leading prompt tokens that the customer had sent
	// in earlier prompts.
	ReusableTokens int `json:"reusable_tokens"`
	// RecomputedTokens is the number of reusable tokens that the serving engine did not
	// have cached.
	RecomputedTokens int `json:"recomputed_tokens"`
	// FirstTokenCurve has the time to the first token in milliseconds at each
	// percentile from 1 to 100.
	FirstTokenCurve []float64 `json:"first_token_curve"`
}

// HitRate returns the fraction of the prompt tokens that engines had cached, 0 to 1.
func (r CustomerResult) HitRate() float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return float64(r.CachedTokens) / float64(r.PromptTokens)
}

// BookingResult counts bookings by their outcome.
type BookingResult struct {
	// Sent is the number of bookings sent.
	Sent int `json:"sent"`
	// Confirmed counts bookings with verdict Right.
	Confirmed int `json:"confirmed"`
	// Refused counts bookings whose responses say that they did not run.
	Refused int `json:"refused"`
	// Unknown counts bookings with verdict Wrong or Failed.
	Unknown int `json:"unknown"`
	// Doubled counts the slots that the services booked more than once. Audit sets it.
	Doubled int `json:"doubled"`
	// FalselyRefused counts the slots that the services booked although the response
	// says that the booking did not run. Audit sets it.
	FalselyRefused int `json:"falsely_refused"`
}

// Audit compares the responses to bookings with booked, the slots that the services
// booked, in any order and with repetitions. It counts doubled and falsely refused
// bookings.
func (r *Result) Audit(booked []string) {
	bookings := map[string]int{}
	for _, slot := range booked {
		bookings[slot]++
		if bookings[slot] == 2 {
			r.Bookings.Doubled++
		}
	}
	for _, slot := range r.RefusedSlots() {
		if bookings[slot] > 0 {
			r.Bookings.FalselyRefused++
		}
	}
}

// Sound reports whether no response was wrong and no booking was doubled or falsely
// refused.
func (r Result) Sound() bool {
	return r.Total.Wrong == 0 && r.Bookings.Doubled == 0 && r.Bookings.FalselyRefused == 0
}

// Save writes the result to a file as JSON.
func (r Result) Save(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "save result")
	}
	return eris.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "save result")
}

// ReadResult reads a result that Save wrote.
func ReadResult(path string) (Result, error) {
	var r Result
	data, err := os.ReadFile(path)
	if err != nil {
		return r, eris.Wrap(err, "read result")
	}
	return r, eris.Wrapf(json.Unmarshal(data, &r), "read result %s", path)
}

// percentiles summarizes a histogram of latencies in microseconds.
func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50: latencyAt(h, 50),
		P95: latencyAt(h, 95),
		P99: latencyAt(h, 99),
		Max: latencyAt(h, 100),
	}
}

// latencyAt returns the latency at a percentile, 0 to 100, of a histogram in
// microseconds.
func latencyAt(h *hdrhistogram.Histogram, percentile float64) sycrecord.Duration {
	return sycrecord.Duration(time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond)
}

// percentileCurve returns the latency in milliseconds at each percentile from 1 to 100.
func percentileCurve(h *hdrhistogram.Histogram) []float64 {
	points := make([]float64, 100)
	for i := range points {
		d := time.Duration(latencyAt(h, float64(i+1)))
		points[i] = float64(d) / float64(time.Millisecond)
	}
	return points
}
