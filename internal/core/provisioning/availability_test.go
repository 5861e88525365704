package provisioning

import (
	"testing"
	"time"
)

// TestAvailability follows an offer that is refused once and granted in full from then on. The
// other offer stays unlimited.
func TestAvailability(t *testing.T) {
	const refusedFor = 6 * time.Second
	offer, other := Offer{Type: "small", Zone: "a"}, Offer{Type: "small", Zone: "a", Spot: true}
	availability := NewAvailability()
	if got := availability.Machines(offer, 0, 10); got != Unlimited {
		t.Errorf("%d machines before any refusal", got)
	}
	availability.Grant(offer)
	availability.Refuse(offer, refusedFor)
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
		if got := availability.Machines(offer, step.now, step.requested); got != step.want {
			t.Errorf("%+v: %d machines", step, got)
		}
		if got := availability.Refused(offer, step.now); got != (step.now < refusedFor) {
			t.Errorf("%+v: refused %v", step, got)
		}
		if got := availability.Machines(other, step.now, 0); got != Unlimited {
			t.Errorf("%+v: %d machines of the other offer", step, got)
		}
		if step.grant {
			availability.Grant(offer)
		}
	}
	availability.Refuse(offer, 2*refusedFor)
	if got := availability.Machines(offer, 2*refusedFor, 0); got != slowStartLimit {
		t.Errorf("%d machines after another refusal", got)
	}
}
