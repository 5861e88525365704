package core

import "github.com/brookwalk/brookwalk/wire"

// A worker's report and the answer to it may have 64 KiB, so a machine can hold only so
// many tasks, however small: one whose reports were larger was not heard any more, lost
// its lease with all its tasks, and was filled again.
const (
	maxHeartbeatBytes = 64 << 10
	// taskRowBytes is about the most that a task takes in a report or in an answer.
	taskRowBytes = 90
	// maxTaskRows leaves a quarter for rows of tasks that have ended since the last
	// report and of those about to be forgotten.
	maxTaskRows = maxHeartbeatBytes * 3 / 4 / taskRowBytes
)

// taskRowsLeft is how many more tasks a machine can report.
func (m *machine) taskRowsLeft() int { return maxTaskRows - len(m.placements) - m.reportedEnded }

// countExited counts the tasks of a report that have ended and are still listed.
func countExited(tasks []wire.TaskStatus) int {
	n := 0
	for i := range tasks {
		if tasks[i].State == wire.TaskExited {
			n++
		}
	}
	return n
}
