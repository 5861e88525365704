package history

import (
	"bytes"
	"html/template"
	"maps"
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
	// legendSpace is how much wider than its values a plot is, so that the legend covers none.
	legendSpace = 1.3
)

// chart is what is drawn of a chart.
type chart struct {
	series map[string]plotter.XYs
	limit  float64 // 0 for none
	marks  []Mark
	end    float64 // time of the last value in seconds
	top    float64 // highest value or limit
}

// chart collects what is drawn of a chart. The log is locked.
func (l *Log) chart(name string) *chart {
	c := &chart{series: map[string]plotter.XYs{}, limit: l.limits[name], marks: l.marks, top: l.limits[name]}
	for _, point := range l.points {
		if point.Chart != name {
			continue
		}
		c.series[point.Series] = append(c.series[point.Series], plotter.XY{X: point.Seconds, Y: point.Value})
		c.end = max(c.end, point.Seconds)
		c.top = max(c.top, point.Value)
	}
	return c
}

// draw draws the chart as SVG.
func (c *chart) draw() (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.X.Max = c.end * legendSpace
	p.Y.Min = 0
	p.Legend.Top = true
	for i, name := range slices.Sorted(maps.Keys(c.series)) {
		line, err := plotter.NewLine(c.series[name])
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		line.StepStyle = plotter.PostStep
		p.Add(line)
		p.Legend.Add(name, line)
	}
	if c.limit > 0 {
		if err := addDashedLine(p, plotter.XYs{{X: 0, Y: c.limit}, {X: c.end, Y: c.limit}}); err != nil {
			return "", err
		}
	}
	for _, mark := range c.marks {
		if err := addDashedLine(p, plotter.XYs{{X: mark.Seconds, Y: 0}, {X: mark.Seconds, Y: c.top}}); err != nil {
			return "", err
		}
	}
	return renderSVG(p)
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

// renderSVG writes a plot as an SVG element for an HTML page.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if _, err := writer.WriteTo(&out); err != nil {
		return "", err
	}
	svg := out.Bytes()
	if start := bytes.Index(svg, []byte("<svg")); start > 0 {
		svg = svg[start:] // without the head of an XML file
	}
	return template.HTML(svg), nil
}
