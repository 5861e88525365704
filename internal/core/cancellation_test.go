package core

import (
	"strconv"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// TestPeerTerminationRequiresCurrentTerm checks that a follower acknowledges a cancellation, when a
// leader reports that the job's tasks have terminated, only if that leader's term is still current:
// a later leader may have started tasks that the earlier one does not know.
func TestPeerTerminationRequiresCurrentTerm(t *testing.T) {
	for _, tc := range []struct {
		name       string
		superseded bool
		status     int
	}{
		{"the latest leader", false, 200},
		{"a superseded leader", true, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			harness := newHarness(t, testMachineTypes)
			setPeers(harness.core, config.Peer{Name: "n1", Zone: "b"})
			harness.write(election.KeyTerm, "", []byte("5"))
			termVersion := harness.store[election.KeyTerm].Version
			harness.write(election.KeyLeader, "", []byte(`{"name":"n1","term":5}`))
			harness.run(0)
			if a := harness.request("POST", "/submissions", submissionBody()); a.Status != 201 {
				t.Fatalf("submission: got %d %s, want 201", a.Status, a.Body)
			}
			id := "job-000412"
			receiveLeaderDigest := func() {
				harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Term: 5, Leader: true, HearsLeader: true, StoreOK: true}}})
			}
			receiveLeaderDigest()
			harness.lastRequestID++
			harness.step(Request{ID: harness.lastRequestID, Method: "POST", Path: "/submissions/" + id + "/cancel"})
			if a, ok := harness.answers[harness.lastRequestID]; ok {
				t.Fatalf("cancellation before the leader reported on the tasks: got answer %d %s, want none", a.Status, a.Body)
			}
			if tc.superseded {
				harness.write(election.KeyTerm, "", []byte("6"))
			}
			harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Ends: &wire.Ends{Gone: []string{id}, TermVersion: termVersion}}})
			a := harness.answers[harness.lastRequestID]
			if a.Status != tc.status {
				t.Errorf("cancellation: got %d %s, want %d", a.Status, a.Body, tc.status)
			}
			if a.Status == 503 && a.RetryAfterS == 0 {
				t.Error("answer 503 without Retry-After")
			}
			acknowledged := strings.Contains(string(harness.store[records.OpenKey(id)].Value), `"ca":`+strconv.FormatInt(harness.core.wallClockMS, 10))
			if acknowledged != (tc.status == 200) {
				t.Errorf("cancellation recorded as acknowledged: got %v, want it only for the latest leader", acknowledged)
			}
		})
	}
}
