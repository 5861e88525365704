package history

import (
	"bytes"
	"fmt"
	"html/template"
	"os"
)

// pageTemplate is the page, with the plots as SVG.
var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}pre{background:#f4f4f4;padding:1em;overflow:auto}svg{width:100%;height:auto}</style></head>
<body><h1>{{.Title}}</h1>
<pre>{{.Summary}}</pre>
{{range .Charts}}<h2>{{.Name}}</h2>{{.Drawing}}{{end}}
{{if .Marks}}<h2>Failures</h2><ul>{{range .Marks}}<li>{{printf "%.1f" .Seconds}} s: {{.Text}}</li>{{end}}</ul>{{end}}
</body></html>
`))

// chartDrawing is a chart on the page.
type chartDrawing struct {
	Name    string
	Drawing template.HTML
}

// WritePage writes one HTML page with a plot of each chart. Horizontal dashed lines are limits, vertical
// ones failures. The summary is shown as preformatted text.
func (l *Log) WritePage(path, title, summary string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := struct {
		Title, Summary string
		Charts         []chartDrawing
		Marks          []Mark
	}{Title: title, Summary: summary, Marks: l.marks}
	for _, name := range l.charts() {
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

// charts lists the names of the charts in the order in which they first got a value.
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
