package sim

import (
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// churnScenario generates a scenario in which short tasks start and end all the time on a fleet of 4,200
// machines that services occupy. Packing concentrates the short tasks on few machines. Answers to direct
// calls are late, so that at most heartbeats of these machines one is open.
func churnScenario(seconds int) string {
	const replicas, services = 100, 42
	var text strings.Builder
	fmt.Fprintf(&text, "seed 1\nuntil %d\ncontrollers 5\nworkers report=4 lease=22 cancel=42\n"+
		"state rps=1500 write_rps=350 txn_ops=16\ncloud rps=16 lag=5\nteam t\n"+
		"type small cpus=16 mem=64 boot=20 cap=1500\n", seconds+80)
	for i := range services {
		fmt.Fprintf(&text, "at %d submit job-%06d shape=service priority=critical tasks=%d cpus=12 apart\n", 1+i%5, i+1, replicas)
	}
	for second := 60; second < seconds; second++ {
		fmt.Fprintf(&text, "at %d submit job-9%05d tasks=80 cpus=0.01 mem=0.01 run=3 image_gb=0\n", second, second)
	}
	fmt.Fprintf(&text, "at 60 late_answers share=1 for=%d\n", seconds-60)
	return text.String()
}

// maxExtraHeartbeats is the share of heartbeats that raised fencing tokens may add: a worker reports a
// higher token at most once per half lease, and a forget command changes its tasks in any case.
const maxExtraHeartbeats = 0.01

// TestTaskChurn checks, at 4,200 machines, that what workers list until they are told to forget it stays
// bounded while one leader serves, and that they refuse no message for a raised fencing token. The
// number of heartbeats is compared with that of a run in which workers report raised tokens late.
func TestTaskChurn(t *testing.T) {
	t.Parallel()
	duration := max(150, soakRunCount(0))
	run := func(hideRaisedTokens bool, world **World) func() {
		return func() {
			scenario := parseScenario(t, churnScenario(duration))
			*world = scenario.newWorld(slog.New(slog.DiscardHandler))
			(*world).hideRaisedTokens = hideRaisedTokens
			for _, failure := range scenario.finish(*world) {
				t.Error(failure)
			}
		}
	}
	var world, baseline *World
	var runs sync.WaitGroup
	runs.Go(run(false, &world))
	runs.Go(run(true, &baseline))
	runs.Wait()
	traffic, tokens := world.workerTraffic, uint64(0)
	for _, m := range world.cloud.machines {
		tokens = max(tokens, m.fencingToken)
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	t.Logf("%d s, %d machines: %d starts, %d heartbeats (%d if raised tokens are reported late), largest %d bytes, %d with at least %d exited "+
		"tasks, at most %d; highest token %d; %d calls refused, %d answers dropped; %d changes in the store; %d MB in use in both runs",
		duration, world.cloud.rentedMachines(""), world.taskStarts, traffic.heartbeats, baseline.workerTraffic.heartbeats,
		traffic.largestHeartbeat, traffic.manyExited, cluster.MaxExitedRows, traffic.mostExited, tokens,
		traffic.refusedCalls, traffic.droppedAnswers, world.store.changeCount, memory.HeapAlloc>>20)
	if traffic.manyExited < 20 {
		t.Errorf("heartbeats with at least %d exited tasks: got %d, want the bound to be met 20 times", cluster.MaxExitedRows, traffic.manyExited)
	}
	if traffic.refusedCalls > 0 || traffic.droppedAnswers > 0 {
		t.Errorf("got %d calls refused and %d answers dropped for a lower token, want none", traffic.refusedCalls, traffic.droppedAnswers)
	}
	if extra := float64(traffic.heartbeats-baseline.workerTraffic.heartbeats) / float64(baseline.workerTraffic.heartbeats); extra > maxExtraHeartbeats {
		t.Errorf("heartbeats added by raised tokens: got %.2f%%, want at most %.2f%%", 100*extra, 100*maxExtraHeartbeats)
	}
}
