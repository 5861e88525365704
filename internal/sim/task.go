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
	placed  bool // it counts as placed on the machine, see World.addPlacement

	commandedAt  time.Duration // when the start command was executed
	imageReadyAt time.Duration
	waitingSince time.Duration // since when it waits for the other tasks of its gang
	runningSince time.Duration
	baseProgress float64 // seconds of work that were done before this run

	checkpointed  bool          // it saved a checkpoint before it was stopped
	checkpointEnd time.Duration // when the checkpoint that is being saved is complete
	peerLostAt    time.Duration // when another task of its gang was lost; 0 if none was
}

// compareTasks compares tasks by name, then attempt.
func compareTasks(a, b *task) int {
	return cmp.Or(strings.Compare(a.name, b.name), cmp.Compare(a.attempt, b.attempt))
}

// splitTaskName splits a task's name into the job's ID and the task's index. Without a slash in
// the name it returns an empty ID and index 0.
func splitTaskName(name string) (jobID string, index int) {
	jobID, number, found := strings.Cut(name, "/")
	if !found {
		return "", 0
	}
	index, _ = strconv.Atoi(number) // controllers send only numbers
	return jobID, index
}

// beginRunning starts the task's run from the last checkpoint.
func (t *task) beginRunning(now time.Duration) {
	t.state, t.runningSince, t.baseProgress = wire.TaskRunning, now, t.job.savedProgress[t.progressKey()]
}

// progressAt returns how many seconds of work are done.
func (t *task) progressAt(now time.Duration) float64 {
	return t.baseProgress + max(0, (now-t.runningSince).Seconds())
}

// saveProgress saves a checkpoint outside the machine, unless one with more progress exists.
func (t *task) saveProgress(progress float64) {
	key := t.progressKey()
	t.job.savedProgress[key] = max(t.job.savedProgress[key], progress)
}

// progressKey returns the key of the task's checkpoint in savedProgress: the tasks of a gang
// share one.
func (t *task) progressKey() int {
	if t.job.Shape == wire.ShapeGang {
		return 0
	}
	return t.index
}

// startGang starts the tasks of a gang if all of them are waiting.
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
