// Package outlier detects whether task failures are caused by faulty jobs or by faulty machines
// (outlier detection). Tasks of a misconfigured job fail on every machine; on a faulty machine,
// tasks of every job fail. Each failure is evidence against both, so the detector compares the two:
// a job is the more likely cause of a failure if it failed on more machines than jobs failed on the
// machine in question, and a machine is the more likely cause if several jobs failed on it that
// succeed elsewhere.
//
// Package core reports failures and successes to the detector and decides how to react. The package
// performs no I/O and reads no clock. Its state is not stored: a new leader starts without evidence.
package outlier

import (
	"maps"
	"slices"
)

// minFailedMachines is the minimum number of machines on which a faulty job has failed.
const minFailedMachines = 3

// minFailedJobs is the minimum number of jobs that have failed on a faulty machine.
const minFailedJobs = 2

// Detector holds the failures that were not followed by a success, by job ID and by machine name.
type Detector struct {
	machinesByJob map[string]nameSet // machines on which a job failed since its last success
	jobsByMachine map[string]nameSet // jobs that failed on a machine since the last success there
}

// nameSet is a set of job IDs or machine names.
type nameSet map[string]struct{}

// New creates a detector without evidence.
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
// longer than a task that fails at its start. The job's failures elsewhere remain evidence against
// those machines, and failures of other jobs on this machine remain evidence against those jobs.
func (d *Detector) RecordSuccess(job, machine string) {
	delete(d.machinesByJob, job)
	delete(d.jobsByMachine, machine)
}

// ForgetJob removes the evidence about a job that has ended.
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

// ForgetMachine removes the evidence against a machine that has terminated. Failures on that machine
// remain evidence against the jobs.
func (d *Detector) ForgetMachine(machine string) { delete(d.jobsByMachine, machine) }

// FailedOn reports whether a job failed on a machine since the job's last success.
func (d *Detector) FailedOn(job, machine string) bool {
	_, failed := d.machinesByJob[job][machine]
	return failed
}

// FailedMachineCount returns the number of machines on which a job failed since its last success.
func (d *Detector) FailedMachineCount(job string) int { return len(d.machinesByJob[job]) }

// HasFailures reports whether any task failed on a machine since the last success there.
func (d *Detector) HasFailures(machine string) bool { return len(d.jobsByMachine[machine]) > 0 }

// JobFaulty reports whether a job is the more likely cause of its failures: among the machines on
// which it failed, on at least minFailedMachines of them the number of failed jobs is lower than the
// number of machines on which this job failed.
func (d *Detector) JobFaulty(job string) bool {
	machines := d.machinesByJob[job]
	if len(machines) < minFailedMachines {
		return false
	}
	healthyMachines := 0
	for machine := range machines { // map order has no effect on the count
		if len(d.jobsByMachine[machine]) < len(machines) {
			healthyMachines++
		}
	}
	return healthyMachines >= minFailedMachines
}

// MachineFaulty reports whether a machine is the more likely cause of the failures on it: at least
// minFailedJobs jobs failed there that are not faulty themselves. Such a job may turn out to be
// faulty when it also fails on other machines, so the result may change back to false.
func (d *Detector) MachineFaulty(machine string) bool {
	jobs := 0
	for job := range d.jobsByMachine[machine] { // map order has no effect on the count
		if !d.JobFaulty(job) {
			jobs++
		}
	}
	return jobs >= minFailedJobs
}

// MachinesWithFailures lists, in order of name, the machines on which any task failed since the
// last success there.
func (d *Detector) MachinesWithFailures() []string {
	return slices.Sorted(maps.Keys(d.jobsByMachine))
}
