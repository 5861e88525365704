package sim

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// task is an attempt of a task on a machine.
type task struct {
	name    string
	job     *groundTruth
	index   int
	attempt uint64
	state   wire.TaskState
	cause   wire.ExitCause
	placed  bool // it counts as being on the machine, see World.addPlacement

	commandedAt  time.Duration // when the command to start it was carried out
	imageReadyAt time.Duration
	waitingSince time.Duration // for the other tasks of its gang
	runningSince time.Duration
	baseProgress float64 // progress in seconds at the start of this run

	checkpointed  bool          // it saved a checkpoint before it was stopped
	checkpointEnd time.Duration // when the checkpoint that it saves is complete
	peerLostAt    time.Duration // when another task of its gang was lost; 0 for not
}

// compareTasks orders tasks by name and attempt.
func compareTasks(a, b *task) int {
	return cmp.Or(strings.Compare(a.name, b.name), cmp.Compare(a.attempt, b.attempt))
}

// splitTaskName returns the job's ID and the index of a task; index 0 if the name holds none.
func splitTaskName(name string) (jobID string, index int) {
	jobID, number, found := strings.Cut(name, "/")
	if !found {
		return "", 0
	}
	index, _ = strconv.Atoi(number) // controllers send only numbers
	return jobID, index
}

// beginRunning starts the task's run, from the last checkpoint.
func (t *task) beginRunning(now time.Duration) {
	t.state, t.runningSince, t.baseProgress = wire.TaskRunning, now, t.job.savedProgress[t.progressKey()]
}

// progressAt is how many seconds of work are done.
func (t *task) progressAt(now time.Duration) float64 {
	return t.baseProgress + max(0, (now-t.runningSince).Seconds())
}

// saveProgress saves a checkpoint outside the machine, unless a later one is saved.
func (t *task) saveProgress(progress float64) {
	key := t.progressKey()
	t.job.savedProgress[key] = max(t.job.savedProgress[key], progress)
}

// progressKey is where checkpoints of the task are kept: a gang's tasks share one.
func (t *task) progressKey() int {
	if t.job.Shape == wire.ShapeGang {
		return 0
	}
	return t.index
}

// startGang starts the tasks of a gang once all of them wait.
func (w *World) startGang(t *task) {
	var waiting []placement
	for _, p := range w.sortedPlacements(t.job) {
		if p.task.attempt == t.attempt && p.task.state == wire.TaskWaiting {
			waiting = append(waiting, p)
		}
	}
	if len(waiting) < t.job.Tasks {
		return
	}
	for _, p := range waiting {
		p.task.beginRunning(w.now)
		w.observeStart(p.machine, p.task)
	}
}
