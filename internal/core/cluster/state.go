package cluster

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// State is all jobs and machines that a leader knows, in the orders in which they are
// iterated over. The zero value is not ready for use.
type State struct {
	Jobs             map[string]*Job // by ID; their ends are not recorded
	JobsBySubmission []*Job
	Machines         map[string]*Machine // by name
	// MachinesByName is replaced and never changed in place, so that a loop over it may
	// drop machines.
	MachinesByName []*Machine
}

// NewState makes a state without jobs and machines.
func NewState() State {
	return State{Jobs: map[string]*Job{}, Machines: map[string]*Machine{}}
}

// AddJob adds a job behind those that were submitted before it.
func (s *State) AddJob(job *Job) {
	s.Jobs[job.ID] = job
	at := sort.Search(len(s.JobsBySubmission), func(i int) bool {
		return s.JobsBySubmission[i].SubmissionOrder > job.SubmissionOrder
	})
	s.JobsBySubmission = slices.Insert(s.JobsBySubmission, at, job)
}

// DropJob forgets a job. A loop over JobsBySubmission continues over the jobs that it began with.
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

// MachineNamed finds a machine; one that is not known is added, as known from now on.
func (s *State) MachineNamed(name string, now time.Duration) *Machine {
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

// DropMachine forgets a machine.
func (s *State) DropMachine(m *Machine) {
	delete(s.Machines, m.Name)
	m.ReservedFor = nil
	s.MachinesByName = slices.DeleteFunc(slices.Clone(s.MachinesByName), func(other *Machine) bool { return other == m })
}
