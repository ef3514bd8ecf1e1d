package sycreport

import (
	_ "embed" // The page's template is embedded.
	"html/template"
	"io"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

type pageData struct {
	Columns []string
	Rows    [][]string
	Plots   []template.HTML
	Runs    []sycload.Result
}

// HTML writes a page with the table and plots of the results, which must be of
// one workload.
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

type barPlot struct {
	title, unit string
	measure     func(sycload.CustomerResult) float64
}

func drawAll(results []sycload.Result) ([]template.HTML, error) {
	list := []barPlot{
		{"Time to first token, 95th percentile", "ms", func(r sycload.CustomerResult) float64 { return milliseconds(r.FirstToken.P95) }},
		{"Time between tokens, 95th percentile", "ms", func(r sycload.CustomerResult) float64 { return milliseconds(r.BetweenTokens.P95) }},
		{"Prefix hit rate", "share of prompt tokens", sycload.CustomerResult.HitRate},
		{"Recomputed tokens", "tokens", func(r sycload.CustomerResult) float64 { return float64(r.RecomputedTokens) }},
		{"Refusals within the rate", "requests", func(r sycload.CustomerResult) float64 { return float64(r.RefusedWithinRate) }},
	}
	svg, err := curves(results)
	if err != nil {
		return nil, err
	}
	plots := []template.HTML{svg}
	for _, b := range list {
		svg, err := bars(b.title, b.unit, results, b.measure)
		if err != nil {
			return nil, err
		}
		plots = append(plots, svg)
	}
	return plots, nil
}
