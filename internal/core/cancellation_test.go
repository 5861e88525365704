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

// TestGoneIsConfirmed lets a leader say that no task of a cancelled job is left. The cancellation
// is acknowledged only while the term is still that leader's: a later one may have started tasks
// that the first knows nothing of.
func TestGoneIsConfirmed(t *testing.T) {
	for _, tc := range []struct {
		name       string
		superseded bool
		status     int
	}{
		{"the latest leader", false, 200},
		{"a superseded leader", true, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newHarness(t, testMachineTypes)
			setPeers(b.core, config.Peer{Name: "n1", Zone: "b"})
			b.write(election.KeyTerm, "", []byte("5"))
			termVersion := b.store[election.KeyTerm].Version
			b.write(election.KeyLeader, "", []byte(`{"name":"n1","term":5}`))
			b.run(0)
			if a := b.request("POST", "/submissions", body()); a.Status != 201 {
				t.Fatalf("submission: %d %s", a.Status, a.Body)
			}
			id := "job-000412"
			lead := func() {
				b.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Term: 5, Leader: true, HearsLeader: true, StoreOK: true}}})
			}
			lead()
			b.nextReq++
			b.step(Request{ID: b.nextReq, Method: "POST", Path: "/submissions/" + id + "/cancel"})
			if a, ok := b.answers[b.nextReq]; ok {
				t.Fatalf("acknowledged before anything is known of its tasks: %d %s", a.Status, a.Body)
			}
			if tc.superseded {
				b.write(election.KeyTerm, "", []byte("6"))
			}
			b.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Ends: &wire.Ends{Gone: []string{id}, TermVersion: termVersion}}})
			a := b.answers[b.nextReq]
			if a.Status != tc.status {
				t.Errorf("answered %d %s, want %d", a.Status, a.Body, tc.status)
			}
			if a.Status == 503 && a.RetryAfter == 0 {
				t.Error("asked to retry without saying when")
			}
			acknowledged := strings.Contains(string(b.store[records.OpenKey(id)].Value), `"ca":`+strconv.FormatInt(b.core.wallClockMS, 10))
			if acknowledged != (tc.status == 200) {
				t.Errorf("on record as acknowledged: %v", acknowledged)
			}
		})
	}
}
