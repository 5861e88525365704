package history

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// sampleLog returns a log with two charts, a limit and an event.
func sampleLog() *Log {
	l := &Log{}
	l.SetLimit("GPUs", 8)
	for i := range 5 {
		at := time.Duration(i) * time.Second
		l.Add("GPUs", "used", at, float64(i))
		l.Add("Starts", "a second", at, 2)
	}
	l.AddEvent(2*time.Second, "leader killed <north>")
	return l
}

// TestParquet writes a history to a Parquet file and reads it back. All values and the event must
// be in it, and reading a file that does not exist must fail.
func TestParquet(t *testing.T) {
	l := sampleLog()
	path := filepath.Join(t.TempDir(), "run.parquet")
	if err := l.WriteParquet(path); err != nil {
		t.Fatal(err)
	}
	got, err := ReadParquet(path)
	if err != nil {
		t.Fatal(err)
	}
	want := append(l.Points(), Point{Chart: "failures", Series: "leader killed <north>", Seconds: 2})
	if !slices.Equal(got, want) {
		t.Errorf("rows of the Parquet file: got %v, want %v", got, want)
	}
	if _, err := ReadParquet(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("reading a file that does not exist: got no error")
	}
}

// TestPage checks the HTML page of a history: it must contain a plot of each chart and escape text,
// and must not load scripts or other files.
func TestPage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.html")
	if err := sampleLog().WritePage(path, "A <run>", "rules broken: 0"); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	if n := strings.Count(page, "<svg"); n != 2 {
		t.Errorf("plots on the page: got %d, want 2", n)
	}
	for _, want := range []string{"A &lt;run&gt;", "rules broken: 0", "<h2>GPUs</h2>", "2.0 s: leader killed &lt;north&gt;"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	for _, other := range []string{"<script", "src=", "<?xml"} {
		if strings.Contains(page, other) {
			t.Errorf("the page contains %q, want a page that needs no script and no other file", other)
		}
	}
}
