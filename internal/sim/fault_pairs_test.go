package sim

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// faultPairSetup has two teams with a guarantee, and team g, which is best-effort.
const faultPairSetup = `
team t gpus=8 gpus_max=24
team u gpus=8 gpus_max=16
team g
type small cpus=8 gpus=0 mem=32 price=1 spot_price=0.3 boot=10 fetch=1 cap=4 spot=3
type big cpus=32 gpus=8 mem=256 price=10 spot_price=3 boot=15 fetch=4 cap=2 spot=2
wait web within=2
`

// Start times of the two faults of a scenario, and its end, in seconds.
const (
	firstFaultAt      = 40
	secondFaultAt     = 50 // earliest start; the latest is secondFaultSpread later
	secondFaultSpread = 50
	faultPairEnd      = 480
)

// faultKind is a kind of fault. write adds one that begins at a time in seconds to a scenario.
type faultKind struct {
	name  string
	write func(w *scenarioWriter, at float64)
}

// faultKinds are the faults that occurred in production, and those of overlappingFaultsScenario
// that occurred together with them.
var faultKinds = []faultKind{
	{"delayed boots of a type", func(w *scenarioWriter, at float64) {
		w.event(at, "lateboot type=%s factor=%d for=%d", w.pick("small", "big"), w.between(2, 5), w.between(40, 120))
	}},
	{"failed boots in a zone", func(w *scenarioWriter, at float64) {
		w.event(at, "noboot zone=%s share=%g for=%d", w.pick("east", "north", "west"), []float64{0.6, 1}[w.rng.IntN(2)], w.between(30, 90))
	}},
	{"failed boots", func(w *scenarioWriter, at float64) {
		w.event(at, "noboot share=%g for=%d", []float64{0.3, 0.7, 1}[w.rng.IntN(3)], w.between(20, 60))
	}},
	{"poll storm", func(w *scenarioWriter, at float64) {
		w.event(at, "poll_storm factor=%d for=%d", w.between(8, 20), w.between(60, 120))
	}},
	{"leader paused", func(w *scenarioWriter, at float64) {
		w.event(at, "pause leader for=%d", w.between(60, 120))
	}},
	{"controllers paused in turn", func(w *scenarioWriter, at float64) {
		first := w.between(20, 70)
		w.event(at, "pause %s for=%d", w.pick("leader", "follower"), first)
		w.event(at+float64(first)*(0.8+0.4*w.rng.Float64()), "pause %s for=%d", w.pick("leader", "follower"), w.between(20, 70))
	}},
	{"controller partitioned from workers", func(w *scenarioWriter, at float64) {
		w.event(at, "cut %s workers for=%d %s", w.pick("leader", "follower"), w.between(20, 60), w.pick("", "hold"))
	}},
	{"controller partitioned from the store", func(w *scenarioWriter, at float64) {
		w.event(at, "cut %s state for=%d %s", w.pick("leader", "follower"), w.between(20, 60), w.pick("", "hold"))
	}},
	{"controller partitioned from its peers", func(w *scenarioWriter, at float64) {
		w.event(at, "cut %s nodes for=%d %s", w.pick("leader", "follower"), w.between(20, 60), w.pick("", "hold"))
	}},
	{"controller refused by the store", func(w *scenarioWriter, at float64) {
		w.event(at, "refuse %s for=%d", w.pick("leader", "follower"), w.between(20, 60))
		w.event(at+2, "cancel_now count=%d", w.between(1, 4))
	}},
	{"huge array of a best-effort team", func(w *scenarioWriter, at float64) {
		w.event(at, "submit %s team=g priority=idle tasks=%d cpus=0.5 mem=0.2 run=2 image=g", w.newJobID(), w.between(600, 1500))
	}},
	{"idle arrays of a best-effort team", func(w *scenarioWriter, at float64) {
		for range 3 {
			w.event(at, "submit %s team=g priority=idle tasks=%d cpus=2 run=%d checkpoint=10 save=3 image=g spot", w.newJobID(), w.between(10, 30), w.between(20, 50))
		}
	}},
	{"many small jobs of a best-effort team", func(w *scenarioWriter, at float64) {
		for range 80 {
			at += 0.25
			w.event(at, "submit %s team=g priority=idle tasks=1 cpus=0.5 run=%d image=h", w.newJobID(), w.between(1, 8))
		}
	}},
	{"jobs whose tasks fail", func(w *scenarioWriter, at float64) {
		for _, shape := range []string{"array tasks=1", "gang tasks=3 together", "array tasks=12", "service tasks=3"} {
			job := w.newJobID()
			w.event(at, "submit %s shape=%s team=%s priority=%s cpus=2 image=f fail", job, shape, w.pick("t", "g"), w.pick("critical", "urgent", "idle"))
			w.event(at+float64(w.between(30, 160)), "cancel %s", job)
		}
	}},
	{"machine that fails every task", func(w *scenarioWriter, at float64) {
		w.event(at, "faulty busy")
		w.event(at+1, "submit %s team=t tasks=8 cpus=2 run=10", w.newJobID())
	}},
	{"store down for longer than a cancellation may take", func(w *scenarioWriter, at float64) {
		w.event(at-1, "cancel_now count=%d", w.between(1, 4))
		w.event(at, "outage state for=%d", w.between(31, 45))
		w.event(at+5, "cancel_now count=%d", w.between(1, 4))
	}},
	{"machines of a zone lost", func(w *scenarioWriter, at float64) {
		w.event(at, "kill zone:%s share=1", w.pick("east", "north", "west"))
	}},
	{"leader crashes", func(w *scenarioWriter, at float64) {
		for range w.between(1, 3) {
			w.event(at, "crash leader for=%g", []float64{0.3, 3, 12}[w.rng.IntN(3)])
			at += 5 + 10*w.rng.Float64()
		}
	}},
	{"all controllers crash", func(w *scenarioWriter, at float64) {
		w.event(at, "crash all for=%g", []float64{0.3, 3, 12}[w.rng.IntN(3)])
	}},
	{"calls carried out once more", func(w *scenarioWriter, at float64) {
		w.event(at, "repeat_calls share=%g for=%d", []float64{0.2, 0.6, 1}[w.rng.IntN(3)], w.between(30, 120))
	}},
	{"cancellations at the end of jobs", func(w *scenarioWriter, at float64) {
		w.event(at, "cancel_at_end share=%g for=%d", []float64{0.3, 1}[w.rng.IntN(2)], w.between(30, 90))
	}},
}

// faultPair returns the pair of fault kinds with a number. The pairs are each kind with itself and
// with every later one; after the last pair, the numbering starts over.
func faultPair(number uint64) (first, second faultKind) {
	n := number % uint64(len(faultKinds)*(len(faultKinds)+1)/2)
	for i := range faultKinds {
		row := uint64(len(faultKinds) - i)
		if n < row {
			return faultKinds[i], faultKinds[i+int(n)]
		}
		n -= row
	}
	panic("fault pair number out of range")
}

// faultPairScenario generates a scenario in which two faults overlap: the second begins 0 to 60 s
// after the first. name names both faults.
func faultPairScenario(seed uint64) (name, text string) {
	first, second := faultPair(seed)
	scenario := &scenarioWriter{rng: rand.New(rand.NewPCG(seed, 17))}
	scenario.printf("seed %d\ncontrollers %d\n%suntil %d\n", seed, []int{3, 5}[scenario.rng.IntN(2)], faultPairSetup, faultPairEnd)
	scenario.writeMixedWorkload()
	if scenario.rng.IntN(2) == 0 {
		first, second = second, first
	}
	first.write(scenario, firstFaultAt+10*scenario.rng.Float64())
	second.write(scenario, secondFaultAt+secondFaultSpread*scenario.rng.Float64())
	return first.name + ", " + second.name, scenario.String()
}

// writeMixedWorkload writes submissions of jobs of all shapes, and cancellations of a few of them.
func (w *scenarioWriter) writeMixedWorkload() {
	for range 24 {
		at, id := 150*w.rng.Float64(), w.newJobID()
		image := fmt.Sprintf("image=i%d image_gb=%d", w.rng.IntN(4), []int{0, 2, 8}[w.rng.IntN(3)])
		team := w.pick("t", "u")
		switch w.rng.IntN(5) {
		case 0:
			w.event(at, "submit %s shape=service class=web team=%s priority=critical tasks=%d cpus=1 %s apart", id, team, w.between(1, 5), image)
		case 1:
			w.event(at, "submit %s team=%s priority=idle tasks=%d cpus=4 gpus=1 mem=16 run=%d checkpoint=5 save=3 %s spot", id, team, w.between(1, 12), w.between(10, 50), image)
		case 2:
			w.event(at, "submit %s shape=gang team=%s priority=urgent tasks=%d cpus=6 gpus=2 mem=16 run=%d checkpoint=5 save=2 %s together", id, team, w.between(1, 3), w.between(10, 60), image)
		case 3:
			w.event(at, "submit %s team=%s tasks=%d cpus=2 run=%d %s together", id, team, w.between(1, 6), w.between(5, 60), image)
		case 4:
			w.event(at, "submit %s shape=gang team=%s tasks=%d cpus=3 run=%d %s apart", id, team, w.between(2, 5), w.between(10, 60), image)
		}
		if w.rng.IntN(6) == 0 {
			w.event(at+float64(w.between(5, 60)), "cancel %s", id)
		}
	}
}

// TestFaultPairs runs scenarios in which two of the faults that occurred in production overlap: a
// sample of the pairs, or as many scenarios as BROOKWALK_SOAK sets. A pair that is run again gets
// another seed.
func TestFaultPairs(t *testing.T) {
	count := uint64(soakRunCount(42))
	step := max(1, uint64(len(faultKinds)*(len(faultKinds)+1)/2)/count)
	for index := range count {
		name, text := faultPairScenario(index * step)
		t.Run(fmt.Sprint(index*step, " ", name), func(t *testing.T) {
			t.Parallel()
			runRandomScenario(t, text)
		})
	}
}
