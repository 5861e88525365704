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

// Size of a plot on the page.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3 * vg.Inch
	// legendSpace is the length of the time axis as a multiple of the run's duration. The room after
	// the last value is for the legend, which would cover values otherwise.
	legendSpace = 1.3
)

// chart is the data of a plot.
type chart struct {
	series   map[string]plotter.XYs
	limit    float64 // 0 for none
	events   []Event
	endS     float64 // time of the last value in seconds
	maxValue float64 // highest value or limit
}

// chart collects the data of a chart's plot. The caller must hold l.mu.
func (l *Log) chart(name string) *chart {
	c := &chart{series: map[string]plotter.XYs{}, limit: l.limits[name], events: l.events, maxValue: l.limits[name]}
	for _, point := range l.points {
		if point.Chart != name {
			continue
		}
		c.series[point.Series] = append(c.series[point.Series], plotter.XY{X: point.Seconds, Y: point.Value})
		c.endS = max(c.endS, point.Seconds)
		c.maxValue = max(c.maxValue, point.Value)
	}
	return c
}

// draw returns the plot as SVG.
func (c *chart) draw() (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.X.Max = c.endS * legendSpace
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
		if err := addDashedLine(p, plotter.XYs{{X: 0, Y: c.limit}, {X: c.endS, Y: c.limit}}); err != nil {
			return "", err
		}
	}
	for _, event := range c.events {
		if err := addDashedLine(p, plotter.XYs{{X: event.Seconds, Y: 0}, {X: event.Seconds, Y: c.maxValue}}); err != nil {
			return "", err
		}
	}
	return renderSVG(p)
}

// addDashedLine adds a dashed line through the points to the plot.
func addDashedLine(p *plot.Plot, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Dashes = plotutil.Dashes(1)
	p.Add(line)
	return nil
}

// renderSVG renders a plot as an SVG element that can stand in an HTML page.
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
		svg = svg[start:] // an HTML page must not contain the XML header
	}
	return template.HTML(svg), nil
}
