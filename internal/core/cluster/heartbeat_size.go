package cluster

import "github.com/brookwalk/brookwalk/wire"

// A heartbeat and its response are limited to 64 KiB, which limits the number of tasks per machine,
// however small the tasks are. Without a limit on tasks, a machine's heartbeats grew too large to be
// received: its lease expired, all its tasks were lost, and the machine was filled with tasks again.
const (
	// MaxHeartbeatBytes is the maximum size of a heartbeat's body.
	MaxHeartbeatBytes = 64 << 10
	// TaskRowBytes is the approximate maximum size of a task's row in a heartbeat or its response.
	TaskRowBytes = 90
	// MaxTaskRows is the maximum number of tasks of a machine. It reserves a quarter of the
	// heartbeat for tasks that exited since the last heartbeat and for exited tasks that the
	// worker is about to be told to forget.
	MaxTaskRows = MaxHeartbeatBytes * 3 / 4 / TaskRowBytes
	// MaxExitedRows is the number of exited tasks from which a worker is told to forget them even if
	// that makes it refuse an open direct call. It is half of the rows reserved for exited tasks.
	MaxExitedRows = MaxHeartbeatBytes / 8 / TaskRowBytes
)

// TaskRowsLeft returns how many more tasks fit into the machine's heartbeats.
func (m *Machine) TaskRowsLeft() int { return MaxTaskRows - len(m.Placements) - m.ReportedExited }

// CountExited counts the exited tasks that a heartbeat still lists.
func CountExited(tasks []wire.TaskStatus) int {
	n := 0
	for i := range tasks {
		if tasks[i].State == wire.TaskExited {
			n++
		}
	}
	return n
}
