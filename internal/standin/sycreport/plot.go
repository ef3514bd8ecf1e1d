package sycreport

import (
	"bytes"
	"html/template"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
)

const (
	// plotWidth is the width of every plot.
	plotWidth = 7 * vg.Inch
	// plotHeight is the height of every plot.
	plotHeight = 3.5 * vg.Inch
	// barWidth is the width of one bar in points.
	barWidth = vg.Length(14)
)

// drawBars draws a bar chart of a quantity for each customer, with one bar per run, and returns
// it as SVG. It shows the customers of the first result.
func drawBars(title, unit string, results []sycload.Result, measure func(sycload.CustomerResult) float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	names := make([]string, 0, len(results[0].Customers))
	for _, c := range results[0].Customers {
		names = append(names, c.Customer)
	}
	for i, r := range results {
		values := make(plotter.Values, 0, len(names))
		for _, name := range names {
			values = append(values, measure(findCustomer(r, name)))
		}
		chart, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", eris.Wrapf(err, "plot %s", title)
		}
		chart.Color = plotutil.Color(i)
		chart.LineStyle.Width = 0
		chart.Offset = barWidth * vg.Length(float64(i)-float64(len(results)-1)/2)
		p.Add(chart)
		p.Legend.Add(label(r, i), chart)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return render(p)
}

// drawCurves draws the time to first token of all customers by percentile, with one curve per
// run, and returns the plot as SVG.
func drawCurves(results []sycload.Result) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "Time to first token, all customers"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms"
	p.Legend.Top = true
	p.Legend.Left = true
	for i, r := range results {
		points := make(plotter.XYs, len(r.Total.FirstTokenCurve))
		for j, y := range r.Total.FirstTokenCurve {
			points[j] = plotter.XY{X: float64(j + 1), Y: y}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", eris.Wrap(err, "plot curves")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(label(r, i), line)
	}
	return render(p)
}

// render returns the plot as an SVG element for an HTML page.
func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", eris.Wrap(err, "plot")
	}
	// HTML doesn't allow an XML declaration or document type before an inline <svg>.
	at := max(0, bytes.Index(svg.Bytes(), []byte("<svg")))
	return template.HTML(svg.Bytes()[at:]), nil
}
