package scalein

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

const (
	now       = 1000 * time.Second
	lease     = 10 * time.Second
	heartbeat = 1500 * time.Millisecond
	listLag   = 10 * time.Second
	maxIdle   = 30 * time.Second
)

// fakeHost gives the same answers for every machine.
type fakeHost struct {
	bootTimeRatio float64
	mayBeHealthy  bool
	planned       bool
}

func (h fakeHost) BootTimeRatio(*cluster.Machine) float64 { return h.bootTimeRatio }
func (h fakeHost) MayBeHealthy(*cluster.Machine) bool     { return h.mayBeHealthy }
func (h fakeHost) Planned(*cluster.Machine) bool          { return h.planned }

func newPolicy(host Host) *Policy {
	return &Policy{
		Host:              host,
		Now:               now,
		WorkerLease:       lease,
		HeartbeatInterval: heartbeat,
		ListLag:           listLag,
		MaxIdleTime:       maxIdle,
	}
}

// idleMachine returns a machine that has been idle for exactly the maximum idle time.
func idleMachine() *cluster.Machine {
	machine := cluster.NewMachine("n-1", now-MinBilledTime)
	machine.LastHeartbeat = now - heartbeat
	machine.IdleSince = now - maxIdle
	return machine
}

// bootingMachine returns a machine without a heartbeat.
func bootingMachine() *cluster.Machine { return cluster.NewMachine("n-1", now-200*time.Second) }

func addTask(machine *cluster.Machine) {
	job := &cluster.Job{TaskStates: make([]cluster.Task, 1)}
	machine.AddTask(cluster.NewTaskReference(job, 0))
}

func TestReturnReason(t *testing.T) {
	for _, tc := range []struct {
		name     string
		machine  *cluster.Machine
		host     fakeHost
		loadedAt time.Duration
		change   func(m *cluster.Machine)
		want     cluster.DrainReason
	}{
		{
			name:    "idle",
			machine: idleMachine(),
			want:    cluster.DrainIdle,
		},
		{
			name:    "idle, used by the plan",
			machine: idleMachine(),
			host:    fakeHost{planned: true},
		},
		{
			name:     "idle, new leader",
			machine:  idleMachine(),
			loadedAt: now - maxIdle + 1,
		},
		{
			name:    "not idle for long enough",
			machine: idleMachine(),
			change:  func(m *cluster.Machine) { m.IdleSince++ },
		},
		{
			name:    "idle, within the minimum billed time",
			machine: idleMachine(),
			change:  func(m *cluster.Machine) { m.CreatedAt++ },
		},
		{
			name:    "with a task",
			machine: idleMachine(),
			change:  addTask,
		},
		{
			name:    "with a task and a preemption notice",
			machine: idleMachine(),
			change:  func(m *cluster.Machine) { m.PreemptionAt = now + lease; addTask(m) },
		},
		{
			name:    "empty, with a preemption notice",
			machine: idleMachine(),
			host:    fakeHost{planned: true},
			change:  func(m *cluster.Machine) { m.PreemptionAt = now + lease },
			want:    cluster.DrainPreemptionNotice,
		},
		{
			name:    "drained and empty",
			machine: idleMachine(),
			host:    fakeHost{planned: true},
			change:  func(m *cluster.Machine) { m.DrainReason = cluster.DrainOutlier },
			want:    cluster.DrainOutlier,
		},
		{
			name:    "drained, empty and may be healthy",
			machine: idleMachine(),
			host:    fakeHost{mayBeHealthy: true},
			change:  func(m *cluster.Machine) { m.DrainReason = cluster.DrainOutlier },
		},
		{
			name:    "drained and not empty",
			machine: idleMachine(),
			change:  func(m *cluster.Machine) { m.DrainReason = cluster.DrainOutlier; addTask(m) },
		},
		{
			name:    "boot failed",
			machine: bootingMachine(),
			host:    fakeHost{bootTimeRatio: failedBootFactor + 0.1},
			want:    cluster.DrainBootTimeout,
		},
		{
			name:    "boots for as long as allowed",
			machine: bootingMachine(),
			host:    fakeHost{bootTimeRatio: failedBootFactor},
		},
		{
			name:     "boot too long, new leader",
			machine:  bootingMachine(),
			host:     fakeHost{bootTimeRatio: 9},
			loadedAt: now - lease,
		},
		{
			name:    "boot too long, has a placement",
			machine: bootingMachine(),
			host:    fakeHost{bootTimeRatio: 9},
			change:  addTask,
		},
		{
			name:    "boot too long, has answered a probe",
			machine: bootingMachine(),
			host:    fakeHost{bootTimeRatio: 9},
			change:  func(m *cluster.Machine) { m.LastContact = now - lease },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.change != nil {
				tc.change(tc.machine)
			}
			policy := newPolicy(tc.host)
			policy.RecordsLoadedAt = tc.loadedAt
			if got := policy.ReturnReason(tc.machine); got != tc.want {
				t.Errorf("return reason: got %q, want %q", got, tc.want)
			}
		})
	}
}

func TestUnlistedTooLong(t *testing.T) {
	// The latest times that are long enough ago for the machine to be returned.
	const (
		lastListed    = now - unlistedListLagFactor*listLag - 1
		lastHeartbeat = now - unlistedHeartbeatFactor*heartbeat - 1
	)
	for _, tc := range []struct {
		name     string
		loadedAt time.Duration
		change   func(m *cluster.Machine)
		want     bool
	}{
		{"neither listed nor heartbeat for long enough", 0, func(*cluster.Machine) {}, true},
		{"listed recently", 0, func(m *cluster.Machine) { m.ListedAt++ }, false},
		{"heartbeat received recently", 0, func(m *cluster.Machine) { m.LastHeartbeat++ }, false},
		{"being returned", 0, func(m *cluster.Machine) { m.Returning = true }, false},
		{"never listed", 0, func(m *cluster.Machine) { m.ListedAt = 0 }, false},
		{"known from records alone", lastListed, func(m *cluster.Machine) { m.ListedAt, m.LastHeartbeat = 0, 0; addTask(m) }, true},
		{"known from records alone, new leader", lastListed + 1, func(m *cluster.Machine) { m.ListedAt, m.LastHeartbeat = 0, 0; addTask(m) }, false},
		{"never listed, heartbeat received earlier", lastListed, func(m *cluster.Machine) { m.ListedAt = 0; addTask(m) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machine := cluster.NewMachine("n-1", 0)
			machine.ListedAt, machine.LastHeartbeat = lastListed, lastHeartbeat
			tc.change(machine)
			policy := newPolicy(fakeHost{})
			policy.RecordsLoadedAt = tc.loadedAt
			if got := policy.UnlistedTooLong(machine); got != tc.want {
				t.Errorf("unlisted too long: got %v, want %v", got, tc.want)
			}
		})
	}
}
