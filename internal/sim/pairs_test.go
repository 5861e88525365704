package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// pairSetup is a place in which two teams have a guarantee and one has none.
const pairSetup = `
team t gpus=8 gpus_max=24
team u gpus=8 gpus_max=16
team g
type small cpus=8 gpus=0 mem=32 price=1 spot_price=0.3 boot=10 fetch=1 cap=4 spot=3
type big cpus=32 gpus=8 mem=256 price=10 spot_price=3 boot=15 fetch=4 cap=2 spot=2
wait web within=2
`

// When the two troubles of a day of pairs begin, in seconds, and when it ends.
const (
	firstTrouble  = 40
	secondTrouble = 50 // of the second at the least, up to pairSpread later
	pairSpread    = 50
	pairsEnd      = 480
)

// pairDay is a day that is being written.
type pairDay struct {
	strings.Builder
	r       *rand.Rand
	nextJob int
}

// act writes a line of something that happens.
func (d *pairDay) act(at float64, format string, args ...any) {
	fmt.Fprintf(d, "at %.2f %s\n", at, fmt.Sprintf(format, args...))
}

// job is the name of a further job.
func (d *pairDay) job() string {
	d.nextJob++
	return fmt.Sprintf("job-%06d", d.nextJob)
}

// pick chooses one of some words.
func (d *pairDay) pick(of ...string) string { return of[d.r.IntN(len(of))] }

// between is a number from a span.
func (d *pairDay) between(least, most int) int { return least + d.r.IntN(most-least+1) }

// pairTrouble writes a trouble that begins at a time.
type pairTrouble struct {
	name  string
	write func(d *pairDay, at float64)
}

// pairTroubles are the troubles that operators met, each with those that the days of
// meetings hold as well.
var pairTroubles = []pairTrouble{
	{"machines of a type late", func(d *pairDay, at float64) {
		d.act(at, "lateboot type=%s factor=%d for=%d", d.pick("small", "big"), d.between(2, 5), d.between(40, 120))
	}},
	{"machines of a zone never up", func(d *pairDay, at float64) {
		d.act(at, "noboot zone=%s share=%g for=%d", d.pick("east", "north", "west"), []float64{0.6, 1}[d.r.IntN(2)], d.between(30, 90))
	}},
	{"machines never up", func(d *pairDay, at float64) {
		d.act(at, "noboot share=%g for=%d", []float64{0.3, 0.7, 1}[d.r.IntN(3)], d.between(20, 60))
	}},
	{"poll storm", func(d *pairDay, at float64) {
		d.act(at, "poll_storm factor=%d for=%d", d.between(8, 20), d.between(60, 120))
	}},
	{"leader silent", func(d *pairDay, at float64) {
		d.act(at, "pause leader for=%d", d.between(60, 120))
	}},
	{"controllers silent in turn", func(d *pairDay, at float64) {
		first := d.between(20, 70)
		d.act(at, "pause %s for=%d", d.pick("leader", "follower"), first)
		d.act(at+float64(first)*(0.8+0.4*d.r.Float64()), "pause %s for=%d", d.pick("leader", "follower"), d.between(20, 70))
	}},
	{"workers lost alone", func(d *pairDay, at float64) {
		d.act(at, "cut %s workers for=%d %s", d.pick("leader", "follower"), d.between(20, 60), d.pick("", "hold"))
	}},
	{"state service lost alone", func(d *pairDay, at float64) {
		d.act(at, "cut %s state for=%d %s", d.pick("leader", "follower"), d.between(20, 60), d.pick("", "hold"))
	}},
	{"controllers lost alone", func(d *pairDay, at float64) {
		d.act(at, "cut %s nodes for=%d %s", d.pick("leader", "follower"), d.between(20, 60), d.pick("", "hold"))
	}},
	{"refused alone", func(d *pairDay, at float64) {
		d.act(at, "refuse %s for=%d", d.pick("leader", "follower"), d.between(20, 60))
		d.act(at+2, "cancel_now count=%d", d.between(1, 4))
	}},
	{"guest's huge array", func(d *pairDay, at float64) {
		d.act(at, "submit %s team=g priority=idle tasks=%d cpus=0.5 mem=0.2 run=2 image=g", d.job(), d.between(600, 1500))
	}},
	{"guest's idle-time arrays", func(d *pairDay, at float64) {
		for range 3 {
			d.act(at, "submit %s team=g priority=idle tasks=%d cpus=2 run=%d checkpoint=10 save=3 image=g spot", d.job(), d.between(10, 30), d.between(20, 50))
		}
	}},
	{"guest's swarm", func(d *pairDay, at float64) {
		for range 80 {
			at += 0.25
			d.act(at, "submit %s team=g priority=idle tasks=1 cpus=0.5 run=%d image=h", d.job(), d.between(1, 8))
		}
	}},
	{"jobs with a mistake", func(d *pairDay, at float64) {
		for _, shape := range []string{"array tasks=1", "gang tasks=3 together", "array tasks=12", "service tasks=3"} {
			job := d.job()
			d.act(at, "submit %s shape=%s team=%s priority=%s cpus=2 image=f fail", job, shape, d.pick("t", "g"), d.pick("critical", "urgent", "idle"))
			d.act(at+float64(d.between(30, 160)), "cancel %s", job)
		}
	}},
	{"a machine that fails everything", func(d *pairDay, at float64) {
		d.act(at, "faulty busy")
		d.act(at+1, "submit %s team=t tasks=8 cpus=2 run=10", d.job())
	}},
	{"state service down for longer than a cancellation may take", func(d *pairDay, at float64) {
		d.act(at-1, "cancel_now count=%d", d.between(1, 4))
		d.act(at, "outage state for=%d", d.between(31, 45))
		d.act(at+5, "cancel_now count=%d", d.between(1, 4))
	}},
	{"a zone's machines end", func(d *pairDay, at float64) {
		d.act(at, "kill zone:%s share=1", d.pick("east", "north", "west"))
	}},
	{"leader ends", func(d *pairDay, at float64) {
		for range d.between(1, 3) {
			d.act(at, "crash leader for=%g", []float64{0.3, 3, 12}[d.r.IntN(3)])
			at += 5 + 10*d.r.Float64()
		}
	}},
	{"all controllers end", func(d *pairDay, at float64) {
		d.act(at, "crash all for=%g", []float64{0.3, 3, 12}[d.r.IntN(3)])
	}},
	{"cancellations at the end of jobs", func(d *pairDay, at float64) {
		d.act(at, "cancel_at_end share=%g for=%d", []float64{0.3, 1}[d.r.IntN(2)], d.between(30, 90))
	}},
}

// pairOf numbers the pairs of troubles: each with itself and every later one, over and over.
func pairOf(number uint64) (first, second pairTrouble) {
	n := number % uint64(len(pairTroubles)*(len(pairTroubles)+1)/2)
	for i := range pairTroubles {
		row := uint64(len(pairTroubles) - i)
		if n < row {
			return pairTroubles[i], pairTroubles[i+int(n)]
		}
		n -= row
	}
	panic("no such pair")
}

// pairs writes a day on which two troubles meet: the second begins a while after the first.
func pairs(seed uint64) (name, text string) {
	first, second := pairOf(seed)
	d := &pairDay{r: rand.New(rand.NewPCG(seed, 17))}
	fmt.Fprintf(d, "seed %d\ncontrollers %d\n%suntil %d\n", seed, []int{3, 5}[d.r.IntN(2)], pairSetup, pairsEnd)
	d.writeUsualWork()
	if d.r.IntN(2) == 0 {
		first, second = second, first
	}
	first.write(d, firstTrouble+10*d.r.Float64())
	second.write(d, secondTrouble+pairSpread*d.r.Float64())
	return first.name + ", " + second.name, d.String()
}

// writeUsualWork submits jobs of all shapes, of which users call off a few.
func (d *pairDay) writeUsualWork() {
	for range 24 {
		at, job := 150*d.r.Float64(), d.job()
		image := fmt.Sprintf("image=i%d image_gb=%d", d.r.IntN(4), []int{0, 2, 8}[d.r.IntN(3)])
		team := d.pick("t", "u")
		switch d.r.IntN(5) {
		case 0:
			d.act(at, "submit %s shape=service class=web team=%s priority=critical tasks=%d cpus=1 %s apart", job, team, d.between(1, 5), image)
		case 1:
			d.act(at, "submit %s team=%s priority=idle tasks=%d cpus=4 gpus=1 mem=16 run=%d checkpoint=5 save=3 %s spot", job, team, d.between(1, 12), d.between(10, 50), image)
		case 2:
			d.act(at, "submit %s shape=gang team=%s priority=urgent tasks=%d cpus=6 gpus=2 mem=16 run=%d checkpoint=5 save=2 %s together", job, team, d.between(1, 3), d.between(10, 60), image)
		case 3:
			d.act(at, "submit %s team=%s tasks=%d cpus=2 run=%d %s together", job, team, d.between(1, 6), d.between(5, 60), image)
		case 4:
			d.act(at, "submit %s shape=gang team=%s tasks=%d cpus=3 run=%d %s apart", job, team, d.between(2, 5), d.between(10, 60), image)
		}
		if d.r.IntN(6) == 0 {
			d.act(at+float64(d.between(5, 60)), "cancel %s", job)
		}
	}
}

// TestPairs plays days on which two of the troubles that operators met meet: a sample of
// the pairs, or as many days as BROOKWALK_SOAK says, each pair with other numbers.
func TestPairs(t *testing.T) {
	days := uint64(soakDays(42))
	step := max(1, uint64(len(pairTroubles)*(len(pairTroubles)+1)/2)/days)
	for day := range days {
		name, text := pairs(day * step)
		t.Run(fmt.Sprint(day*step, " ", name), func(t *testing.T) {
			t.Parallel()
			playDay(t, text)
		})
	}
}
