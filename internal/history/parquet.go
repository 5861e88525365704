package history

import (
	"fmt"

	"github.com/parquet-go/parquet-go"
)

// markChart is the chart under which marks stand in a file of columns.
const markChart = "failures"

// WriteParquet writes values and marks to a Parquet file with the columns chart, series, seconds
// and value. Marks stand in the chart "failures", their text as the series.
func (l *Log) WriteParquet(path string) error {
	rows := l.Points()
	l.mu.Lock()
	for _, m := range l.marks {
		rows = append(rows, Point{Chart: markChart, Series: m.Text, Seconds: m.Seconds})
	}
	l.mu.Unlock()
	if err := parquet.WriteFile(path, rows); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// ReadParquet reads a file that WriteParquet wrote.
func ReadParquet(path string) ([]Point, error) {
	rows, err := parquet.ReadFile[Point](path)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return rows, nil
}
