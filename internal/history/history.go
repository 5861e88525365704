// Package history records the history of a run: time series, grouped into named charts, and events
// such as injected failures. It writes them to an Apache Parquet file and to a self-contained HTML
// page with plots. Package hollow uses it.
package history

import (
	"slices"
	"sync"
	"time"
)

// Log is the history of a run. Its zero value is empty and ready to use. It is safe for concurrent
// use.
type Log struct {
	mu     sync.Mutex
	points []Point
	events []Event
	limits map[string]float64 // by chart
}

// Point is a value of a time series. Seconds is the time since the start of the run.
type Point struct {
	Chart   string  `parquet:"chart,dict"`
	Series  string  `parquet:"series,dict"`
	Seconds float64 `parquet:"seconds"`
	Value   float64 `parquet:"value"`
}

// Event is an event of a run. Seconds is the time since the start of the run.
type Event struct {
	Seconds float64
	Text    string
}

// Add adds a value to a series of a chart. at is the time since the start of the run.
func (l *Log) Add(chart, series string, at time.Duration, value float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.points = append(l.points, Point{chart, series, at.Seconds(), value})
}

// SetLimit sets the limit that a chart's plot shows. 0 means no limit.
func (l *Log) SetLimit(chart string, value float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits = map[string]float64{}
	}
	l.limits[chart] = value
}

// AddEvent adds an event. at is the time since the start of the run.
func (l *Log) AddEvent(at time.Duration, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, Event{at.Seconds(), text})
}

// Points returns the values of all series in the order in which they were added.
func (l *Log) Points() []Point {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.points)
}
