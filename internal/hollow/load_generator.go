package hollow

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/wire"
)

// loadGenerator submits the jobs of an experiment and cancels some of them.
type loadGenerator struct {
	experiment *Experiment
	live       *sim.Live
	rng        *rand.Rand
	lastJob    int // number of the next job
}

func newLoadGenerator(experiment *Experiment, live *sim.Live) *loadGenerator {
	return &loadGenerator{experiment: experiment, live: live, rng: rand.New(rand.NewPCG(experiment.Seed, 2))}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// schedule plans the load of all classes.
func (l *loadGenerator) schedule() {
	for i := range l.experiment.Jobs {
		class := &l.experiment.Jobs[i]
		l.submitInitial(class)
		if class.TasksPerSecond > 0 {
			sizes := 0
			l.live.After(seconds(class.FromS), func() { l.submitNext(class, &sizes) })
		}
	}
}

// submitInitial submits a class's first tasks, spread evenly over their time.
func (l *loadGenerator) submitInitial(class *JobClass) {
	at, index := 0, 0
	for at < class.InitialTasks {
		tasks := min(class.Tasks[index%len(class.Tasks)], class.InitialTasks-at)
		if class.Shape == "gang" {
			tasks = class.Tasks[index%len(class.Tasks)]
		}
		when := seconds(class.InitialS * float64(at) / float64(class.InitialTasks))
		l.live.After(when, func() { l.submit(class, tasks) })
		at, index = at+tasks, index+1
	}
}

// submitNext submits a class's next job, and the one behind it after the time that
// the job's tasks take of the class's rate.
func (l *loadGenerator) submitNext(class *JobClass, sizes *int) {
	tasks := class.Tasks[*sizes%len(class.Tasks)]
	*sizes++
	l.submit(class, tasks)
	mean := float64(tasks) / class.TasksPerSecond
	l.live.After(seconds(mean*(0.5+l.rng.Float64())), func() { l.submitNext(class, sizes) })
}

// Bounds of a job's run time and of the time after which it is cancelled, as parts
// of the mean run time.
const (
	minRunFactor   = 0.5
	runFactorRange = 1.0
)

// submit submits a job of a class, and plans its cancellation if it is one of those
// that are cancelled.
func (l *loadGenerator) submit(class *JobClass, tasks int) {
	l.lastJob++
	run := class.RunS * (minRunFactor + runFactorRange*l.rng.Float64())
	job := sim.LiveJob{RunS: run, Job: wire.Job{
		ID: fmt.Sprintf("job-%06d", l.lastJob), Class: class.Class, Team: teamName(l.rng.IntN(l.experiment.Teams.Count)),
		Shape: jobShapes[class.Shape], Priority: wire.Priority(class.Priority), Tasks: tasks,
		CPUs: class.CPUs, GPUs: class.GPUs, MemGB: class.MemoryGB,
		Image: fmt.Sprintf("%s-%d", class.Class, l.rng.IntN(class.Images)), ImageGB: class.ImageGB,
		OneZone: class.OneZone, SpreadZones: class.Spread, AllowSpot: class.Spot,
		CheckpointIntervalS: class.CheckpointS, CheckpointDurationS: class.SaveS,
	}}
	if job.Shape != wire.ShapeService {
		job.EstimatedRunS = class.RunS
	}
	l.live.Submit(job)
	if l.rng.Float64() < class.CancelledShare {
		l.live.After(seconds(class.RunS*l.rng.Float64())+time.Second, func() { l.live.Cancel(job.ID) })
	}
}

// teamName names a team by its number.
func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }
