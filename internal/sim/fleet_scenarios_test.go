package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// mixedFleetScenario generates a scenario for a fleet with a number of machines. Two teams submit
// services, arrays and wide gangs in proportion to the size of the fleet. faults are added as lines.
func mixedFleetScenario(machines int, seed uint64, until int, faults ...string) string {
	rng := rand.New(rand.NewPCG(seed, 11))
	var text strings.Builder
	perOffer := (machines + 11) / 12 // machines for each combination of type, zone and spot or on-demand
	gpus := float64(machines)
	fmt.Fprintf(&text, "seed %d\nuntil %d\n", seed, until)
	fmt.Fprintf(&text, "team t gpus=%g gpus_max=%g\nteam u gpus=%g gpus_max=%g\n", 1.5*gpus, 4*gpus, 1.5*gpus, 4*gpus)
	fmt.Fprintf(&text, "type small cpus=48 gpus=4 mem=192 price=14 spot_price=6 boot=20 fetch=9 cache=300 cap=%d spot=%d\n", perOffer, perOffer)
	fmt.Fprintf(&text, "type big cpus=96 gpus=8 mem=384 price=20 spot_price=8 boot=15 fetch=5 cache=600 cap=%d spot=%d\n", perOffer, perOffer)
	text.WriteString("wait web within=20\nwait train within=10\nfinished sweep within=300\n")
	team := func() string { return []string{"t", "u"}[rng.IntN(2)] }
	lastJob := 0
	submit := func(at int, format string, args ...any) {
		lastJob++
		fmt.Fprintf(&text, "at %d submit job-%06d team=%s %s\n", at, lastJob, team(), fmt.Sprintf(format, args...))
	}
	add := func(at int) {
		switch rng.IntN(6) {
		case 0:
			submit(at, "shape=service class=big priority=critical tasks=%d cpus=33 gpus=4 mem=100 image=b%d image_gb=70 apart", 1+rng.IntN(3), rng.IntN(6))
		case 1, 2:
			submit(at, "shape=service class=web priority=critical tasks=%d cpus=8 gpus=1 mem=25 image=w%d image_gb=16 apart", 2+rng.IntN(7), rng.IntN(10))
		case 3, 4:
			submit(at, "shape=gang class=train priority=urgent tasks=%d cpus=43 gpus=4 mem=150 run=%d checkpoint=15 save=3 image=t%d image_gb=16 together spot", 1<<rng.IntN(3), 60+rng.IntN(120), rng.IntN(8))
		case 5:
			submit(at, "class=sweep priority=idle tasks=%d cpus=8 gpus=1 mem=25 run=%d checkpoint=10 save=4 image=s%d image_gb=34 spot", 8+rng.IntN(60), 30+rng.IntN(60), rng.IntN(4))
		}
	}
	for i := 0; i < machines/3; i++ {
		add(1 + i%5)
	}
	for at := 10; at < until*3/4; at++ {
		for k := 0; k < machines/50; k++ {
			if rng.IntN(10) == 0 {
				add(at)
			}
		}
	}
	for _, line := range faults {
		text.WriteString(line + "\n")
	}
	return text.String()
}

// randomFleetFaults returns the lines of random faults that overlap and begin before a time in
// seconds.
func randomFleetFaults(rng *rand.Rand, until int) []string {
	const from = 30 // seconds; gives the first machines time to boot
	var lines []string
	controllers := func() string { return []string{"leader", "follower", "all", "leader"}[rng.IntN(4)] }
	zone := func() string { return "zone:" + []string{"east", "north", "west"}[rng.IntN(3)] }
	for range 7 {
		at, duration := from+rng.IntN(until-from), 5+rng.IntN(45)
		mode := []string{"hold", ""}[rng.IntN(2)]
		add := func(format string, args ...any) {
			lines = append(lines, fmt.Sprintf("at %d ", at)+fmt.Sprintf(format, args...))
		}
		switch rng.IntN(8) {
		case 0:
			add("crash %s for=%g", controllers(), []float64{0.2, 3, 10}[rng.IntN(3)])
		case 1, 2:
			isolated := zone()
			for _, other := range []string{"zone:east", "zone:north", "zone:west", "state", "cloud"} {
				if other != isolated {
					add("cut %s %s for=%d %s", isolated, other, duration, mode)
				}
			}
		case 3:
			add("cut zone:east zone:west for=%d %s", duration, mode)
		case 4:
			add("cut %s %s for=%d %s", []string{"leader", "follower"}[rng.IntN(2)], []string{"state", "workers", "nodes"}[rng.IntN(3)], duration, mode)
		case 5:
			add("cut follower state for=%d", duration)
			add("cut follower nodes for=%d", duration)
		case 6:
			add("copies for=%d delay=%d", duration, 1+rng.IntN(30))
		case 7:
			for range 4 {
				add("%s busy for=%d", []string{"kill", "hang", "take", "faulty"}[rng.IntN(4)], duration)
			}
		}
	}
	return lines
}

// massMachineFaults returns the lines of faults that each affect 10 to 50 % of the machines at once.
func massMachineFaults(rng *rand.Rand, from, to int) []string {
	var lines []string
	for range 3 {
		lines = append(lines, fmt.Sprintf("at %d %s some share=%.2f for=%d", from+rng.IntN(to-from),
			[]string{"kill", "hang", "take", "faulty", "deaf", "hang"}[rng.IntN(6)], 0.1+0.4*rng.Float64(), 5+rng.IntN(40)))
	}
	return lines
}

// fleetStartupScenario generates a scenario in which a large fleet starts up: hundreds of small
// services that are spread over zones cause all machines to be rented at once. Scale 1 allows about
// 1,000 machines.
func fleetStartupScenario(scale float64, until int, faults ...string) string {
	w := &fleetStartupWriter{scenarioWriter: scenarioWriter{rng: rand.New(rand.NewPCG(1, 11))}, scale: scale, until: until}
	w.writeSetup()
	w.writeStartup()
	w.writeSteadyLoad()
	for _, line := range faults {
		w.WriteString(line + "\n")
	}
	return w.String()
}

// fleetStartupWriter generates the text of a fleetStartupScenario.
type fleetStartupWriter struct {
	scenarioWriter
	scale float64
	until int // in seconds
}

// scaled multiplies a count by the scale of the scenario.
func (w *fleetStartupWriter) scaled(count float64) int { return int(count * w.scale) }

func (w *fleetStartupWriter) writeSetup() {
	w.printf("seed 1\nuntil %d\nworkers report=4 lease=22 cancel=42\n", w.until)
	for _, team := range []string{"t", "u"} {
		w.printf("team %s gpus=%d gpus_max=%d\n", team, w.scaled(1200), w.scaled(4000))
	}
	w.printf("type small cpus=16 mem=32 price=1 spot_price=0.3 boot=40 fetch=1 cap=%d spot=%d\n", w.scaled(145), w.scaled(56))
	w.printf("type big cpus=64 gpus=8 mem=512 price=25 spot_price=7 boot=30 fetch=2.3 cap=%d spot=%d\n", w.scaled(79), w.scaled(56))
	w.WriteString("wait gate within=1\nwait chat within=30\nwait wide within=100\n")
}

// writeStartup writes the submissions of the startup phase.
func (w *fleetStartupWriter) writeStartup() {
	for range w.scaled(650) {
		w.submitSmallService(w.startupTime())
	}
	for range w.scaled(60) {
		w.submit(w.startupTime(), "shape=service class=chat priority=critical tasks=%d cpus=22 gpus=4 mem=150 image=c%d image_gb=68 apart",
			1+w.rng.IntN(3), w.rng.IntN(6))
	}
	for range w.scaled(33) {
		w.submitSweep(w.startupTime())
	}
	for range w.scaled(10) {
		w.submit(w.startupTime(), "shape=gang class=wide priority=urgent tasks=2 cpus=57 gpus=8 mem=410 run=250 checkpoint=15 save=2 image=w%d image_gb=118 together types=big",
			w.rng.IntN(6))
	}
}

// writeSteadyLoad writes the submissions that follow the startup phase.
func (w *fleetStartupWriter) writeSteadyLoad() {
	for at := 5; at < w.until-10; at++ {
		if w.rng.Float64() < 0.68*w.scale {
			w.submitSmallService(float64(at))
		}
		if w.rng.Float64() < 0.25*w.scale {
			w.submitSweep(float64(at))
		}
	}
}

// startupTime returns a random time in the startup phase.
func (w *fleetStartupWriter) startupTime() float64 { return 1 + 3*w.rng.Float64() }

// submit writes the submission of a job and, with a probability of 1/8, its cancellation.
func (w *fleetStartupWriter) submit(at float64, format string, args ...any) {
	id := w.newJobID()
	w.event(at, "submit %s team=%s %s", id, w.pick("t", "u"), fmt.Sprintf(format, args...))
	if w.rng.IntN(8) == 0 {
		w.event(at+float64(w.until)*(0.2+0.8*w.rng.Float64()), "cancel %s", id)
	}
}

func (w *fleetStartupWriter) submitSmallService(at float64) {
	w.submit(at, "shape=service class=gate priority=critical tasks=%d cpus=1 mem=1.8 image=g%d image_gb=1.8 apart", []int{3, 4, 9}[w.rng.IntN(3)], w.rng.IntN(16))
}

func (w *fleetStartupWriter) submitSweep(at float64) {
	w.submit(at, "class=sweep tasks=%d cpus=5 gpus=1 mem=35 run=80 checkpoint=10 save=4 image=s%d image_gb=42 spot", 5+w.rng.IntN(20), w.rng.IntN(10))
}
