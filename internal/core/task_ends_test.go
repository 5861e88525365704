package core

import (
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// TestTaskEndsAreDeferred ends tasks of an array with successive heartbeats: that is one change of its
// record. The job's own end is recorded at once, in place of what was deferred.
func TestTaskEndsAreDeferred(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	addRecord(harness, leader, wire.Job{ID: "job-1", Tasks: 8}, nil)
	addRecord(harness, leader, wire.Job{ID: "job-2", Tasks: 1}, nil)
	for _, id := range []string{"job-1", "job-2"} {
		leader.Jobs[id].Loaded = true
	}
	changes := func(id string) int {
		n := 0
		for _, body := range harness.commits {
			n += strings.Count(body, `"put":"`+records.PrefixPlacement+id)
		}
		return n
	}
	for i := range 4 {
		leader.markDone(leader.Jobs["job-1"], i)
		harness.run(leader.core.heartbeatInterval() / 2)
	}
	harness.run(leader.core.heartbeatInterval())
	if n := changes("job-1"); n != 1 {
		t.Errorf("four ends within two heartbeats: %d changes", n)
	}
	leader.markDone(leader.Jobs["job-2"], 0)
	harness.run(leader.core.heartbeatInterval() / 2)
	if leader.Jobs["job-2"] != nil || changes("job-2") != 0 {
		t.Errorf("the end of a job is delayed, or its record written first")
	}
}
