package hollow

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/wire"
)

// loadGenerator submits the jobs of an experiment and cancels the share of them that the experiment
// sets.
type loadGenerator struct {
	experiment    *Experiment
	live          *sim.Live
	rng           *rand.Rand
	lastJobNumber int // number of the last submitted job
}

func newLoadGenerator(experiment *Experiment, live *sim.Live) *loadGenerator {
	return &loadGenerator{experiment: experiment, live: live, rng: rand.New(rand.NewPCG(experiment.Seed, 2))}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// schedule schedules the initial and the steady load of all classes.
func (l *loadGenerator) schedule() {
	for i := range l.experiment.Jobs {
		class := &l.experiment.Jobs[i]
		l.submitInitial(class)
		if class.TasksPerSecond > 0 {
			l.live.After(seconds(class.SteadyFromS), func() { l.submitNext(class, 0) })
		}
	}
}

// submitInitial schedules the submission of a class's initial tasks, spread evenly over InitialS.
// The last job is cut to the number of tasks left, unless it is a gang: gangs keep their size.
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

// jobSize returns the number of tasks of the class's job with index i. The sizes in Tasks repeat in
// turn.
func (c *JobClass) jobSize(i int) int { return c.Tasks[i%len(c.Tasks)] }

// The interval between two jobs of a class is uniformly distributed from 0.5 to 1.5 of its mean.
const (
	minIntervalFactor   = 0.5
	intervalFactorRange = 1.0
)

// submitNext submits the class's job with index i and schedules the next one so that the mean rate
// of submitted tasks is TasksPerSecond.
func (l *loadGenerator) submitNext(class *JobClass, i int) {
	tasks := class.jobSize(i)
	l.submit(class, tasks)
	mean := float64(tasks) / class.TasksPerSecond
	interval := mean * (minIntervalFactor + intervalFactorRange*l.rng.Float64())
	l.live.After(seconds(interval), func() { l.submitNext(class, i+1) })
}

// The run time of a job's tasks is uniformly distributed from 0.5 to 1.5 of the class's mean.
const (
	minRunFactor   = 0.5
	runFactorRange = 1.0
)

// submit submits a job of a class. For a random CancelledShare of the jobs it also schedules a
// cancellation at a random time from 1 s to RunS + 1 s later.
func (l *loadGenerator) submit(class *JobClass, tasks int) {
	l.lastJobNumber++
	runS := class.RunS * (minRunFactor + runFactorRange*l.rng.Float64())
	job := sim.LiveJob{RunS: runS, Job: wire.Job{
		ID: fmt.Sprintf("job-%06d", l.lastJobNumber), Class: class.Class, Team: teamName(l.rng.IntN(l.experiment.Teams.Count)),
		Shape: jobShapes[class.Shape], Priority: wire.Priority(class.Priority), Tasks: tasks,
		CPUs: class.CPUs, GPUs: class.GPUs, MemGB: class.MemoryGB,
		Image: fmt.Sprintf("%s-%d", class.Class, l.rng.IntN(class.Images)), ImageGB: class.ImageGB,
		OneZone: class.OneZone, SpreadZones: class.SpreadZones, AllowSpot: class.AllowSpot,
		CheckpointIntervalS: class.CheckpointIntervalS, CheckpointDurationS: class.CheckpointDurationS,
	}}
	if job.Shape != wire.ShapeService {
		job.EstimatedRunS = class.RunS
	}
	l.live.Submit(job)
	if l.rng.Float64() < class.CancelledShare {
		l.live.After(seconds(class.RunS*l.rng.Float64())+time.Second, func() { l.live.Cancel(job.ID) })
	}
}

// teamName returns the name of the team with index i.
func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }
