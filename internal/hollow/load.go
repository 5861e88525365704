package hollow

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/wire"
)

// load submits the jobs of an experiment and cancels some of them.
type load struct {
	e    *Experiment
	live *sim.Live
	rng  *rand.Rand
	next int // number of the next job
}

func newLoad(e *Experiment, live *sim.Live) *load {
	return &load{e: e, live: live, rng: rand.New(rand.NewPCG(e.Seed, 2))}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// begin plans the load of all classes.
func (l *load) begin() {
	for i := range l.e.Jobs {
		class := &l.e.Jobs[i]
		l.submitInitial(class)
		if class.PerSecond > 0 {
			sizes := 0
			l.live.After(seconds(class.FromS), func() { l.submitNext(class, &sizes) })
		}
	}
}

// submitInitial submits a class's first tasks, spread evenly over their time.
func (l *load) submitInitial(class *JobClass) {
	at, k := 0, 0
	for at < class.Initial {
		n := min(class.Tasks[k%len(class.Tasks)], class.Initial-at)
		if class.Shape == "gang" {
			n = class.Tasks[k%len(class.Tasks)]
		}
		when := seconds(class.InitialS * float64(at) / float64(class.Initial))
		l.live.After(when, func() { l.submit(class, n) })
		at, k = at+n, k+1
	}
}

// submitNext submits a class's next job, and the one behind it after the time that
// the job's tasks take of the class's rate.
func (l *load) submitNext(class *JobClass, sizes *int) {
	n := class.Tasks[*sizes%len(class.Tasks)]
	*sizes++
	l.submit(class, n)
	mean := float64(n) / class.PerSecond
	l.live.After(seconds(mean*(0.5+l.rng.Float64())), func() { l.submitNext(class, sizes) })
}

// Bounds of a job's run time and of the time after which it is cancelled, as parts
// of the mean run time.
const (
	leastRun   = 0.5
	rangeOfRun = 1.0
)

// submit submits a job of a class, and plans its cancellation if it is one of those
// that are cancelled.
func (l *load) submit(class *JobClass, tasks int) {
	l.next++
	run := class.RunS * (leastRun + rangeOfRun*l.rng.Float64())
	j := sim.LiveJob{RunS: run, Job: wire.Job{
		ID: fmt.Sprintf("job-%06d", l.next), Class: class.Class, Team: teamName(l.rng.IntN(l.e.Teams.Count)),
		Shape: shapes[class.Shape], Priority: wire.Priority(class.Priority), Tasks: tasks,
		CPUs: class.CPUs, GPUs: class.GPUs, MemGB: class.MemoryGB,
		Image: fmt.Sprintf("%s-%d", class.Class, l.rng.IntN(class.Images)), ImageGB: class.ImageGB,
		OneZone: class.OneZone, Spread: class.Spread, Spot: class.Spot,
		CheckpointS: class.CheckpointS, SaveS: class.SaveS,
	}}
	if j.Shape != wire.ShapeService {
		j.EstimateS = class.RunS
	}
	l.live.Submit(j)
	if l.rng.Float64() < class.Cancelled {
		l.live.After(seconds(class.RunS*l.rng.Float64())+time.Second, func() { l.live.Cancel(j.ID) })
	}
}

// teamName names a team by its number.
func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }
