package cluster

import (
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// AddTask makes a task count on the machine.
func (m *Machine) AddTask(task TaskReference) {
	at, _ := slices.BinarySearchFunc(m.Placements, task.Name, func(r TaskReference, name string) int {
		return strings.Compare(r.Name, name)
	})
	placements := make([]TaskReference, 0, len(m.Placements)+1)
	placements = append(placements, m.Placements[:at]...)
	placements = append(placements, task)
	m.Placements = append(placements, m.Placements[at:]...)
	m.EvaluationStale = true
}

// RemoveTask makes a task no longer count on the machine.
func (m *Machine) RemoveTask(job *Job, index int) {
	placements := make([]TaskReference, 0, len(m.Placements))
	for _, r := range m.Placements {
		if r.Job != job || r.Index != index {
			placements = append(placements, r)
		}
	}
	m.Placements = placements
	m.EvaluationStale = true
}

// PlacementOf finds the task of a name that counts on the machine; nil if there is none.
func (m *Machine) PlacementOf(name string) *Task {
	for i := range m.Placements {
		if m.Placements[i].Name == name {
			return m.Placements[i].Task()
		}
	}
	return nil
}

// AdjustUsage adds a number of a job's tasks to what the machine's tasks use; a negative
// number subtracts them.
func (m *Machine) AdjustUsage(job *Job, tasks int) {
	size := TaskSize(&job.Job).Times(tasks)
	m.Used = m.Used.Add(size)
	m.UsedByLevel[job.Level] = m.UsedByLevel[job.Level].Add(size)
	if job.CheckpointIntervalS > 0 {
		m.CheckpointedByLevel[job.Level] = m.CheckpointedByLevel[job.Level].Add(size)
	}
}

// ClearUsage sets what the tasks use to exactly nothing, once the last one is removed: sums of
// fractions leave a remainder.
func (m *Machine) ClearUsage() {
	m.Used = topology.Resources{}
	m.UsedByLevel = [PriorityLevels]topology.Resources{}
	m.CheckpointedByLevel = [PriorityLevels]topology.Resources{}
}

// Refresh computes what the tasks that are being stopped use, and which images the machine pulls.
func (m *Machine) Refresh() {
	m.EvaluationStale = false
	m.StoppingUse = topology.Resources{}
	m.RefreshPulls()
	for _, r := range m.Placements {
		if r.Task().Stop != nil {
			m.StoppingUse = m.StoppingUse.Add(r.Size())
		}
	}
}

// RunsReplicasOnly reports whether the machine runs replicas of services and nothing else, none
// of which starts or is being stopped.
func (m *Machine) RunsReplicasOnly() bool {
	for _, r := range m.Placements {
		t := r.Task()
		if r.Job.Shape != wire.ShapeService || t.State != wire.TaskRunning || t.Stop != nil {
			return false
		}
	}
	return len(m.Placements) > 0
}
