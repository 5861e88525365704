package core

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// leaderWithExpensiveMachines leads for a guest and a team with a guarantee of GPUs, where work
// without GPUs costs 0.1 an hour on a small machine, 0.6 on one with GPUs.
func leaderWithExpensiveMachines(t *testing.T) *leader {
	_, l := bestEffortLeader(t)
	l.core.machineTypes = map[string]*wire.MachineType{
		"small": {Name: "small", CPUs: 10, MemGB: 100, BootS: 30, PullGBPerS: 1, CacheGB: 200, Price: 1, SpotPrice: 0.3, Zones: []string{"a"}},
		"g4":    {Name: "g4", CPUs: 20, GPUs: 4, MemGB: 200, BootS: 30, PullGBPerS: 1, CacheGB: 200, Price: 12, SpotPrice: 3, Zones: []string{"a"}},
	}
	return l
}

func TestCheapTypes(t *testing.T) {
	for _, tc := range []struct {
		name  string
		gpus  float64
		types []string
		want  []string
	}{
		{"one type six times as dear as the other", 0, nil, []string{"small"}},
		{"the only type that holds it", 1, nil, []string{"g4"}},
		{"the only allowed type", 0, []string{"g4"}, []string{"g4"}},
		{"no type holds it", 9, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := leaderWithExpensiveMachines(t)
			j := addArray(l, "job-1", "guest", "scan", 1, tc.gpus)
			j.MachineTypes = tc.types
			if got := l.cheapTypes(&j.Job); !slices.Equal(got, tc.want) {
				t.Errorf("cheap types %v, want %v", got, tc.want)
			}
		})
	}
}

// Guests' work that waits has no dear machine rented, that of others has.
func TestBestEffortTeamsGetNoExpensiveMachine(t *testing.T) {
	for _, team := range []string{"guest", "vision"} {
		l := leaderWithExpensiveMachines(t)
		refuseZone(l, "a")
		for _, spot := range []bool{false, true} {
			delete(l.fleet.refusedUntil, offer("g4", "a", spot))
		}
		addArray(l, "job-1", team, "scan", 4, 0)
		l.planScaleOut(l.candidates(), l.refreshUsage())
		if rents := len(l.fleet.scaleOuts); (rents > 0) != (team == "vision") {
			t.Errorf("%d rental requests for team %s", rents, team)
		}
	}
}

// A dear machine is emptied once nothing but guests' work has run on it for as long as a
// machine may be idle, unless work is expected that needs it.
func TestExpensiveMachineIsDrainedOfBestEffortWork(t *testing.T) {
	for _, tc := range []struct {
		name  string
		typ   string
		alone time.Duration // since the last other task, in leases
		setUp func(l *leader, m *cluster.Machine)
		want  bool
	}{
		{"a dear machine", "g4", 4, nil, true},
		{"a cheap one", "small", 4, nil, false},
		{"not long enough", "g4", 2, nil, false},
		{"needed by work to come", "g4", 4, func(l *leader, m *cluster.Machine) { l.fleet.keptIdle[m.Name] = true }, false},
		{"another team's task on it", "g4", 4, func(l *leader, m *cluster.Machine) {
			l.bindTasks(addArray(l, "job-9", "vision", "sweep", 1, 0), []int{0}, []*cluster.Machine{m})
		}, false},
		{"work beside it that fits nowhere else", "g4", 4, func(l *leader, m *cluster.Machine) {
			l.bindTasks(addArray(l, "job-9", "guest", "scan", 1, 1), []int{0}, []*cluster.Machine{m})
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := leaderWithExpensiveMachines(t)
			m := idleMachine(l, "n-1", tc.typ, "a")
			m.CreatedAt -= minBilledTime
			owner := addArray(l, "job-1", "vision", "sweep", 1, 0)
			guest := addArray(l, "job-2", "guest", "scan", 3, 0)
			l.bindTasks(owner, []int{0}, []*cluster.Machine{m})
			l.bindTasks(guest, []int{0, 1, 2}, []*cluster.Machine{m, m, m})
			for i := range guest.TaskStates {
				guest.TaskStates[i].Persisted, guest.TaskStates[i].StartRetransmitted = true, true
			}
			l.unplace(owner, 0)
			l.core.now += tc.alone * l.core.workerLease()
			m.LastHeartbeat = l.core.now
			if tc.setUp != nil {
				tc.setUp(l, m)
			}
			l.releaseFromBestEffort(m)
			l.evictTasks(m)
			if stopped := guest.TaskStates[0].Stop != nil; m.Evicting != tc.want || stopped != tc.want {
				t.Errorf("emptied: %v, tasks stopped: %v, want %v", m.Evicting, stopped, tc.want)
			}
			if tc.want && guest.TaskStates[0].Stop != nil && guest.TaskStates[0].Stop.GracePeriodS != guest.CheckpointDurationS {
				t.Errorf("%v s to save", guest.TaskStates[0].Stop.GracePeriodS)
			}
		})
	}
}
