package sim

import (
	"math/rand/v2"
	"testing"
)

// lateCommandsSetup has few machines, so that urgent jobs preempt tasks, which start elsewhere.
const lateCommandsSetup = `
team t gpus=8 gpus_max=24
type van cpus=16 gpus=4 mem=64 price=5 boot=5 fetch=2 cap=1 zones=east,north
type boiler cpus=32 gpus=8 mem=128 price=9 boot=5 fetch=2 cap=1 zones=west,north
`

// Times of a scenario with late commands, in seconds.
const (
	lateCommandsFrom  = 30  // earliest start of a delay
	lateCommandsUntil = 150 // end of the submissions
	lateCommandsEnd   = 400 // end of the scenario
)

// lateCommandsScenario generates a scenario in which commands and the answers to them are late, while
// urgent jobs preempt others, users cancel jobs, and on some days leaders crash, reports are
// duplicated or machines hang.
func lateCommandsScenario(seed uint64) string {
	scenario := &scenarioWriter{rng: rand.New(rand.NewPCG(seed, 19))}
	scenario.printf("seed %d\ncontrollers %d\n%suntil %d\n", seed, []int{3, 5}[scenario.rng.IntN(2)], lateCommandsSetup, lateCommandsEnd)
	scenario.writePreemptions()
	scenario.writeCommandDelays()
	return scenario.String()
}

// writePreemptions writes jobs of low priority that keep the machines busy, and short jobs of high
// priority that may run on one type of machine only.
func (w *scenarioWriter) writePreemptions() {
	for at := 1.0; at < lateCommandsUntil; at += 1 + 3*w.rng.Float64() {
		id := w.newJobID()
		gpus, run := w.between(1, 2), w.between(3, 25)
		switch w.rng.IntN(5) {
		case 0, 1:
			w.event(at, "submit %s priority=idle tasks=%d cpus=2 gpus=%d run=%d image=i%d image_gb=%d", id, w.between(1, 4), gpus, run, w.between(0, 2), w.between(0, 3))
		case 2:
			w.event(at, "submit %s priority=normal tasks=1 cpus=2 gpus=%d run=%d image=n%d image_gb=%d types=van", id, gpus, run, w.between(0, 5), w.between(0, 3))
		case 3:
			w.event(at, "submit %s priority=urgent tasks=%d cpus=2 gpus=%d run=%d image=u image_gb=0 types=%s", id, w.between(1, 3), gpus, w.between(1, 4), w.pick("van", "boiler"))
		case 4:
			w.event(at, "submit %s shape=gang priority=%s tasks=%d cpus=2 gpus=1 run=%d image=g image_gb=1", id, w.pick("idle", "urgent"), w.between(2, 4), w.between(3, 15))
		}
		if w.rng.IntN(4) == 0 {
			w.event(at+0.3+4*w.rng.Float64(), "cancel %s", id)
		}
	}
}

// writeCommandDelays writes delays of commands and of answers to them, and some other faults.
func (w *scenarioWriter) writeCommandDelays() {
	share := func() float64 { return []float64{0.3, 0.7, 1}[w.rng.IntN(3)] }
	during := func() float64 { return lateCommandsFrom + (lateCommandsUntil-lateCommandsFrom)*w.rng.Float64() }
	w.event(lateCommandsFrom, "late_answers share=%g for=%d", share(), lateCommandsUntil-lateCommandsFrom)
	if w.rng.IntN(2) == 0 {
		w.event(during(), "late_commands share=%g for=%d", share(), w.between(5, 40))
	}
	switch w.rng.IntN(5) {
	case 0:
		for range w.between(1, 4) {
			w.event(during(), "crash leader for=%g", []float64{0.3, 3, 12}[w.rng.IntN(3)])
		}
	case 1:
		w.event(during(), "late_reports share=%g for=%d", share(), w.between(10, 60))
		w.event(during(), "cut leader %s for=%d %s", w.pick("workers", "nodes", "state"), w.between(3, 20), w.pick("", "hold", "hold oneway"))
	case 2:
		w.event(during(), "%s some share=0.5 for=%d", w.pick("hang", "deaf", "mute"), w.between(3, 15))
	case 3:
		w.event(during(), "pause leader for=%d", w.between(3, 15))
	case 4: // no other fault
	}
}

// TestLateCommands guards against a start command that arrives after its task was stopped and the
// worker has forgotten the attempt: the task ran on two machines, or after its user was told that the
// job is cancelled.
func TestLateCommands(t *testing.T) {
	// With seed 266 a task ran twice; with the others a cancelled task started.
	runSeeds(t, soakSeeds(40, 266, 79, 82, 144, 148, 158), lateCommandsScenario)
}
