package sim

import (
	"fmt"
	"testing"
)

// repeatedStartsSetup has few machines, so that tasks share them and urgent jobs preempt others.
const repeatedStartsSetup = `
team t gpus=8 gpus_max=24
type van cpus=16 gpus=4 mem=64 price=5 boot=5 fetch=2 cap=4 zones=east
until 330
at 1 submit job-000001 shape=service priority=critical tasks=3 cpus=9 image=s
`

// repeatedStartCases are the ways in which an attempt ends whose start command arrives once more.
var repeatedStartCases = []struct{ name, events string }{
	{"task ended by itself", `
at 20 submit job-000002 tasks=6 cpus=2 run=2
at 30 submit job-000003 tasks=6 cpus=2 run=9`},
	{"task failed and runs elsewhere", `
at 19 faulty busy
at 20 submit job-000002 tasks=4 cpus=2 run=170`},
	{"task failed everywhere", `
at 20 submit job-000002 tasks=2 cpus=2 fail
at 60 cancel job-000002`},
	{"task was preempted", `
at 20 submit job-000002 priority=idle tasks=4 cpus=2 gpus=2 run=40
at 26 submit job-000003 priority=urgent tasks=2 cpus=2 gpus=4 run=5
at 45 submit job-000004 priority=urgent tasks=1 cpus=2 gpus=4 run=20`},
	{"task was moved", `
at 20 submit job-000002 shape=gang tasks=3 cpus=2 gpus=2 run=30
at 27 faulty busy
at 28 submit job-000003 tasks=4 cpus=1 run=3
at 40 kill busy`},
	{"job was cancelled", `
at 20 submit job-000002 tasks=4 cpus=2 run=100
at 24 cancel job-000002
at 27 submit job-000003 tasks=4 cpus=2 run=100
at 35 cancel job-000003`},
	{"incarnation of the worker changed", `
at 20 submit job-000002 tasks=4 cpus=2 run=30
at 24 hang busy for=12
at 37 mute busy for=12`},
	{"leader changed", `
at 20 submit job-000002 tasks=4 cpus=2 run=4
at 20 submit job-000003 tasks=4 cpus=2 run=9
at 26.5 crash leader for=10`},
	{"same controller leads again", `
at 20 submit job-000002 tasks=4 cpus=2 run=4
at 20 submit job-000003 tasks=4 cpus=2 run=9
at 26.5 crash leader for=0.2
at 33 crash all for=0.2`},
}

// TestRepeatedStartRunsTaskAgain guards against a task that runs again, also elsewhere or cancelled,
// when a start command arrives once more that was executed and answered before.
func TestRepeatedStartRunsTaskAgain(t *testing.T) {
	for _, scenario := range repeatedStartCases {
		for _, delay := range []string{"0.2", "10", "150"} {
			t.Run(scenario.name+"/"+delay+" s", func(t *testing.T) {
				t.Parallel()
				for seed := range 8 {
					runScenario(t, fmt.Sprintf("seed %d%s%s\nat 10 repeat_calls to=workers share=1 delay=%s for=130\n",
						seed, repeatedStartsSetup, scenario.events, delay))
				}
			})
		}
	}
}
