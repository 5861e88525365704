package cluster

import (
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// AddTask adds a task to the machine's placements.
func (m *Machine) AddTask(task TaskReference) {
	at, _ := slices.BinarySearchFunc(m.Placements, task.Name, func(r TaskReference, name string) int {
		return strings.Compare(r.Name, name)
	})
	placements := make([]TaskReference, 0, len(m.Placements)+1)
	placements = append(placements, m.Placements[:at]...)
	placements = append(placements, task)
	m.Placements = append(placements, m.Placements[at:]...)
	m.NeedsRefresh = true
}

// RemoveTask removes a task from the machine's placements.
func (m *Machine) RemoveTask(job *Job, index int) {
	placements := make([]TaskReference, 0, len(m.Placements))
	for _, r := range m.Placements {
		if r.Job != job || r.Index != index {
			placements = append(placements, r)
		}
	}
	m.Placements = placements
	m.NeedsRefresh = true
}

// PlacementOf returns the task of the given name that occupies the machine; nil if there is none.
func (m *Machine) PlacementOf(name string) *Task {
	for i := range m.Placements {
		if m.Placements[i].Name == name {
			return m.Placements[i].Task()
		}
	}
	return nil
}

// AdjustUsage adds the resources of a number of a job's tasks to the machine's usage; a negative
// number subtracts them.
func (m *Machine) AdjustUsage(job *Job, tasks int) {
	size := TaskSize(&job.Job).Times(tasks)
	m.Used = m.Used.Add(size)
	m.UsedByLevel[job.Level] = m.UsedByLevel[job.Level].Add(size)
	if job.CheckpointIntervalS > 0 {
		m.CheckpointedByLevel[job.Level] = m.CheckpointedByLevel[job.Level].Add(size)
	}
}

// ClearUsage sets the machine's usage to exactly zero, once the last task is removed: adding and
// subtracting fractions leaves rounding errors.
func (m *Machine) ClearUsage() {
	m.Used = topology.Resources{}
	m.UsedByLevel = [PriorityLevels]topology.Resources{}
	m.CheckpointedByLevel = [PriorityLevels]topology.Resources{}
}

// Refresh recomputes the resources used by tasks that are being stopped and the machine's pulls.
func (m *Machine) Refresh() {
	m.NeedsRefresh = false
	m.StoppingUse = topology.Resources{}
	m.RefreshPulls()
	for _, r := range m.Placements {
		if r.Task().Stop != nil {
			m.StoppingUse = m.StoppingUse.Add(r.Size())
		}
	}
}

// RunsReplicasOnly reports whether the machine has tasks and all of them are service replicas in the
// running state that are not being stopped.
func (m *Machine) RunsReplicasOnly() bool {
	for _, r := range m.Placements {
		t := r.Task()
		if r.Job.Shape != wire.ShapeService || t.State != wire.TaskRunning || t.Stop != nil {
			return false
		}
	}
	return len(m.Placements) > 0
}
