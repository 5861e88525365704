//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the seconds since the start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  []string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

// since returns the seconds since the start.
func (r *recorder) since() float64 { return time.Since(r.started).Seconds() }

// line writes one line.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.since(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *recorder) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// violations returns what was recorded by breaks.
func (r *recorder) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}
