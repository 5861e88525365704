package core

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// fetchTypes fetches 1 GB a second.
var fetchTypes = map[string]*wire.MachineType{
	"g4": {Name: "g4", CPUs: 16, GPUs: 4, MemGB: 64, BootS: 30, FetchGBPS: 1, CacheGB: 200, Price: 4},
}

// fetching leads with two empty machines.
func fetching(t *testing.T) (l *leader, first, second *machine) {
	b, l := leading(t, func(s *config.Settings) {
		s.Deployment.Teams = []config.Team{{Name: "vision", GPUsMax: 100}}
		s.Deployment.Objectives = []config.Objective{{Kind: objectiveWait, Class: "chat", WithinS: 10, Share: 0.9}}
	})
	b.c.types = fetchTypes
	b.c.now = 1000 * time.Second
	return l, idleMachine(l, "n-1", "g4", "a"), idleMachine(l, "n-2", "g4", "a")
}

// startFetch places a replica whose image is not held.
func startFetch(l *leader, id, image string, gb float64, m *machine) *job {
	j := newJob(records.Open{Job: wire.Job{ID: id, Team: "vision", Class: "chat", Shape: wire.ShapeService, Priority: wire.PriorityCritical, Tasks: 1, GPUs: 1, MemGB: 1, Image: image, ImageGB: gb}}, 1)
	l.layOut(j)
	if m != nil {
		l.bindTasks(j, []int{0}, []*machine{m})
	}
	return j
}

// How machines fetch is learned from fetches that began behind others.
func TestFetchEvidence(t *testing.T) {
	for _, tc := range []struct {
		name  string
		took  time.Duration // of an image of 20 GB behind one of 20 GB
		queue bool
	}{
		{"as long as both", 40 * time.Second, true},
		{"as long as by itself", 20 * time.Second, false},
		{"a little longer than by itself", 28 * time.Second, false},
		{"a little shorter than both", 32 * time.Second, true},
	} {
		l, m, _ := fetching(t)
		startFetch(l, "job-1", "x", 20, m)
		startFetch(l, "job-2", "y", 20, m)
		l.c.now += 20 * time.Second
		l.noteFetched(m, "x")
		if l.fetches != (fetchEvidence{}) {
			t.Errorf("%s: a fetch that was not behind another is evidence %+v", tc.name, l.fetches)
		}
		l.c.now += tc.took - 20*time.Second
		l.noteFetched(m, "y")
		if got := l.fetches.queue(); got != tc.queue {
			t.Errorf("%s: fetches wait for each other: %v, want %v", tc.name, got, tc.queue)
		}
	}
}

// A fetch whose beginning is not known, since an earlier leader placed the task,
// is no evidence.
func TestFetchOfUnknownAge(t *testing.T) {
	l, m, _ := fetching(t)
	startFetch(l, "job-1", "x", 20, m)
	startFetch(l, "job-2", "y", 20, m)
	m.fetching = nil
	m.reviewFetches()
	l.c.now += time.Second
	l.noteFetched(m, "y")
	if l.fetches != (fetchEvidence{}) {
		t.Errorf("evidence %+v, want none", l.fetches)
	}
}

// A new leader goes by what the one before told, until it has seen fetches itself.
func TestFetchesAfterTakeover(t *testing.T) {
	for _, tc := range []struct {
		e    fetchEvidence
		want bool
	}{
		{fetchEvidence{}, false},
		{fetchEvidence{before: true}, true},
		{fetchEvidence{before: true, parallel: 1}, false},
		{fetchEvidence{before: true, parallel: 1, queued: 1}, false},
		{fetchEvidence{queued: 2, parallel: 1}, true},
	} {
		if got := tc.e.queue(); got != tc.want {
			t.Errorf("%+v: %v, want %v", tc.e, got, tc.want)
		}
	}
	b := newHarness(t, someTypes)
	b.c.cfg.Peers = []config.Peer{{Name: "n1", Zone: "b"}}
	b.c.peers["n1"] = &peerState{}
	for _, told := range []bool{true, false, true} {
		b.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Term: 6, Leader: true, FetchesQueue: told}}})
		b.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Term: 6, FetchesQueue: !told}}})
		if got := newLeader(b.c, election.Mandate{Term: 7, TermVersion: 1, Lease: 1}).fetches.queue(); got != told {
			t.Errorf("the new leader expects %v, the one before told %v", got, told)
		}
	}
}

// A leader tells the others how machines fetch images.
func TestFetchesAreTold(t *testing.T) {
	l, _, _ := fetching(t)
	l.c.lead = l
	l.c.cfg.Peers = []config.Peer{{Name: "n1", Zone: "b"}}
	l.c.peers["n1"] = &peerState{}
	for _, queued := range []int{0, 1} {
		l.fetches.queued = queued
		l.c.out = Output{}
		l.c.sendDigest()
		if sent := l.c.out.Sends; len(sent) == 0 || sent[0].Msg.Digest.FetchesQueue != (queued > 0) {
			t.Errorf("with evidence %+v the digest is %+v", l.fetches, sent)
		}
	}
}

// Replicas of different images were packed onto one machine, which fetched them one
// after the other.
func TestFetchesAreSpread(t *testing.T) {
	for _, tc := range []struct {
		name    string
		queue   bool
		image   string
		stopped bool // the task that is being fetched for
		want    string
	}{
		{"to a machine that fetches nothing", true, "y", false, "n-2"},
		{"to the one that fetches the image already", true, "x", false, "n-1"},
		{"to the tightest, where fetches do not wait", false, "y", false, "n-1"},
		{"to the tightest, where nobody waits for a fetch any more", true, "y", true, "n-1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, m, _ := fetching(t)
			before := startFetch(l, "job-1", "x", 20, m)
			if tc.stopped {
				before.tasks[0].stop = &stop{}
			}
			if tc.queue {
				l.fetches.queued = 1
			}
			j := startFetch(l, "job-2", tc.image, 20, nil)
			c := &candidate{job: j, pending: j.unplacedTasks(), preemptionRank: j.rank}
			l.newPlacementPass().placeCandidate(c)
			if got := j.tasks[0].machine; got == nil || got.name != tc.want {
				t.Errorf("placed on %v, want %s", got, tc.want)
			}
		})
	}
}

// A machine that fails what it starts is the last choice, however many images the
// others fetch.
func TestFailingMachineComesLast(t *testing.T) {
	l, m, failing := fetching(t)
	l.fetches.queued = 1
	for _, image := range []string{"a", "b", "c", "d", "e", "f"} {
		m.beginFetch(image, 20, l.c.now)
	}
	l.faults.Failed("job-7", failing.name)
	j := startFetch(l, "job-2", "y", 20, nil)
	wait := l.c.slowFetch(j.Class)
	if a, b := l.machineRank(j, m, wait), l.machineRank(j, failing, wait); a >= b {
		t.Errorf("rank %d of a machine that fetches, %d of one that fails", a, b)
	}
}
