package cluster

import "github.com/brookwalk/brookwalk/wire"

// A heartbeat and the answer to it may have 64 KiB, so a machine can hold only so many tasks,
// however small. A machine whose heartbeats were larger was no longer heard: its lease expired, all
// its tasks were lost, and it was filled again.
const (
	// MaxHeartbeatBytes is the largest body of a heartbeat.
	MaxHeartbeatBytes = 64 << 10
	// TaskRowBytes is about the most that a task takes in a heartbeat or in an answer.
	TaskRowBytes = 90
	// MaxTaskRows leaves a quarter for tasks that have exited since the last heartbeat and
	// for those about to be forgotten.
	MaxTaskRows = MaxHeartbeatBytes * 3 / 4 / TaskRowBytes
)

// TaskRowsLeft is how many more tasks fit into the machine's heartbeats.
func (m *Machine) TaskRowsLeft() int { return MaxTaskRows - len(m.Placements) - m.ReportedEnded }

// CountExited counts the tasks of a heartbeat that have exited and are still listed.
func CountExited(tasks []wire.TaskStatus) int {
	n := 0
	for i := range tasks {
		if tasks[i].State == wire.TaskExited {
			n++
		}
	}
	return n
}
