// Package sycreport shows the results of load runs, one or several side by side.
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

var columns = []string{
	"customer", "run", "sent", "right", "wrong", "failed", "refused", "in rate",
	"first p50", "p95", "p99", "between p50", "p95", "p99", "prompt", "cached", "hit rate", "recomputed",
}

// Table writes the results as a plain table, the runs side by side for each customer.
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
		if err := summary(w, label(r, i), r); err != nil {
			return err
		}
	}
	return nil
}

// row is one customer in one run.
type row struct {
	run    string
	result sycload.CustomerResult
}

// rows lists the customers of the first result, then the totals.
func rows(results []sycload.Result) []row {
	var list []row
	if len(results) == 0 {
		return nil
	}
	for _, c := range results[0].Customers {
		for i, r := range results {
			list = append(list, row{run: label(r, i), result: find(r, c.Customer)})
		}
	}
	for i, r := range results {
		list = append(list, row{run: label(r, i), result: r.Total})
	}
	return list
}

func find(r sycload.Result, customer string) sycload.CustomerResult {
	for _, c := range r.Customers {
		if c.Customer == customer {
			return c
		}
	}
	return sycload.CustomerResult{Customer: customer}
}

func label(r sycload.Result, i int) string {
	if r.Label != "" {
		return r.Label
	}
	return fmt.Sprintf("run %d", i+1)
}

func (r row) cells() []string {
	c := r.result
	return []string{
		c.Customer, r.run,
		fmt.Sprint(c.Sent), fmt.Sprint(c.Right), fmt.Sprint(c.Wrong), fmt.Sprint(c.Failed),
		fmt.Sprint(c.Refused), fmt.Sprintf("%d/%d", c.RefusedWithinRate, c.WithinRate),
		ms(c.FirstToken.P50), ms(c.FirstToken.P95), ms(c.FirstToken.P99),
		ms(c.BetweenTokens.P50), ms(c.BetweenTokens.P95), ms(c.BetweenTokens.P99),
		fmt.Sprint(c.PromptTokens), fmt.Sprint(c.CachedTokens),
		fmt.Sprintf("%.3f", c.HitRate()), fmt.Sprint(c.RecomputedTokens),
	}
}

func ms(d sycrecord.Duration) string {
	return fmt.Sprintf("%.1fms", milliseconds(d))
}

func milliseconds(d sycrecord.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Worst returns the customer with the longest time to first token at the 95th
// percentile.
func Worst(r sycload.Result) sycload.CustomerResult {
	if len(r.Customers) == 0 {
		return sycload.CustomerResult{}
	}
	return slices.MaxFunc(r.Customers, func(a, b sycload.CustomerResult) int {
		return int(a.FirstToken.P95 - b.FirstToken.P95)
	})
}

func summary(w io.Writer, run string, r sycload.Result) error {
	worst := Worst(r)
	b := r.Bookings
	_, err := fmt.Fprintf(w, "%s: worst-served customer %s with first token p95 %s\n", run, worst.Customer, ms(worst.FirstToken.P95))
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
