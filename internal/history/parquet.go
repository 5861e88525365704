package history

import (
	"fmt"

	"github.com/parquet-go/parquet-go"
)

// eventChart is the name in the chart column of events in a Parquet file.
const eventChart = "failures"

// WriteParquet writes values and events to a Parquet file with the columns chart, series, seconds
// and value. An event's row has the chart "failures", its text as the series and the value 0.
func (l *Log) WriteParquet(path string) error {
	rows := l.Points()
	l.mu.Lock()
	for _, event := range l.events {
		rows = append(rows, Point{Chart: eventChart, Series: event.Text, Seconds: event.Seconds})
	}
	l.mu.Unlock()
	if err := parquet.WriteFile(path, rows); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// ReadParquet reads the rows of a file that WriteParquet wrote, including those of events.
func ReadParquet(path string) ([]Point, error) {
	rows, err := parquet.ReadFile[Point](path)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return rows, nil
}
