// Package sycreport writes reports on the results of load runs, as a text table or an HTML
// page with plots. It shows several runs side by side.
package sycreport

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
)

// columns are the headings of the table, in the order of row.cells. "in rate" shows refusals
// within the rate as "a/b": b requests were sent within the customer's rate and burst, and the
// number of requests that weren't refused is a less than b (0 if it isn't less). "first" and
// "between" are percentiles of the time to first token and of the time between tokens.
// "prompt", "cached" and "recomputed" count prompt tokens.
var columns = []string{
	"customer", "run", "sent", "right", "wrong", "failed", "refused", "in rate",
	"first p50", "p95", "p99", "between p50", "p95", "p99", "prompt", "cached", "hit rate", "recomputed",
}

// Table writes the results as a text table with the runs of each customer in adjacent rows,
// followed by a summary of each run.
func Table(w io.Writer, results ...sycload.Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(columns, "\t"))
	for _, row := range rows(results) {
		fmt.Fprintln(table, strings.Join(row.cells(), "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for i, r := range results {
		if err := writeSummary(w, label(r, i), r); err != nil {
			return err
		}
	}
	return nil
}

// row holds the result of one customer, or of all customers, in one run.
type row struct {
	// run is the run's label.
	run string
	// result is the customer's result.
	result sycload.CustomerResult
}

// rows returns the rows of the table: for each customer of the first result a row per run,
// then a row per run with the totals of all customers.
func rows(results []sycload.Result) []row {
	var list []row
	if len(results) == 0 {
		return nil
	}
	for _, c := range results[0].Customers {
		for i, r := range results {
			list = append(list, row{run: label(r, i), result: findCustomer(r, c.Customer)})
		}
	}
	for i, r := range results {
		list = append(list, row{run: label(r, i), result: r.Total})
	}
	return list
}

// findCustomer returns the result of a customer, or an empty one if the run doesn't contain it.
func findCustomer(r sycload.Result, customer string) sycload.CustomerResult {
	for _, c := range r.Customers {
		if c.Customer == customer {
			return c
		}
	}
	return sycload.CustomerResult{Customer: customer}
}

// label returns the label of a run, or its number in the report, counted from 1.
func label(r sycload.Result, i int) string {
	if r.Label != "" {
		return r.Label
	}
	return fmt.Sprintf("run %d", i+1)
}

// cells returns the row's text for each of the columns.
func (r row) cells() []string {
	c := r.result
	return []string{
		c.Customer, r.run,
		fmt.Sprint(c.Sent), fmt.Sprint(c.Right), fmt.Sprint(c.Wrong), fmt.Sprint(c.Failed),
		fmt.Sprint(c.Refused), fmt.Sprintf("%d/%d", c.RefusedWithinRate, c.WithinRate),
		formatMillis(c.FirstToken.P50), formatMillis(c.FirstToken.P95), formatMillis(c.FirstToken.P99),
		formatMillis(c.BetweenTokens.P50), formatMillis(c.BetweenTokens.P95), formatMillis(c.BetweenTokens.P99),
		fmt.Sprint(c.PromptTokens), fmt.Sprint(c.CachedTokens),
		fmt.Sprintf("%.3f", c.HitRate()), fmt.Sprint(c.RecomputedTokens),
	}
}

// formatMillis formats a duration in milliseconds.
func formatMillis(d sycrecord.Duration) string {
	return fmt.Sprintf("%.1fms", milliseconds(d))
}

// milliseconds converts a duration to a number of milliseconds.
func milliseconds(d sycrecord.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Worst returns the result of the worst-served customer, the one with the longest time to
// first token at the 95th percentile. It returns an empty result if the run has no customers.
func Worst(r sycload.Result) sycload.CustomerResult {
	if len(r.Customers) == 0 {
		return sycload.CustomerResult{}
	}
	return slices.MaxFunc(r.Customers, func(a, b sycload.CustomerResult) int {
		return int(a.FirstToken.P95 - b.FirstToken.P95)
	})
}

// writeSummary writes the worst-served customer, the bookings, the reasons of refusals and the
// faults of a run.
func writeSummary(w io.Writer, run string, r sycload.Result) error {
	worst := Worst(r)
	b := r.Bookings
	_, err := fmt.Fprintf(w, "%s: worst-served customer %s with first token p95 %s\n", run, worst.Customer, formatMillis(worst.FirstToken.P95))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s: bookings sent %d, confirmed %d, refused %d, unknown %d, doubled %d, falsely refused %d\n",
		run, b.Sent, b.Confirmed, b.Refused, b.Unknown, b.Doubled, b.FalselyRefused)
	if err != nil {
		return err
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Total.Refusals)) {
		if _, err := fmt.Fprintf(w, "%s: refused %d with %s\n", run, r.Total.Refusals[reason], reason); err != nil {
			return err
		}
	}
	for _, fault := range r.Faults {
		if _, err := fmt.Fprintf(w, "%s: fault: %s\n", run, fault); err != nil {
			return err
		}
	}
	return nil
}
