package sim

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core"
)

// TestFourThousandMachines boots a fleet of 4,200 machines, on which users ask many times
// as often, the leader stands still for 90 s, most of a zone dies and the next leader ends.
// No rule may break and the fleet has to serve again.
func TestFourThousandMachines(t *testing.T) {
	t.Parallel()
	const replicas, services = 100, 42
	var b strings.Builder
	b.WriteString("seed 1\nuntil 280\ncontrollers 5\nworkers report=4 lease=22 cancel=42\n" +
		"state rps=1500 write_rps=700 txn_ops=40\ncloud rps=16 lag=5\nteam t\n" +
		"type small cpus=16 mem=64 boot=20 cap=1500\n")
	for i := range services {
		fmt.Fprintf(&b, "at %d submit job-%06d shape=service priority=critical tasks=%d cpus=16 apart\n", 1+i%5, i+1, replicas)
	}
	b.WriteString("at 60 poll_storm factor=8 for=30\nat 65 pause leader for=90\n" +
		"at 110 kill zone:east share=0.7\nat 135 crash leader for=5\n")
	for i := range 40 {
		fmt.Fprintf(&b, "at %d submit job-9%05d tasks=20 cpus=2 run=10\n", 60+3*i, i)
	}
	s, err := ParseScenario(b.String())
	if err != nil {
		t.Fatal(err)
	}
	w := s.world(slog.New(slog.DiscardHandler))
	longest, machines := 0, 0
	evaluations := map[*node]int{}             // of each controller's decisions, at its last step
	w.mutate = func(n *node, _ *core.Output) { // watches, changes nothing
		now := n.core.(*core.Core).Evaluations()
		longest = max(longest, now-evaluations[n])
		evaluations[n] = now
	}
	w.after(seconds(100), func() { machines = w.cloud.rented("") })
	for _, fault := range s.finish(w) {
		t.Error(fault)
	}
	running := 0
	for i := range services {
		running += w.running(fmt.Sprintf("job-%06d", i+1))
	}
	t.Logf("%d machines, %d evaluations in the longest step, %d replicas run at the end", machines, longest, running)
	if machines < replicas*services {
		t.Errorf("%d machines", machines)
	}
	if running < replicas*services*99/100 {
		t.Errorf("%d of %d replicas run at the end", running, replicas*services)
	}
}
