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

// Result is what a run measured.
type Result struct {
	Label     string           `json:"label"`
	Workload  string           `json:"workload"`
	Seed      uint64           `json:"seed"`
	Started   time.Time        `json:"started"`
	Customers []CustomerResult `json:"customers"`
	// Total adds up all customers.
	Total    CustomerResult `json:"total"`
	Bookings BookingResult  `json:"bookings"`
	// Faults describes the first wrong and failed answers.
	Faults []string `json:"faults,omitempty"`

	exchanges []Exchange
}

// With adds another run's counts, exchanges and faults. The percentiles stay those
// of this run.
func (r Result) With(other Result) Result {
	r.Customers = slices.Concat(r.Customers, other.Customers)
	r.Faults = slices.Concat(r.Faults, other.Faults)
	r.exchanges = slices.Concat(r.exchanges, other.exchanges)
	r.Total = r.Total.with(other.Total)
	r.Bookings.Sent += other.Bookings.Sent
	r.Bookings.Confirmed += other.Bookings.Confirmed
	r.Bookings.Refused += other.Bookings.Refused
	r.Bookings.Unknown += other.Bookings.Unknown
	return r
}

func (r CustomerResult) with(other CustomerResult) CustomerResult {
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

// RefusedSlots lists the slots whose booking was answered as not run.
func (r Result) RefusedSlots() []string {
	var slots []string
	for _, e := range r.exchanges {
		if e.Slot() != "" && e.Verdict() == Refused {
			slots = append(slots, e.Slot())
		}
	}
	return slots
}

// Percentiles of a distribution of latencies.
type Percentiles struct {
	P50 sycrecord.Duration `json:"p50"`
	P95 sycrecord.Duration `json:"p95"`
	P99 sycrecord.Duration `json:"p99"`
	Max sycrecord.Duration `json:"max"`
}

// CustomerResult is how one customer fared.
type CustomerResult struct {
	Customer string `json:"customer"`
	Sent     int    `json:"sent"`
	// Right answers were whole and as expected in every byte.
	Right int `json:"right"`
	// Wrong answers seemed whole and were not the expected ones.
	Wrong int `json:"wrong"`
	// Refused requests were answered as not run; Refusals counts them by status and code.
	Refused  int            `json:"refused"`
	Refusals map[string]int `json:"refusals"`
	// Failed requests had no whole answer and an unknown outcome.
	Failed int `json:"failed"`
	// Resumes counts the answers to attempts to resume a broken stream.
	Resumes int `json:"resumes"`
	// WithinRate counts the requests sent within the customer's rate and burst,
	// RefusedWithinRate by how many the answers fell short of them.
	WithinRate        int `json:"within_rate"`
	RefusedWithinRate int `json:"refused_within_rate"`
	// FirstToken counts from the planned start of the request.
	FirstToken    Percentiles `json:"first_token"`
	BetweenTokens Percentiles `json:"between_tokens"`
	PromptTokens  int         `json:"prompt_tokens"`
	CachedTokens  int         `json:"cached_tokens"`
	// ReusableTokens had been sent by the customer before; RecomputedTokens is
	// the part of them that no engine had cached.
	ReusableTokens   int `json:"reusable_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"`
	// FirstTokenCurve has the time to first token in milliseconds at each
	// percentile from 1 to 100.
	FirstTokenCurve []float64 `json:"first_token_curve"`
}

// HitRate is the part of the prompt tokens that came from a cache, 0 to 1.
func (r CustomerResult) HitRate() float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return float64(r.CachedTokens) / float64(r.PromptTokens)
}

// BookingResult counts bookings.
type BookingResult struct {
	Sent      int `json:"sent"`
	Confirmed int `json:"confirmed"`
	Refused   int `json:"refused"`
	Unknown   int `json:"unknown"`
	// Doubled slots ran more than once, and FalselyRefused ones ran although
	// the answer said that they did not. Both need the services' own records.
	Doubled        int `json:"doubled"`
	FalselyRefused int `json:"falsely_refused"`
}

// Audit compares the answers to bookings with the slots that the services
// booked, in any order and with repetitions.
func (r *Result) Audit(booked []string) {
	times := map[string]int{}
	for _, slot := range booked {
		times[slot]++
		if times[slot] == 2 {
			r.Bookings.Doubled++
		}
	}
	for _, slot := range r.RefusedSlots() {
		if times[slot] > 0 {
			r.Bookings.FalselyRefused++
		}
	}
}

// Sound reports whether no answer was wrong and no booking doubled.
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

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50: at(h, 50),
		P95: at(h, 95),
		P99: at(h, 99),
		Max: at(h, 100),
	}
}

func at(h *hdrhistogram.Histogram, percentile float64) sycrecord.Duration {
	return sycrecord.Duration(time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond)
}

func curve(h *hdrhistogram.Histogram) []float64 {
	points := make([]float64, 100)
	for i := range points {
		d := time.Duration(at(h, float64(i+1)))
		points[i] = float64(d) / float64(time.Millisecond)
	}
	return points
}
