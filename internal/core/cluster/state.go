package cluster

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// State holds all jobs and machines that a leader knows, both indexed and in iteration order. The
// zero value is not ready for use.
type State struct {
	Jobs             map[string]*Job // by ID; only jobs whose end is not recorded
	JobsBySubmission []*Job
	Machines         map[string]*Machine // by name
	// MachinesByName is copied on every change, so that a loop over it may remove machines.
	MachinesByName []*Machine
}

// NewState creates a state without jobs and machines.
func NewState() State {
	return State{Jobs: map[string]*Job{}, Machines: map[string]*Machine{}}
}

// AddJob adds a job. It is ordered after the jobs that were submitted before it or with it.
func (s *State) AddJob(job *Job) {
	s.Jobs[job.ID] = job
	at := sort.Search(len(s.JobsBySubmission), func(i int) bool {
		return s.JobsBySubmission[i].SubmissionOrder > job.SubmissionOrder
	})
	s.JobsBySubmission = slices.Insert(s.JobsBySubmission, at, job)
}

// DropJob removes a job. A loop over JobsBySubmission that is in progress still visits all the jobs
// that were listed when it began.
func (s *State) DropJob(job *Job) {
	delete(s.Jobs, job.ID)
	first := sort.Search(len(s.JobsBySubmission), func(i int) bool {
		return s.JobsBySubmission[i].SubmissionOrder >= job.SubmissionOrder
	})
	for at := first; at < len(s.JobsBySubmission) && s.JobsBySubmission[at].SubmissionOrder == job.SubmissionOrder; at++ {
		if s.JobsBySubmission[at] == job {
			s.JobsBySubmission = append(s.JobsBySubmission[:at:at], s.JobsBySubmission[at+1:]...)
			return
		}
	}
}

// GetOrAddMachine returns the machine of a name, and adds it as first seen now if it is unknown.
func (s *State) GetOrAddMachine(name string, now time.Duration) *Machine {
	if m := s.Machines[name]; m != nil {
		return m
	}
	m := NewMachine(name, now)
	s.Machines[name] = m
	at, _ := slices.BinarySearchFunc(s.MachinesByName, name, func(m *Machine, name string) int {
		return strings.Compare(m.Name, name)
	})
	s.MachinesByName = slices.Insert(slices.Clone(s.MachinesByName), at, m)
	return m
}

// DropMachine removes a machine. A loop over MachinesByName that is in progress still visits it.
func (s *State) DropMachine(m *Machine) {
	delete(s.Machines, m.Name)
	m.ReservedFor = nil
	s.MachinesByName = slices.DeleteFunc(slices.Clone(s.MachinesByName), func(other *Machine) bool { return other == m })
}
