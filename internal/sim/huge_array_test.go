package sim

import "testing"

// hugeArrayScenario is a scenario with an array of the maximum number of tasks and a service, on
// some 1,400 machines. The leader crashes while the array runs.
const hugeArrayScenario = `
seed 1
team t
workers report=4 lease=17.5 cancel=40
state rps=4000 write_rps=1800 txn_ops=40
cloud rps=80
type small cpus=16 mem=64 boot=10 cap=500
at 1 submit job-000001 shape=service priority=critical tasks=40 cpus=2 apart
at 2 submit job-000002 tasks=100000 cpus=1 mem=0.5 run=20 image_gb=1
at 70 crash leader for=5
until 260
expect job-000001 running tasks=40
expect job-000002 done
expect expired most=0
`

// TestHugeArray runs an array of 100,000 tasks to completion. The simulation used to sort all tasks
// of a job at each task start, which took 505 s.
func TestHugeArray(t *testing.T) {
	t.Parallel()
	world := runScenario(t, hugeArrayScenario)
	if world.cloud.rentedTotal < 1000 {
		t.Errorf("rented machines: got %d, want at least 1000", world.cloud.rentedTotal)
	}
}
