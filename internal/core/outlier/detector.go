// Package outlier tells faulty jobs from faulty machines. A job that was submitted with a
// mistake fails on every machine; a faulty machine fails every job. Each failure speaks
// against both, so the judgement weighs the two sides: a job that failed on more machines
// than jobs failed there is the likelier cause, and so is a machine that failed several
// jobs which do well elsewhere.
//
// The package does no I/O and keeps no time. Its judgements are not recorded: a new
// leader begins without evidence.
package outlier

import "sort"

// MinFailedMachines is on how many machines a job has to fail before it may pass for faulty.
const MinFailedMachines = 3

// minFailedJobs is how many jobs have to fail on a machine before it may pass for faulty.
const minFailedJobs = 2

// Detector is what is known of failures that nothing has refuted.
type Detector struct {
	machinesOf map[string]map[string]bool // by job: where it failed since it last did well
	jobsOf     map[string]map[string]bool // by machine: what failed there since a task last did well
}

// New makes evidence of nothing.
func New() *Detector {
	return &Detector{machinesOf: map[string]map[string]bool{}, jobsOf: map[string]map[string]bool{}}
}

// RecordFailure notes that a task of a job failed on a machine.
func (e *Detector) RecordFailure(job, machine string) {
	addMember(e.machinesOf, job, machine)
	addMember(e.jobsOf, machine, job)
}

// addMember adds a member to the set of a key.
func addMember(sets map[string]map[string]bool, key, member string) {
	if sets[key] == nil {
		sets[key] = map[string]bool{}
	}
	sets[key][member] = true
}

// RecordSuccess notes that a task of a job did well on a machine: it is done, or has run for
// longer than a start that fails. The job's failures elsewhere still speak against the
// machines, those of other jobs on this machine still against the jobs.
func (e *Detector) RecordSuccess(job, machine string) {
	delete(e.machinesOf, job)
	delete(e.jobsOf, machine)
}

// ForgetJob drops what is known of a job that is over.
func (e *Detector) ForgetJob(job string) {
	for machine := range e.machinesOf[job] {
		e.removeJob(machine, job)
	}
	delete(e.machinesOf, job)
}

// removeJob takes a job out of what failed on a machine.
func (e *Detector) removeJob(machine, job string) {
	delete(e.jobsOf[machine], job)
	if len(e.jobsOf[machine]) == 0 {
		delete(e.jobsOf, machine)
	}
}

// ForgetMachine drops what speaks against a machine that is gone. Its failures go on to
// speak against the jobs.
func (e *Detector) ForgetMachine(machine string) { delete(e.jobsOf, machine) }

// FailedOn tells whether a job failed on a machine since it last did well.
func (e *Detector) FailedOn(job, machine string) bool { return e.machinesOf[job][machine] }

// FailedMachineCount is on how many machines a job failed since it last did well.
func (e *Detector) FailedMachineCount(job string) int { return len(e.machinesOf[job]) }

// HasFailures tells whether anything failed on a machine since a task last did well there.
func (e *Detector) HasFailures(machine string) bool { return len(e.jobsOf[machine]) > 0 }

// JobFaulty tells whether a job is the likelier cause of its failures: it failed on
// several machines, on several of which fewer jobs failed than it failed on machines.
func (e *Detector) JobFaulty(job string) bool {
	machines := e.machinesOf[job]
	if len(machines) < MinFailedMachines {
		return false
	}
	soundMachines := 0
	for machine := range machines { // in any order: they are counted
		if len(e.jobsOf[machine]) < len(machines) {
			soundMachines++
		}
	}
	return soundMachines >= MinFailedMachines
}

// MachineFaulty tells whether a machine is the likelier cause of the failures on it:
// several jobs failed there that are not faulty themselves. Whether they are may show only
// as they are tried elsewhere, so the judgement may be taken back.
func (e *Detector) MachineFaulty(machine string) bool {
	jobs := 0
	for job := range e.jobsOf[machine] { // in any order: they are counted
		if !e.JobFaulty(job) {
			jobs++
		}
	}
	return jobs >= minFailedJobs
}

// MachinesWithFailures lists the machines on which anything failed since a task last did
// well there, in order.
func (e *Detector) MachinesWithFailures() []string {
	machines := make([]string, 0, len(e.jobsOf))
	for machine := range e.jobsOf {
		machines = append(machines, machine)
	}
	sort.Strings(machines)
	return machines
}
