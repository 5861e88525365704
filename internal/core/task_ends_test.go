package core

import (
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// TestTaskEndsAreDeferred checks that the ends of array tasks in successive heartbeats are written
// to the placement record together, in one write, and that the end of the job itself is recorded
// without delay and without a preceding write of the placement record.
func TestTaskEndsAreDeferred(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	addRecord(harness, leader, wire.Job{ID: "job-1", Tasks: 8}, nil)
	addRecord(harness, leader, wire.Job{ID: "job-2", Tasks: 1}, nil)
	for _, id := range []string{"job-1", "job-2"} {
		leader.Jobs[id].Loaded = true
	}
	countWrites := func(id string) int {
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
	if n := countWrites("job-1"); n != 1 {
		t.Errorf("four task ends within two heartbeat intervals: got %d writes of the placement record, want 1", n)
	}
	leader.markDone(leader.Jobs["job-2"], 0)
	harness.run(leader.core.heartbeatInterval() / 2)
	if leader.Jobs["job-2"] != nil || countWrites("job-2") != 0 {
		t.Errorf("the end of the job is delayed, or its placement record was written first")
	}
}
