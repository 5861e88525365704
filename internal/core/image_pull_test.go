package core

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// pullTypes is a machine type that pulls 1 GB per second.
var pullTypes = map[string]*wire.MachineType{
	"g4": {Name: "g4", CPUs: 16, GPUs: 4, MemGB: 64, BootS: 30, PullGBPerS: 1, CacheGB: 200, Price: 4},
}

// newPullingLeader returns a leader and its only machine, which is empty.
func newPullingLeader(t *testing.T) (leader *leader, first *cluster.Machine) {
	t.Helper()
	harness, leader := newLeadingHarness(t, func(s *config.Settings) {
		s.Deployment.Teams = []config.Team{{Name: "vision", GPUsMax: 100}}
		s.Deployment.Objectives = []config.Objective{{Kind: objectiveWait, Class: "chat", WithinS: 10, Share: 0.9}}
	})
	harness.core.machineTypes = pullTypes
	harness.core.now = 1000 * time.Second
	return leader, idleMachine(leader, "n-1", "g4")
}

// startPull adds a service with one replica and places it on a machine, which then pulls its image
// of 20 GB.
func startPull(leader *leader, id, image string, machine *cluster.Machine) {
	job := cluster.NewJob(records.Open{Job: wire.Job{ID: id, Team: "vision", Class: "chat", Shape: wire.ShapeService, Priority: wire.PriorityCritical, Tasks: 1, GPUs: 1, MemGB: 1, Image: image, ImageGB: 20}}, 1)
	leader.writer.InitPlacementRecords(job)
	leader.bindTasks(job, []int{0}, []*cluster.Machine{machine})
}

// TestPullEvidence checks that the leader infers whether machines pull images sequentially from the
// durations of pulls that began while others were in progress.
func TestPullEvidence(t *testing.T) {
	for _, tc := range []struct {
		name       string
		took       time.Duration // for the pull of 20 GB that began during another one of 20 GB
		sequential bool
	}{
		{"as long as both", 40 * time.Second, true},
		{"as long as alone", 20 * time.Second, false},
		{"a little longer than alone", 28 * time.Second, false},
		{"a little shorter than both", 32 * time.Second, true},
	} {
		leader, machine := newPullingLeader(t)
		startPull(leader, "job-1", "x", machine)
		startPull(leader, "job-2", "y", machine)
		leader.core.now += 20 * time.Second
		leader.recordPulled(machine, "x")
		if leader.pullEvidence != (pullEvidence{}) {
			t.Errorf("%s: evidence from a pull that began alone: got %+v, want none", tc.name, leader.pullEvidence)
		}
		leader.core.now += tc.took - 20*time.Second
		leader.recordPulled(machine, "y")
		if got := leader.pullEvidence.isSequential(); got != tc.sequential {
			t.Errorf("%s: sequential: got %v, want %v", tc.name, got, tc.sequential)
		}
	}
}

// TestPullOfUnknownAge checks that a pull is no evidence if its start is not known because an
// earlier leader placed the task.
func TestPullOfUnknownAge(t *testing.T) {
	leader, machine := newPullingLeader(t)
	startPull(leader, "job-1", "x", machine)
	startPull(leader, "job-2", "y", machine)
	machine.Pulls = nil
	machine.RefreshPulls()
	leader.core.now += time.Second
	leader.recordPulled(machine, "y")
	if leader.pullEvidence != (pullEvidence{}) {
		t.Errorf("evidence: got %+v, want none", leader.pullEvidence)
	}
}

// TestPullEvidenceAfterFailover checks that a new leader uses the finding of the previous one until
// it has evidence of its own.
func TestPullEvidenceAfterFailover(t *testing.T) {
	for _, tc := range []struct {
		evidence pullEvidence
		want     bool
	}{
		{pullEvidence{}, false},
		{pullEvidence{inherited: true}, true},
		{pullEvidence{inherited: true, parallel: 1}, false},
		{pullEvidence{inherited: true, parallel: 1, sequential: 1}, false},
		{pullEvidence{sequential: 2, parallel: 1}, true},
	} {
		if got := tc.evidence.isSequential(); got != tc.want {
			t.Errorf("evidence %+v: sequential: got %v, want %v", tc.evidence, got, tc.want)
		}
	}
	harness := newHarness(t, testMachineTypes)
	setPeers(harness.core, config.Peer{Name: "n1", Zone: "b"})
	for _, sequential := range []bool{true, false, true} {
		harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Term: 6, Leader: true, FetchesQueue: sequential}}})
		harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Term: 6, FetchesQueue: !sequential}}})
		if got := newLeader(harness.core, testLeadership(7)).pullEvidence.isSequential(); got != sequential {
			t.Errorf("sequential for the new leader: got %v, want %v as for the previous one", got, sequential)
		}
	}
}

// TestDigestReportsPullOrder checks that a leader's digest reports whether pulls are sequential.
func TestDigestReportsPullOrder(t *testing.T) {
	leader, _ := newPullingLeader(t)
	leader.core.leader = leader
	setPeers(leader.core, config.Peer{Name: "n1", Zone: "b"})
	for _, sequential := range []int{0, 1} {
		leader.pullEvidence.sequential = sequential
		leader.core.out = Output{}
		leader.core.sendDigests()
		if sent := leader.core.out.PeerSends; len(sent) == 0 || sent[0].Message.Digest.FetchesQueue != (sequential > 0) {
			t.Errorf("evidence %+v: sent %+v, want a digest with FetchesQueue true only if pulls are sequential", leader.pullEvidence, sent)
		}
	}
}
