package sim

import (
	"fmt"
	"strings"
	"testing"
)

// graphSetup is a fleet that runs what the graphs below need at a time.
const graphSetup = `
seed %d
workers report=1.5 lease=10 cancel=35
team t
type small cpus=8 mem=32 boot=10 cap=6
`

// writeSubmissions writes the submissions of a graph: one after the other, each as soon
// as those that it awaits are accepted.
func writeSubmissions(text *strings.Builder, at float64, first int, awaits [][]int, rest string) {
	for n, list := range awaits {
		fmt.Fprintf(text, "at %.2f submit job-%06d tasks=1 image_gb=0 run=%d", at, first+n, 2+n%3)
		if n == 0 {
			fmt.Fprintf(text, " %s", rest)
		}
		for k, a := range list {
			fmt.Fprintf(text, "%s%06d", []string{" awaits=job-", ",job-"}[min(k, 1)], first+a)
		}
		text.WriteByte('\n')
	}
}

// longDependencyList is more names than an open record holds where values are small.
const longDependencyList = 180

// dependencyGraphs are graphs of jobs by number: what each awaits.
func dependencyGraphs(n int) map[string][][]int {
	chain, needed, layers := make([][]int, n), make([][]int, n), make([][]int, n)
	needing := make([][]int, longDependencyList+1)
	for k := 1; k < n; k++ {
		chain[k] = []int{k - 1}
		needed[k] = []int{0}
		layer := (k - 1) / 3
		for i := max(0, 3*layer-2); i <= 3*layer && i < k; i++ {
			layers[k] = append(layers[k], i)
		}
	}
	for k := range longDependencyList {
		needing[longDependencyList] = append(needing[longDependencyList], k)
	}
	return map[string][][]int{"a chain": chain, "one that all need": needed, "layers": layers, "one that needs all": needing}
}

// TestCancelledGraphs cancels the root of large graphs while its task runs and a
// trouble goes on. Every job that needs it is withdrawn at the end, and the rules
// hold throughout: none starts early, none is called running too long after its
// user was told of the root. What is beyond the limits that fall without notice
// is sent only a few times.
func TestCancelledGraphs(t *testing.T) {
	troubles := map[string]string{
		"none":              "",
		"the leader ends":   "at 60.3 crash leader for=3\nat 66 crash leader for=3\n",
		"a slow service":    "at 55 slow for=60 by=0.3\n",
		"announced limits":  "next value_kb=2 txn_ops=5 write_rps=40\nat 40 limits value_kb=2 txn_ops=5 write_rps=40\n",
		"unannounced":       "at 40 limits value_kb=4 txn_ops=4 write_rps=30\nat 61 crash leader for=3\n",
		"all of it at once": "next value_kb=2 txn_ops=5 write_rps=40\nat 40 limits value_kb=2 txn_ops=5 write_rps=40\nat 58 slow for=40 by=0.25\nat 60.5 crash leader for=3\n",
	}
	for shape, awaits := range dependencyGraphs(240) {
		for trouble, lines := range troubles {
			t.Run(shape+"/"+trouble, func(t *testing.T) {
				t.Parallel()
				var text strings.Builder
				fmt.Fprintf(&text, graphSetup, 1)
				text.WriteString(lines)
				writeSubmissions(&text, 1, 1, awaits, "run=400")
				text.WriteString("at 60 cancel job-000001\nuntil 108\n")
				needs := map[int]bool{0: true}
				for n, list := range awaits {
					for _, a := range list {
						needs[n] = needs[n] || needs[a]
					}
					status := "over"
					if needs[n] {
						status = "withdrawn"
					}
					fmt.Fprintf(&text, "expect job-%06d %s\n", n+1, status)
				}
				playGraph(t, text.String())
			})
		}
	}
}

// TestFinishedGraphs runs large graphs to their ends under troubles.
func TestFinishedGraphs(t *testing.T) {
	troubles := map[string]string{
		"none":            "",
		"leaders end":     "at 40 crash leader for=3\nat 80 crash all for=2\nat 120 crash leader for=3\n",
		"a slow service":  "at 30 slow for=60 by=0.3\n",
		"limits fall":     "next value_kb=2 txn_ops=5 write_rps=40\nat 40 limits value_kb=2 txn_ops=5 write_rps=40\n",
		"unannounced":     "at 40 limits value_kb=4 txn_ops=4 write_rps=30\n",
		"late, cut, late": "at 30 late_writes share=0.3 for=30\nat 70 cut leader state for=12\nat 90 late_reports share=0.5 for=20\n",
	}
	for shape, awaits := range dependencyGraphs(31) {
		for trouble, lines := range troubles {
			t.Run(shape+"/"+trouble, func(t *testing.T) {
				t.Parallel()
				var text strings.Builder
				fmt.Fprintf(&text, graphSetup, 1)
				text.WriteString(lines)
				writeSubmissions(&text, 1, 1, awaits, "")
				fmt.Fprintf(&text, "at 2 submit job-000900 priority=urgent tasks=2 run=3 due=300 awaits=job-%06d\n", len(awaits))
				text.WriteString("until 420\n")
				for n := range awaits {
					fmt.Fprintf(&text, "expect job-%06d done\n", n+1)
				}
				text.WriteString("expect job-000900 done\n")
				playGraph(t, text.String())
			})
		}
	}
}

// maxRejected is how many transactions beyond limits that fell without notice may
// be sent: a few by each controller until it has found out.
const maxRejected = 40

// playGraph plays a scenario and counts what the state service turned away.
func playGraph(t *testing.T, text string) {
	t.Helper()
	s, err := ParseScenario(text)
	if err != nil {
		t.Fatal(err)
	}
	world, faults := s.Run(testLog())
	for k, fault := range faults {
		if k < 6 {
			t.Error(fault)
		}
	}
	if world.store.rejected > maxRejected {
		t.Errorf("%d transactions beyond the limits, want at most %d", world.store.rejected, maxRejected)
	}
}
