package sim

import (
	"fmt"
	"strings"
	"testing"
)

// graphSetup is a fleet that is large enough for the graphs below.
const graphSetup = `
seed %d
workers report=1.5 lease=10 cancel=35
team t
type small cpus=8 mem=32 boot=10 cap=6
`

// writeSubmissions writes the submissions of a graph, each as soon as the dependencies are accepted.
// rootOptions are options of the first job. Jobs are numbered from 1.
func writeSubmissions(text *strings.Builder, graph dependencyGraph, rootOptions string) {
	for n, list := range graph {
		fmt.Fprintf(text, "at 1 submit job-%06d tasks=1 image_gb=0 run=%d", n+1, 2+n%3)
		if n == 0 {
			fmt.Fprintf(text, " %s", rootOptions)
		}
		for i, dependency := range list {
			fmt.Fprintf(text, "%s%06d", []string{" awaits=job-", ",job-"}[min(i, 1)], dependency+1)
		}
		text.WriteByte('\n')
	}
}

// longDependencyList is more dependencies than an open record holds where values are small.
const longDependencyList = 180

// dependencyGraph lists the dependencies of each job by number.
type dependencyGraph [][]int

// dependencyGraphs are graphs of several kinds with a number of jobs; one of them has more.
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

// dependentsOfRoot reports for each job whether it is the first one or depends on it.
func (g dependencyGraph) dependentsOfRoot() []bool {
	isDependent := make([]bool, len(g))
	isDependent[0] = true
	for n, list := range g {
		for _, dependency := range list {
			isDependent[n] = isDependent[n] || isDependent[dependency]
		}
	}
	return isDependent
}

// TestCancelledGraphs cancels the root of large graphs while its task runs and faults are injected.
// Every job that depends on it is cancelled at the end, and the rules hold throughout: no job starts
// early, no job is said to run too long after its user was told of the root. Transactions beyond limits
// that fall without notice are sent only a few times.
func TestCancelledGraphs(t *testing.T) {
	faults := map[string]string{
		"none":               "",
		"leader crashes":     "at 60.3 crash leader for=3\nat 66 crash leader for=3\n",
		"slow store":         "at 55 slow for=60 by=0.3\n",
		"announced limits":   "next value_kb=2 txn_ops=5 write_rps=40\nat 40 limits value_kb=2 txn_ops=5 write_rps=40\n",
		"unannounced limits": "at 40 limits value_kb=4 txn_ops=4 write_rps=30\nat 61 crash leader for=3\n",
		"several at once":    "next value_kb=2 txn_ops=5 write_rps=40\nat 40 limits value_kb=2 txn_ops=5 write_rps=40\nat 58 slow for=40 by=0.25\nat 60.5 crash leader for=3\n",
	}
	playGraphs(t, 240, faults, func(text *strings.Builder, graph dependencyGraph) {
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

// TestFinishedGraphs runs large graphs to their ends under faults.
func TestFinishedGraphs(t *testing.T) {
	faults := map[string]string{
		"none":               "",
		"leaders crash":      "at 40 crash leader for=3\nat 80 crash all for=2\nat 120 crash leader for=3\n",
		"slow store":         "at 30 slow for=60 by=0.3\n",
		"announced limits":   "next value_kb=2 txn_ops=5 write_rps=40\nat 40 limits value_kb=2 txn_ops=5 write_rps=40\n",
		"unannounced limits": "at 40 limits value_kb=4 txn_ops=4 write_rps=30\n",
		"delayed commits, partition, duplicate heartbeats": "at 30 late_writes share=0.3 for=30\nat 70 cut leader state for=12\nat 90 late_reports share=0.5 for=20\n",
	}
	playGraphs(t, 31, faults, func(text *strings.Builder, graph dependencyGraph) {
		writeSubmissions(text, graph, "")
		fmt.Fprintf(text, "at 2 submit job-000900 priority=urgent tasks=2 run=3 due=300 awaits=job-%06d\n", len(graph))
		text.WriteString("until 420\n")
		for n := range graph {
			fmt.Fprintf(text, "expect job-%06d done\n", n+1)
		}
		text.WriteString("expect job-000900 done\n")
	})
}

// playGraphs plays graphs of every kind with each of the faults, whose lines are given by name. write
// writes the rest of the scenario.
func playGraphs(t *testing.T, jobs int, faults map[string]string, write func(*strings.Builder, dependencyGraph)) {
	t.Helper()
	for kind, graph := range dependencyGraphs(jobs) {
		for fault, lines := range faults {
			t.Run(kind+"/"+fault, func(t *testing.T) {
				t.Parallel()
				var text strings.Builder
				fmt.Fprintf(&text, graphSetup, 1)
				text.WriteString(lines)
				write(&text, graph)
				playGraph(t, text.String())
			})
		}
	}
}

// maxRejected is how many transactions beyond limits that fell without notice may be sent: a few by
// each controller until it has detected the limits.
const maxRejected = 40

// maxReported is how many faults of a graph are reported.
const maxReported = 6

// playGraph plays a scenario and checks how many transactions the key-value store rejected.
func playGraph(t *testing.T, text string) {
	t.Helper()
	world, faults := parseScenario(t, text).Run(testLog())
	for _, fault := range faults[:min(len(faults), maxReported)] {
		t.Error(fault)
	}
	if world.store.rejected > maxRejected {
		t.Errorf("%d transactions beyond the limits, want at most %d", world.store.rejected, maxRejected)
	}
}
