// Package history keeps the history of a run: values by time in named charts, and the moments of
// failures. It writes them as columns (Apache Parquet) and as one HTML page with plots that needs no
// other file. Package hollow fills and writes it.
package history

import (
	"slices"
	"sync"
	"time"
)

// Log is the history of a run. Its zero value is empty and ready to use. It may be used by several
// goroutines.
type Log struct {
	mu     sync.Mutex
	points []Point
	marks  []Mark
	limits map[string]float64 // by chart
}

// Point is a value at a time since the beginning of the run.
type Point struct {
	Chart   string  `parquet:"chart,dict"`
	Series  string  `parquet:"series,dict"`
	Seconds float64 `parquet:"seconds"`
	Value   float64 `parquet:"value"`
}

// Mark is an event at a time since the beginning of the run.
type Mark struct {
	Seconds float64
	Text    string
}

// Add adds a value to a series of a chart.
func (l *Log) Add(chart, series string, at time.Duration, value float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.points = append(l.points, Point{chart, series, at.Seconds(), value})
}

// SetLimit sets the limit of a chart's values. 0 is none.
func (l *Log) SetLimit(chart string, value float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits = map[string]float64{}
	}
	l.limits[chart] = value
}

// AddMark adds an event.
func (l *Log) AddMark(at time.Duration, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.marks = append(l.marks, Mark{at.Seconds(), text})
}

// Points returns all values in the order in which they were added.
func (l *Log) Points() []Point {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.points)
}
