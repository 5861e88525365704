package history

import (
	"bytes"
	"fmt"
	"html/template"
	"os"
)

// pageTemplate is the HTML page. The plots are inline SVG.
var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}pre{background:#f4f4f4;padding:1em;overflow:auto}svg{width:100%;height:auto}</style></head>
<body><h1>{{.Title}}</h1>
<pre>{{.Summary}}</pre>
{{range .Charts}}<h2>{{.Name}}</h2>{{.Drawing}}{{end}}
{{if .Events}}<h2>Failures</h2><ul>{{range .Events}}<li>{{printf "%.1f" .Seconds}} s: {{.Text}}</li>{{end}}</ul>{{end}}
</body></html>
`))

// chartDrawing is the plot of a chart as inline SVG.
type chartDrawing struct {
	Name    string
	Drawing template.HTML
}

// WritePage writes a self-contained HTML page with a plot of each chart. Horizontal dashed lines
// show limits, vertical dashed lines show events. The summary is shown as preformatted text.
func (l *Log) WritePage(path, title, summary string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := struct {
		Title, Summary string
		Charts         []chartDrawing
		Events         []Event
	}{Title: title, Summary: summary, Events: l.events}
	for _, name := range l.chartNames() {
		drawing, err := l.chart(name).draw()
		if err != nil {
			return fmt.Errorf("history: %s: %w", name, err)
		}
		page.Charts = append(page.Charts, chartDrawing{name, drawing})
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, page); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

// chartNames lists the names of the charts in the order of their first values. The caller must hold
// l.mu.
func (l *Log) chartNames() []string {
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
