package sim

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core"
)

// TestFourThousandMachines boots a fleet of 4,200 machines. Then users poll 8 times as often, the
// leader is paused for 90 s, 70 % of the machines of a zone are lost and the next leader crashes.
// No rule may be violated, and at least 99 % of the replicas must run at the end.
func TestFourThousandMachines(t *testing.T) {
	t.Parallel()
	const replicas, services = 100, 42
	var text strings.Builder
	text.WriteString("seed 1\nuntil 280\ncontrollers 5\nworkers report=4 lease=22 cancel=42\n" +
		"state rps=1500 write_rps=700 txn_ops=40\ncloud rps=16 lag=5\nteam t\n" +
		"type small cpus=16 mem=64 boot=20 cap=1500\n")
	for i := range services {
		fmt.Fprintf(&text, "at %d submit job-%06d shape=service priority=critical tasks=%d cpus=16 apart\n", 1+i%5, i+1, replicas)
	}
	text.WriteString("at 60 poll_storm factor=8 for=30\nat 65 pause leader for=90\n" +
		"at 110 kill zone:east share=0.7\nat 135 crash leader for=5\n")
	for i := range 40 {
		fmt.Fprintf(&text, "at %d submit job-9%05d tasks=20 cpus=2 run=10\n", 60+3*i, i)
	}
	scenario := parseScenario(t, text.String())
	world := scenario.newWorld(slog.New(slog.DiscardHandler))
	longestStep, machines := 0, 0
	evaluations := map[*controller]int{}                 // of each controller up to its last step
	world.mutate = func(c *controller, _ *core.Output) { // records only
		now := c.core.(*core.Core).Evaluations()
		longestStep = max(longestStep, now-evaluations[c])
		evaluations[c] = now
	}
	world.after(seconds(100), func() { machines = world.cloud.rentedMachines("") })
	for _, failure := range scenario.finish(world) {
		t.Error(failure)
	}
	running := 0
	for i := range services {
		running += world.runningTasks(fmt.Sprintf("job-%06d", i+1))
	}
	t.Logf("%d machines after 100 s, at most %d evaluations in one step, %d replicas running at the end", machines, longestStep, running)
	if machines < replicas*services {
		t.Errorf("machines after 100 s: got %d, want at least 4200", machines)
	}
	if running < replicas*services*99/100 {
		t.Errorf("replicas running at the end: got %d of %d, want at least 99%%", running, replicas*services)
	}
}
