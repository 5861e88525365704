package history

import (
	"bytes"
	"fmt"
	"html/template"
	"os"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of a plot on the page.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// legendSpace is how much wider than its values a plot is, so that the legend covers none.
const legendSpace = 1.3

// pageTemplate is the page; the plots are drawn into it.
var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}pre{background:#f4f4f4;padding:1em;overflow:auto}svg{width:100%;height:auto}</style></head>
<body><h1>{{.Title}}</h1>
<pre>{{.Summary}}</pre>
{{range .Charts}}<h2>{{.Name}}</h2>{{.Drawing}}{{end}}
{{if .Marks}}<h2>Failures</h2><ul>{{range .Marks}}<li>{{printf "%.1f" .Seconds}} s: {{.Text}}</li>{{end}}</ul>{{end}}
</body></html>
`))

// chartDrawing is a chart as it stands on the page.
type chartDrawing struct {
	Name    string
	Drawing template.HTML
}

// WritePage writes one HTML page with a plot of each chart. Dashed lines are limits, upright
// ones failures. summary is shown as it is.
func (l *Log) WritePage(path, title, summary string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := struct {
		Title, Summary string
		Charts         []chartDrawing
		Marks          []Mark
	}{Title: title, Summary: summary, Marks: l.marks}
	for _, chart := range l.charts() {
		drawing, err := l.draw(chart)
		if err != nil {
			return fmt.Errorf("history: %s: %w", chart, err)
		}
		page.Charts = append(page.Charts, chartDrawing{chart, drawing})
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, page); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

// charts lists the charts in the order in which they first got a value.
func (l *Log) charts() []string {
	var names []string
	seen := map[string]bool{}
	for _, p := range l.points {
		if !seen[p.Chart] {
			seen[p.Chart] = true
			names = append(names, p.Chart)
		}
	}
	return names
}

// draw draws a chart as SVG.
func (l *Log) draw(chart string) (template.HTML, error) {
	chartPlot := plot.New()
	chartPlot.X.Label.Text = "seconds"
	chartPlot.Y.Min = 0
	chartPlot.Legend.Top = true
	series := map[string]plotter.XYs{}
	var names []string
	end := 0.0
	for _, point := range l.points {
		if point.Chart != chart {
			continue
		}
		if series[point.Series] == nil {
			names = append(names, point.Series)
		}
		series[point.Series] = append(series[point.Series], plotter.XY{X: point.Seconds, Y: point.Value})
		end = max(end, point.Seconds)
	}
	slices.Sort(names)
	chartPlot.X.Max = end * legendSpace
	top := l.limits[chart]
	for i, name := range names {
		line, err := plotter.NewLine(series[name])
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		line.StepStyle = plotter.PostStep
		chartPlot.Add(line)
		chartPlot.Legend.Add(name, line)
		for _, xy := range series[name] {
			top = max(top, xy.Y)
		}
	}
	if limit, ok := l.limits[chart]; ok && limit > 0 {
		if err := addDashedLine(chartPlot, plotter.XYs{{X: 0, Y: limit}, {X: end, Y: limit}}); err != nil {
			return "", err
		}
	}
	for _, m := range l.marks {
		if err := addDashedLine(chartPlot, plotter.XYs{{X: m.Seconds, Y: 0}, {X: m.Seconds, Y: top}}); err != nil {
			return "", err
		}
	}
	writer, err := chartPlot.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if _, err := writer.WriteTo(&out); err != nil {
		return "", err
	}
	svg := out.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:] // the head of an XML file has no place in a page
	}
	return template.HTML(svg), nil
}

// addDashedLine adds a dashed line.
func addDashedLine(p *plot.Plot, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Dashes = plotutil.Dashes(1)
	p.Add(line)
	return nil
}
