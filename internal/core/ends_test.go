package core

import (
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// Ends of an array's tasks that come with reports in a row are one change of its
// record. The job's own end is recorded at once, in place of what is gathered.
func TestEndsAreGathered(t *testing.T) {
	b, l := leading(t, func(*config.Settings) {})
	record(b, l, wire.Job{ID: "job-1", Tasks: 8}, nil)
	record(b, l, wire.Job{ID: "job-2", Tasks: 1}, nil)
	for _, id := range []string{"job-1", "job-2"} {
		l.jobs[id].loaded = true
	}
	changes := func(id string) int {
		n := 0
		for _, body := range b.commits {
			n += strings.Count(body, `"put":"`+records.PrefixPlace+id)
		}
		return n
	}
	for i := range 4 {
		l.markDone(l.jobs["job-1"], i)
		b.run(l.c.report() / 2)
	}
	b.run(l.c.report())
	if n := changes("job-1"); n != 1 {
		t.Errorf("four ends within two reports: %d changes", n)
	}
	l.markDone(l.jobs["job-2"], 0)
	b.run(l.c.report() / 2)
	if l.jobs["job-2"] != nil || changes("job-2") != 0 {
		t.Errorf("the end of a job is held up, or its record written first")
	}
}
