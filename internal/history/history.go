// Package history keeps the course of a run: values by time in named charts, and the moments at
// which something failed. It writes them as columns (Apache Parquet) and as one HTML page with
// plots that needs no other file.
package history

import (
	"sync"
	"time"
)

// Log is the history of a run. It may be used by several goroutines.
type Log struct {
	mu     sync.Mutex
	points []Point
	marks  []Mark
	limits map[string]float64
}

// Point is a value at a time.
type Point struct {
	Chart   string  `parquet:"chart,dict"`
	Series  string  `parquet:"series,dict"`
	Seconds float64 `parquet:"seconds"`
	Value   float64 `parquet:"value"`
}

// Mark is a moment at which something happened.
type Mark struct {
	Seconds float64
	Text    string
}

// Add adds a value.
func (l *Log) Add(chart, series string, at time.Duration, value float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.points = append(l.points, Point{chart, series, at.Seconds(), value})
}

// SetLimit gives a chart a line that its values are to stay under.
func (l *Log) SetLimit(chart string, value float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits = map[string]float64{}
	}
	l.limits[chart] = value
}

// AddMark notes that something happened.
func (l *Log) AddMark(at time.Duration, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.marks = append(l.marks, Mark{at.Seconds(), text})
}

// Points lists all values in the order in which they came.
func (l *Log) Points() []Point {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Point(nil), l.points...)
}
