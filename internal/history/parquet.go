package history

import (
	"fmt"

	"github.com/parquet-go/parquet-go"
)

// markChart is the chart of marks in a Parquet file.
const markChart = "failures"

// WriteParquet writes values and marks to a Parquet file with the columns chart, series, seconds and
// value. Marks have the chart "failures" and their text as the series.
func (l *Log) WriteParquet(path string) error {
	rows := l.Points()
	l.mu.Lock()
	for _, mark := range l.marks {
		rows = append(rows, Point{Chart: markChart, Series: mark.Text, Seconds: mark.Seconds})
	}
	l.mu.Unlock()
	if err := parquet.WriteFile(path, rows); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// ReadParquet reads the rows of a file that WriteParquet wrote, marks included.
func ReadParquet(path string) ([]Point, error) {
	rows, err := parquet.ReadFile[Point](path)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return rows, nil
}
