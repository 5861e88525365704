package sim

import (
	"fmt"
	"strings"
	"testing"
)

// graphSetup begins a scenario whose fleet is large enough for the graphs below.
const graphSetup = `
seed %d
workers report=1.5 lease=10 cancel=35
team t
type small cpus=8 mem=32 boot=10 cap=6
`

// writeSubmissions writes the submissions of a graph's jobs, which are numbered from 1. Each job is
// submitted as soon as its dependencies are accepted. rootOptions are options of the first job.
func writeSubmissions(text *strings.Builder, graph dependencyGraph, rootOptions string) {
	for n, dependencies := range graph {
		fmt.Fprintf(text, "at 1 submit job-%06d tasks=1 image_gb=0 run=%d", n+1, 2+n%3)
		if n == 0 {
			fmt.Fprintf(text, " %s", rootOptions)
		}
		for i, dependency := range dependencies {
			fmt.Fprintf(text, "%s%06d", []string{" awaits=job-", ",job-"}[min(i, 1)], dependency+1)
		}
		text.WriteByte('\n')
	}
}

// longDependencyList is the length of a dependency list that does not fit into one open record when
// the store's value size limit is small.
const longDependencyList = 180

// dependencyGraph holds, for each job by index, the indexes of its dependencies.
type dependencyGraph [][]int

// dependencyGraphs returns graphs of several kinds by name. Each has the given number of jobs,
// except for the graph of one job with all dependencies, which has longDependencyList+1.
func dependencyGraphs(jobs int) map[string]dependencyGraph {
	chain, oneForAll, layers := make(dependencyGraph, jobs), make(dependencyGraph, jobs), make(dependencyGraph, jobs)
	allForOne := make(dependencyGraph, longDependencyList+1)
	for k := 1; k < jobs; k++ {
		chain[k] = []int{k - 1}
		oneForAll[k] = []int{0}
		layer := (k - 1) / 3
		for i := max(0, 3*layer-2); i <= 3*layer && i < k; i++ {
			layers[k] = append(layers[k], i)
		}
	}
	for k := range longDependencyList {
		allForOne[longDependencyList] = append(allForOne[longDependencyList], k)
	}
	return map[string]dependencyGraph{"chain": chain, "one dependency of all": oneForAll, "layers": layers, "one with all dependencies": allForOne}
}

// dependentsOfRoot reports for each job whether it is the first job or depends on it, directly or
// indirectly.
func (g dependencyGraph) dependentsOfRoot() []bool {
	isDependent := make([]bool, len(g))
	isDependent[0] = true
	for n, dependencies := range g {
		for _, dependency := range dependencies {
			isDependent[n] = isDependent[n] || isDependent[dependency]
		}
	}
	return isDependent
}

// TestCancelledGraphs cancels the root of large graphs while its task runs and faults are injected.
// At the end every job that depends on the root must be cancelled. Throughout, no job may start
// before its dependencies are done, or be reported as running for longer than the cancellation
// timeout after the root was reported as cancelled. When the store's limits are reduced without
// announcement, only a few transactions may exceed them.
func TestCancelledGraphs(t *testing.T) {
	faults := map[string]string{
		"none":               "",
		"leader crashes":     "at 60.3 crash leader for=3\nat 66 crash leader for=3\n",
		"slow store":         "at 55 slow for=60 by=0.3\n",
		"announced limits":   "next value_kb=2 txn_ops=5 write_rps=40\nat 40 limits value_kb=2 txn_ops=5 write_rps=40\n",
		"unannounced limits": "at 40 limits value_kb=4 txn_ops=4 write_rps=30\nat 61 crash leader for=3\n",
		"several at once":    "next value_kb=2 txn_ops=5 write_rps=40\nat 40 limits value_kb=2 txn_ops=5 write_rps=40\nat 58 slow for=40 by=0.25\nat 60.5 crash leader for=3\n",
	}
	runGraphScenarios(t, 240, faults, func(text *strings.Builder, graph dependencyGraph) {
		writeSubmissions(text, graph, "run=400")
		text.WriteString("at 60 cancel job-000001\nuntil 108\n")
		for n, isCancelled := range graph.dependentsOfRoot() {
			status := "over"
			if isCancelled {
				status = "withdrawn"
			}
			fmt.Fprintf(text, "expect job-%06d %s\n", n+1, status)
		}
	})
}

// TestFinishedGraphs checks that all jobs of large graphs are done in spite of faults.
func TestFinishedGraphs(t *testing.T) {
	faults := map[string]string{
		"none":               "",
		"leaders crash":      "at 40 crash leader for=3\nat 80 crash all for=2\nat 120 crash leader for=3\n",
		"slow store":         "at 30 slow for=60 by=0.3\n",
		"announced limits":   "next value_kb=2 txn_ops=5 write_rps=40\nat 40 limits value_kb=2 txn_ops=5 write_rps=40\n",
		"unannounced limits": "at 40 limits value_kb=4 txn_ops=4 write_rps=30\n",
		"delayed commits, partition, duplicate heartbeats": "at 30 late_writes share=0.3 for=30\nat 70 cut leader state for=12\nat 90 late_reports share=0.5 for=20\n",
	}
	runGraphScenarios(t, 31, faults, func(text *strings.Builder, graph dependencyGraph) {
		writeSubmissions(text, graph, "")
		fmt.Fprintf(text, "at 2 submit job-000900 priority=urgent tasks=2 run=3 due=300 awaits=job-%06d\n", len(graph))
		text.WriteString("until 420\n")
		for n := range graph {
			fmt.Fprintf(text, "expect job-%06d done\n", n+1)
		}
		text.WriteString("expect job-000900 done\n")
	})
}

// runGraphScenarios runs a scenario for each kind of graph and each fault. faults holds the lines
// of each fault by its name; write writes the rest of the scenario.
func runGraphScenarios(t *testing.T, jobs int, faults map[string]string, write func(*strings.Builder, dependencyGraph)) {
	t.Helper()
	for kind, graph := range dependencyGraphs(jobs) {
		for faultName, lines := range faults {
			t.Run(kind+"/"+faultName, func(t *testing.T) {
				t.Parallel()
				var text strings.Builder
				fmt.Fprintf(&text, graphSetup, 1)
				text.WriteString(lines)
				write(&text, graph)
				runGraphScenario(t, text.String())
			})
		}
	}
}

// maxRejected is how many transactions the store may reject after its limits were reduced without
// announcement: each controller sends a few until it has detected the new limits.
const maxRejected = 40

// maxReportedFailures limits the failures that are reported for one graph.
const maxReportedFailures = 6

// runGraphScenario runs a scenario and checks how many transactions the key-value store rejected.
func runGraphScenario(t *testing.T, text string) {
	t.Helper()
	world, failures := parseScenario(t, text).Run(testLog())
	for _, failure := range failures[:min(len(failures), maxReportedFailures)] {
		t.Error(failure)
	}
	if world.store.rejected > maxRejected {
		t.Errorf("transactions rejected by the store: got %d, want at most %d", world.store.rejected, maxRejected)
	}
}
