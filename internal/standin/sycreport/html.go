package sycreport

import (
	_ "embed" // The page's template is embedded.
	"html/template"
	"io"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
)

// pageText is the template of the page.
//
//go:embed page.html
var pageText string

// page is the parsed template of the page; it is executed with pageData.
var page = template.Must(template.New("page").Parse(pageText))

// pageData is the content of the page.
type pageData struct {
	// Columns are the headings of the table.
	Columns []string
	// Rows are the cells of the table, row by row.
	Rows [][]string
	// Plots are SVG images.
	Plots []template.HTML
	// Runs are the results whose workload, start and bookings the page lists.
	Runs []sycload.Result
}

// HTML writes an HTML page with the table and plots of the results, one result per load run.
// All results must be of the same workload.
func HTML(w io.Writer, results ...sycload.Result) error {
	if len(results) == 0 {
		return eris.New("report: no results")
	}
	plots, err := drawAll(results)
	if err != nil {
		return err
	}
	data := pageData{Columns: columns, Plots: plots, Runs: results}
	for _, row := range rows(results) {
		data.Rows = append(data.Rows, row.cells())
	}
	return eris.Wrap(page.Execute(w, data), "report")
}

// barPlot describes a bar chart of one quantity of each customer.
type barPlot struct {
	// title is the heading of the chart and unit labels its y axis.
	title, unit string
	// measure returns the quantity for a customer, in unit.
	measure func(sycload.CustomerResult) float64
}

// drawAll draws the curves of the time to first token and the bar charts.
func drawAll(results []sycload.Result) ([]template.HTML, error) {
	list := []barPlot{
		{"Time to first token, 95th percentile", "ms", func(r sycload.CustomerResult) float64 { return milliseconds(r.FirstToken.P95) }},
		{"Time between tokens, 95th percentile", "ms", func(r sycload.CustomerResult) float64 { return milliseconds(r.BetweenTokens.P95) }},
		{"Prefix hit rate", "share of prompt tokens", sycload.CustomerResult.HitRate},
		{"Recomputed tokens", "tokens", func(r sycload.CustomerResult) float64 { return float64(r.RecomputedTokens) }},
		{"Refusals within the rate", "requests", func(r sycload.CustomerResult) float64 { return float64(r.RefusedWithinRate) }},
	}
	svg, err := drawCurves(results)
	if err != nil {
		return nil, err
	}
	plots := []template.HTML{svg}
	for _, b := range list {
		svg, err := drawBars(b.title, b.unit, results, b.measure)
		if err != nil {
			return nil, err
		}
		plots = append(plots, svg)
	}
	return plots, nil
}
