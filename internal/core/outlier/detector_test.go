package outlier

import (
	"fmt"
	"testing"
)

// recordEvents records failures (job@machine) and successes (job+machine).
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

// TestFaultyJobsAndMachines checks which jobs and machines are found to cause failures.
func TestFaultyJobsAndMachines(t *testing.T) {
	for _, test := range []struct {
		name     string
		events   []string
		jobs     []string // expected faulty jobs
		machines []string // expected faulty machines
	}{
		{"one failure", []string{"a@1"}, nil, nil},
		{"one job fails on every machine", []string{"a@1", "a@2", "a@3", "a@4"}, []string{"a"}, nil},
		{"one job fails on only two machines", []string{"a@1", "a@2"}, nil, nil},
		{"two jobs fail on one machine and succeed elsewhere", []string{"a@1", "b@1", "a+2", "b+3"}, nil, []string{"1"}},
		{"all jobs fail on the only machine tried", []string{"a@1", "b@1"}, nil, []string{"1"}},
		{
			"two faulty jobs on the same machines",
			[]string{"a@1", "b@1", "a@2", "b@2", "a@3", "b@3"},
			[]string{"a", "b"},
			nil,
		},
		{
			"a faulty job and a faulty machine",
			[]string{"a@1", "a@2", "a@3", "a@4", "b@1", "c@1", "b+5", "c+6"},
			[]string{"a"},
			[]string{"1"},
		},
		{
			"three faulty machines, four jobs",
			[]string{"a@1", "b@1", "c@1", "d@1", "a@2", "b@2", "c@2", "d@2", "a@3", "b@3", "c@3", "d@3"},
			nil,
			[]string{"1", "2", "3"},
		},
		{"a job succeeds after three failures", []string{"a@1", "a@2", "a@3", "a+4"}, nil, nil},
		{"a task succeeds on a machine after three failures", []string{"a@1", "b@1", "c@1", "d+1"}, nil, nil},
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
				t.Errorf("faulty jobs and machines: got %v and %v, want %v and %v", jobs, machines, test.jobs, test.machines)
			}
		})
	}
}

// TestForgetJob checks that all evidence about a job that has ended is removed.
func TestForgetJob(t *testing.T) {
	detector := New()
	recordEvents(detector, "a@1", "a@2", "a@3", "b@1")
	detector.ForgetJob("a")
	if detector.JobFaulty("a") || detector.FailedOn("a", "1") || detector.HasFailures("2") || !detector.HasFailures("1") {
		t.Errorf("after job a was forgotten: got %+v, want only the failure of job b on machine 1", detector)
	}
}

// TestForgetMachine checks that failures on a machine that has terminated still count against the
// job.
func TestForgetMachine(t *testing.T) {
	detector := New()
	recordEvents(detector, "a@1", "a@2", "a@3")
	detector.ForgetMachine("1")
	if detector.HasFailures("1") || !detector.JobFaulty("a") || detector.FailedMachineCount("a") != 3 {
		t.Errorf("after machine 1 was forgotten: got %+v, want job a faulty on 3 machines, no failures on machine 1", detector)
	}
}
