package outlier

import (
	"fmt"
	"testing"
)

// recordEvents records failures, written as job@machine, and successes, as job+machine.
func recordEvents(detector *Detector, events ...string) {
	for _, event := range events {
		job, machine := event[:1], event[2:]
		if event[1] == '+' {
			detector.RecordSuccess(job, machine)
		} else {
			detector.RecordFailure(job, machine)
		}
	}
}

// TestFaultyJobsAndMachines checks which jobs and machines are found to be the cause of failures.
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
		{"a machine that fails jobs which succeed elsewhere", []string{"a@1", "b@1", "a+2", "b+3"}, nil, []string{"1"}},
		{"a machine that fails all there is", []string{"a@1", "b@1"}, nil, []string{"1"}},
		{
			"two jobs with a mistake meet on the same machines",
			[]string{"a@1", "b@1", "a@2", "b@2", "a@3", "b@3"},
			[]string{"a", "b"},
			nil,
		},
		{
			"jobs with a mistake beside a faulty machine",
			[]string{"a@1", "a@2", "a@3", "a@4", "b@1", "c@1", "b+5", "c+6"},
			[]string{"a"},
			[]string{"1"},
		},
		{
			"three faulty machines, many jobs",
			[]string{"a@1", "b@1", "c@1", "d@1", "a@2", "b@2", "c@2", "d@2", "a@3", "b@3", "c@3", "d@3"},
			nil,
			[]string{"1", "2", "3"},
		},
		{"a job that succeeds after all", []string{"a@1", "a@2", "a@3", "a+4"}, nil, nil},
		{"a machine on which a task succeeds", []string{"a@1", "b@1", "c@1", "d+1"}, nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			detector := New()
			recordEvents(detector, test.events...)
			var jobs, machines []string
			for _, job := range []string{"a", "b", "c", "d"} {
				if detector.JobFaulty(job) {
					jobs = append(jobs, job)
				}
			}
			for _, machine := range detector.MachinesWithFailures() {
				if detector.MachineFaulty(machine) {
					machines = append(machines, machine)
				}
			}
			if fmt.Sprint(jobs) != fmt.Sprint(test.jobs) || fmt.Sprint(machines) != fmt.Sprint(test.machines) {
				t.Errorf("faulty jobs %v and machines %v, want %v and %v", jobs, machines, test.jobs, test.machines)
			}
		})
	}
}

// TestForgetJob checks that no evidence about a job that has ended is left.
func TestForgetJob(t *testing.T) {
	detector := New()
	recordEvents(detector, "a@1", "a@2", "a@3", "b@1")
	detector.ForgetJob("a")
	if detector.JobFaulty("a") || detector.FailedOn("a", "1") || detector.HasFailures("2") || !detector.HasFailures("1") {
		t.Errorf("after the end of a: %+v", detector)
	}
}

// TestForgetMachine checks that failures on a machine that has terminated still count against the job.
func TestForgetMachine(t *testing.T) {
	detector := New()
	recordEvents(detector, "a@1", "a@2", "a@3")
	detector.ForgetMachine("1")
	if detector.HasFailures("1") || !detector.JobFaulty("a") || detector.FailedMachineCount("a") != 3 {
		t.Errorf("after the end of machine 1: %+v", detector)
	}
}
