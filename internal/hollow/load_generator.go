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
	lastJob    int // number of the last job
}

func newLoadGenerator(experiment *Experiment, live *sim.Live) *loadGenerator {
	return &loadGenerator{experiment: experiment, live: live, rng: rand.New(rand.NewPCG(experiment.Seed, 2))}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// schedule schedules the load of all classes.
func (l *loadGenerator) schedule() {
	for i := range l.experiment.Jobs {
		class := &l.experiment.Jobs[i]
		l.submitInitial(class)
		if class.TasksPerSecond > 0 {
			l.live.After(seconds(class.FromS), func() { l.submitNext(class, 0) })
		}
	}
}

// submitInitial submits a class's initial tasks, spread evenly over their time. Only a gang may have
// more tasks than are left.
func (l *loadGenerator) submitInitial(class *JobClass) {
	submitted := 0
	for i := 0; submitted < class.InitialTasks; i++ {
		tasks := class.jobSize(i)
		if class.Shape != shapeGang {
			tasks = min(tasks, class.InitialTasks-submitted)
		}
		at := seconds(class.InitialS * float64(submitted) / float64(class.InitialTasks))
		l.live.After(at, func() { l.submit(class, tasks) })
		submitted += tasks
	}
}

// jobSize is how many tasks the job of a number has.
func (c *JobClass) jobSize(i int) int { return c.Tasks[i%len(c.Tasks)] }

// Bounds of the time between two jobs, as parts of its mean.
const (
	minIntervalFactor   = 0.5
	intervalFactorRange = 1.0
)

// submitNext submits the class's job of a number, and schedules the next one by the class's rate of
// tasks.
func (l *loadGenerator) submitNext(class *JobClass, i int) {
	tasks := class.jobSize(i)
	l.submit(class, tasks)
	mean := float64(tasks) / class.TasksPerSecond
	interval := mean * (minIntervalFactor + intervalFactorRange*l.rng.Float64())
	l.live.After(seconds(interval), func() { l.submitNext(class, i+1) })
}

// Bounds of a job's run time, as parts of its mean.
const (
	minRunFactor   = 0.5
	runFactorRange = 1.0
)

// submit submits a job of a class, and schedules the cancellation of the share of jobs that are
// cancelled.
func (l *loadGenerator) submit(class *JobClass, tasks int) {
	l.lastJob++
	runS := class.RunS * (minRunFactor + runFactorRange*l.rng.Float64())
	job := sim.LiveJob{RunS: runS, Job: wire.Job{
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
