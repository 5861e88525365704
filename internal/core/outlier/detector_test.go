package outlier

import (
	"fmt"
	"testing"
)

// recordEvents enters failures, written as job@machine, and tasks that did well, as job+machine.
func recordEvents(e *Detector, events ...string) {
	for _, event := range events {
		job, machine := event[:1], event[2:]
		if event[1] == '+' {
			e.RecordSuccess(job, machine)
		} else {
			e.RecordFailure(job, machine)
		}
	}
}

// TestFaultyJobsAndMachines names, for the failures of a moment, who passes for the cause.
func TestFaultyJobsAndMachines(t *testing.T) {
	for _, test := range []struct {
		name     string
		events   []string
		jobs     []string // faulty ones
		machines []string // faulty ones
	}{
		{"one failure", []string{"a@1"}, nil, nil},
		{"a job on every machine", []string{"a@1", "a@2", "a@3", "a@4"}, []string{"a"}, nil},
		{"not before three machines", []string{"a@1", "a@2"}, nil, nil},
		{"a machine that fails jobs which do well elsewhere", []string{"a@1", "b@1", "a+2", "b+3"}, nil, []string{"1"}},
		{"a machine that fails all there is", []string{"a@1", "b@1"}, nil, []string{"1"}},
		{"two jobs with a mistake meet on the same machines",
			[]string{"a@1", "b@1", "a@2", "b@2", "a@3", "b@3"}, []string{"a", "b"}, nil},
		{"jobs with a mistake beside a faulty machine",
			[]string{"a@1", "a@2", "a@3", "a@4", "b@1", "c@1", "b+5", "c+6"}, []string{"a"}, []string{"1"}},
		{"three faulty machines, many jobs",
			[]string{"a@1", "b@1", "c@1", "d@1", "a@2", "b@2", "c@2", "d@2", "a@3", "b@3", "c@3", "d@3"}, nil, []string{"1", "2", "3"}},
		{"a job that does well after all", []string{"a@1", "a@2", "a@3", "a+4"}, nil, nil},
		{"a machine on which a task does well", []string{"a@1", "b@1", "c@1", "d+1"}, nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := New()
			recordEvents(e, test.events...)
			var jobs, machines []string
			for _, job := range []string{"a", "b", "c", "d"} {
				if e.JobFaulty(job) {
					jobs = append(jobs, job)
				}
			}
			for _, machine := range e.MachinesWithFailures() {
				if e.MachineFaulty(machine) {
					machines = append(machines, machine)
				}
			}
			if fmt.Sprint(jobs) != fmt.Sprint(test.jobs) || fmt.Sprint(machines) != fmt.Sprint(test.machines) {
				t.Errorf("faulty jobs %v and machines %v, want %v and %v", jobs, machines, test.jobs, test.machines)
			}
		})
	}
}

// TestForgetJob leaves nothing of a job that is over.
func TestForgetJob(t *testing.T) {
	e := New()
	recordEvents(e, "a@1", "a@2", "a@3", "b@1")
	e.ForgetJob("a")
	if e.JobFaulty("a") || e.FailedOn("a", "1") || e.HasFailures("2") || !e.HasFailures("1") {
		t.Errorf("after the end of a: %+v", e)
	}
}

// TestForgetMachine keeps what a machine that is gone says of the job.
func TestForgetMachine(t *testing.T) {
	e := New()
	recordEvents(e, "a@1", "a@2", "a@3")
	e.ForgetMachine("1")
	if e.HasFailures("1") || !e.JobFaulty("a") || e.FailedMachineCount("a") != 3 {
		t.Errorf("after the end of machine 1: %+v", e)
	}
}
