package provisioning

import (
	"testing"
	"time"
)

// TestAvailability checks the limits of an offer that is refused once and then granted in full each
// time, while another offer stays unlimited.
func TestAvailability(t *testing.T) {
	const refusedFor = 6 * time.Second
	offer, other := Offer{Type: "small", Zone: "a"}, Offer{Type: "small", Zone: "a", Spot: true}
	availability := NewAvailability()
	if got := availability.AllowedMachines(offer, 0, 10); got != Unlimited {
		t.Errorf("machines before any refusal: got %d, want no limit", got)
	}
	availability.RecordFullGrant(offer)
	availability.RecordRefusal(offer, refusedFor)
	for _, step := range []struct {
		now       time.Duration
		requested int
		want      int
		grant     bool // afterwards
	}{
		{refusedFor - 1, 0, 0, false},
		{refusedFor, 0, 8, false},
		{refusedFor, 3, 5, false},
		{refusedFor, 9, -1, true},
		{refusedFor, 0, 16, true},
		{refusedFor, 0, 32, true},
		{refusedFor, 0, Unlimited, true},
		{refusedFor, 7, Unlimited, false},
	} {
		if got := availability.AllowedMachines(offer, step.now, step.requested); got != step.want {
			t.Errorf("step %+v: got %d machines, want the number in the step", step, got)
		}
		if got := availability.InBackoff(offer, step.now); got != (step.now < refusedFor) {
			t.Errorf("step %+v: got InBackoff %v, want the opposite", step, got)
		}
		if got := availability.AllowedMachines(other, step.now, 0); got != Unlimited {
			t.Errorf("step %+v: got %d machines of the other offer, want no limit", step, got)
		}
		if step.grant {
			availability.RecordFullGrant(offer)
		}
	}
	availability.RecordRefusal(offer, 2*refusedFor)
	if got := availability.AllowedMachines(offer, 2*refusedFor, 0); got != initialSlowStartLimit {
		t.Errorf("machines after another refusal: got %d, want the initial slow-start limit", got)
	}
}
