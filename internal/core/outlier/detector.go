// Package outlier finds faulty jobs and faulty machines among those that fail (outlier
// detection). A job that was submitted with a mistake fails on every machine; a faulty machine
// fails every job. Each failure is evidence against both, so the detector weighs the two sides: a
// job that failed on more machines than jobs failed there is the likelier cause, and so is a
// machine that failed several jobs which succeed elsewhere.
//
// Package core reports failures and successes to it, and decides what follows. The package does
// no I/O and keeps no time. Its findings are not on record: a new leader begins without evidence.
package outlier

import (
	"maps"
	"slices"
)

// minFailedMachines is the number of machines on which a job has to fail before it may be found
// faulty.
const minFailedMachines = 3

// minFailedJobs is the number of jobs that have to fail on a machine before it may be found faulty.
const minFailedJobs = 2

// Detector holds the failures that no success has refuted, by the IDs of jobs and the names of
// machines.
type Detector struct {
	machinesByJob map[string]nameSet // where a job failed since its last success
	jobsByMachine map[string]nameSet // which jobs failed on a machine since the last success there
}

// nameSet is a set of names of jobs or machines.
type nameSet map[string]struct{}

// New makes a detector without evidence.
func New() *Detector {
	return &Detector{machinesByJob: map[string]nameSet{}, jobsByMachine: map[string]nameSet{}}
}

// RecordFailure records that a task of a job failed on a machine.
func (d *Detector) RecordFailure(job, machine string) {
	addName(d.machinesByJob, job, machine)
	addName(d.jobsByMachine, machine, job)
}

// addName adds a name to the set of a key.
func addName(sets map[string]nameSet, key, name string) {
	if sets[key] == nil {
		sets[key] = nameSet{}
	}
	sets[key][name] = struct{}{}
}

// RecordSuccess records that a task of a job succeeded on a machine: it is done, or has run for
// longer than a start that fails. The job's failures elsewhere remain evidence against those
// machines, and those of other jobs on this machine remain evidence against the jobs.
func (d *Detector) RecordSuccess(job, machine string) {
	delete(d.machinesByJob, job)
	delete(d.jobsByMachine, machine)
}

// ForgetJob drops the evidence about a job that has ended.
func (d *Detector) ForgetJob(job string) {
	for machine := range d.machinesByJob[job] {
		d.removeJob(machine, job)
	}
	delete(d.machinesByJob, job)
}

// removeJob removes a job from those that failed on a machine.
func (d *Detector) removeJob(machine, job string) {
	delete(d.jobsByMachine[machine], job)
	if len(d.jobsByMachine[machine]) == 0 {
		delete(d.jobsByMachine, machine)
	}
}

// ForgetMachine drops the evidence against a machine that has terminated. The failures there
// remain evidence against the jobs.
func (d *Detector) ForgetMachine(machine string) { delete(d.jobsByMachine, machine) }

// FailedOn reports whether a job failed on a machine since the job's last success.
func (d *Detector) FailedOn(job, machine string) bool {
	_, failed := d.machinesByJob[job][machine]
	return failed
}

// FailedMachineCount counts the machines on which a job failed since its last success.
func (d *Detector) FailedMachineCount(job string) int { return len(d.machinesByJob[job]) }

// HasFailures reports whether any task failed on a machine since the last success there.
func (d *Detector) HasFailures(machine string) bool { return len(d.jobsByMachine[machine]) > 0 }

// JobFaulty reports whether a job is the likelier cause of its failures: it failed on several
// machines, on several of which fewer jobs failed than it failed on machines.
func (d *Detector) JobFaulty(job string) bool {
	machines := d.machinesByJob[job]
	if len(machines) < minFailedMachines {
		return false
	}
	healthyMachines := 0
	for machine := range machines { // in any order: they are counted
		if len(d.jobsByMachine[machine]) < len(machines) {
			healthyMachines++
		}
	}
	return healthyMachines >= minFailedMachines
}

// MachineFaulty reports whether a machine is the likelier cause of the failures on it: several
// jobs failed there that are not faulty themselves. Whether they are may show only as they are
// tried elsewhere, so the finding may be withdrawn.
func (d *Detector) MachineFaulty(machine string) bool {
	jobs := 0
	for job := range d.jobsByMachine[machine] { // in any order: they are counted
		if !d.JobFaulty(job) {
			jobs++
		}
	}
	return jobs >= minFailedJobs
}

// MachinesWithFailures lists, by name, the machines on which any task failed since the last
// success there.
func (d *Detector) MachinesWithFailures() []string {
	return slices.Sorted(maps.Keys(d.jobsByMachine))
}
