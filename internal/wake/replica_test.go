package wake

import (
	"encoding/json"
	"testing"
	"time"
)

// Times of newTestController's registry.
const (
	testReplicaLease    = 12 * time.Second
	testControllerLease = 4 * time.Second
	testLeaseEnds       = testReplicaLease + testReplicaLease/driftDivisor
	testTick            = 50 * time.Millisecond
)

// advance runs the controller for a duration, with a tick every testTick.
func (f *fakeBackends) advance(controller *Controller, duration time.Duration) {
	for end := f.now + duration; f.now < end; {
		f.now += testTick
		controller.Tick()
	}
}

// epoch returns the epoch in the model's record; a failover raises it.
func (f *fakeBackends) epoch(t *testing.T) uint64 {
	t.Helper()
	var record Record
	if err := json.Unmarshal(f.items[modelKey("a")].Value, &record); err != nil {
		t.Fatal(err)
	}
	return record.Epoch
}

// expectEpoch checks the epoch in the model's record.
func (f *fakeBackends) expectEpoch(t *testing.T, want uint64, when string) {
	t.Helper()
	if epoch := f.epoch(t); epoch != want {
		t.Errorf("epoch %s: got %d, want %d", when, epoch, want)
	}
}

// unanswered executes commands without an answer that the owner gets.
func unanswered(_ Command, done func(ReplicaStatus)) { done(ReplicaStatus{State: ReplicaUnreachable}) }

// unsent fails to send commands.
func unsent(_ Command, done func(ReplicaStatus)) { done(ReplicaStatus{State: ReplicaNotSent}) }

// loading answers a probe with a start token, and a start with a loading replica.
func loading(command Command, done func(ReplicaStatus)) {
	if command.Verb == VerbStart {
		done(ReplicaStatus{State: ReplicaLoading})
		return
	}
	done(ReplicaStatus{State: ReplicaAbsent, StartToken: 7})
}

// startWaking returns a controller that has claimed its model under epoch 1 and has sent its first
// commands.
func startWaking(t *testing.T, backends *fakeBackends) *Controller {
	t.Helper()
	controller := newTestController(t, backends)
	controller.Tick()
	controller.Handle(&Request{ID: 1, Model: "a", IdempotencyKey: "k", Deadline: time.Hour})
	if backends.epoch(t) != 1 || len(backends.commands) == 0 {
		t.Fatalf("got epoch %d and commands %+v, want a claim and a command", backends.epoch(t), backends.commands)
	}
	return controller
}

// TestFailoverTime checks when a model is started on its next server. It guards against a second replica
// beside one whose lease was renewed by a command without an answer.
func TestFailoverTime(t *testing.T) {
	for _, tc := range []struct {
		name          string
		before, after func(Command, func(ReplicaStatus)) // handle commands until the claim, and from then on
		want          time.Duration                      // from the claim until the failover
	}{
		{
			"every command may have been executed", loading, unanswered,
			// Commands end after one lease without an answer; the last one may have renewed the lease.
			testReplicaLease + testLeaseEnds,
		},
		{"no command was sent after an answer", loading, unsent, testControllerLease + testLeaseEnds},
		{"no command was sent", unsent, unsent, testControllerLease + testLeaseEnds},
		{"no start was sent, so that there is no replica", unanswered, unanswered, testControllerLease + testLeaseEnds},
	} {
		t.Run(tc.name, func(t *testing.T) {
			backends := newFakeBackends()
			backends.onCommand = tc.before
			controller := startWaking(t, backends)
			backends.onCommand = tc.after
			const scatter = testControllerLease / pollDivisor // commands are sent at this interval
			backends.advance(controller, tc.want-scatter)
			backends.expectEpoch(t, 1, "before the lease may have expired")
			backends.advance(controller, scatter+2*testTick)
			backends.expectEpoch(t, 2, "once the lease has expired")
		})
	}
}

// TestFailoverWaitsForPendingCommand guards against a failover while a command is in flight, which may
// still renew the replica's lease.
func TestFailoverWaitsForPendingCommand(t *testing.T) {
	backends := newFakeBackends()
	backends.onCommand = loading
	controller := startWaking(t, backends)
	var end func(ReplicaStatus)
	backends.onCommand = func(_ Command, done func(ReplicaStatus)) { end = done }
	backends.advance(controller, 3*testLeaseEnds)
	if end == nil || backends.epoch(t) != 1 {
		t.Fatalf("epoch while a command is in flight: got %d, want 1", backends.epoch(t))
	}
	end(ReplicaStatus{State: ReplicaUnreachable})
	backends.advance(controller, testLeaseEnds)
	backends.expectEpoch(t, 1, "one lease after the command ended")
	backends.advance(controller, 2*testTick)
	backends.expectEpoch(t, 2, "once the lease has expired")
}

// TestFailoverAfterTakeover checks that a new owner counts the replica's lease from one controller lease
// after its takeover, since the previous owner may have sent a command until then.
func TestFailoverAfterTakeover(t *testing.T) {
	backends := newFakeBackends()
	backends.onCommand = unsent
	backends.put(modelKey("a"), Record{Phase: PhaseServing, Epoch: 3, Owner: "node-1", Incarnation: 7, Server: "gpu-0"})
	controller := newTestController(t, backends)
	controller.Tick()
	controller.Tick()
	backends.expectEpoch(t, 4, "after the takeover")
	backends.advance(controller, testControllerLease+testLeaseEnds)
	backends.expectEpoch(t, 4, "while the previous owner's command may count")
	backends.advance(controller, 2*testTick)
	backends.expectEpoch(t, 5, "once the lease has expired")
}

// TestCommandExpiry checks when commands expire by the server's clock: the first one at once, so that the
// server answers only with its clock, and later ones after one controller lease.
func TestCommandExpiry(t *testing.T) {
	backends := newFakeBackends()
	const serverAhead = 100 * time.Second // the server's clock is ahead of the controller's by this time
	backends.onCommand = func(command Command, done func(ReplicaStatus)) {
		status := ReplicaStatus{State: ReplicaLate, ClockSeconds: (backends.now + serverAhead).Seconds()}
		if command.ExpirySeconds > status.ClockSeconds {
			status.State = ReplicaLoading
		}
		done(status)
	}
	controller := startWaking(t, backends)
	backends.advance(controller, 2*testControllerLease)
	if first := backends.commands[0].ExpirySeconds; first <= 0 || first > 1 {
		t.Errorf("expiry of the first command: got %v s, want one that is long past", first)
	}
	for i, sentAt := range backends.commandTimes[1:] {
		want := (sentAt + serverAhead + testControllerLease).Seconds()
		if got := backends.commands[i+1].ExpirySeconds; got < want-0.001 || got > want+0.001 {
			t.Errorf("expiry of a command sent at %v: got %v s, want %v s", sentAt, got, want)
		}
	}
	if backends.commandTimes[1] != backends.commandTimes[0] {
		t.Errorf("time from the first command to the second: got %v, want none", backends.commandTimes[1]-backends.commandTimes[0])
	}
	for _, answerClock := range []float64{0, 200} {
		backends.onCommand = func(_ Command, done func(ReplicaStatus)) {
			done(ReplicaStatus{State: ReplicaLate, ClockSeconds: answerClock})
		}
		before := len(backends.commands)
		backends.advance(controller, testControllerLease)
		if sent := len(backends.commands) - before; sent > pollDivisor {
			t.Errorf("commands in a lease while all are late, server's clock %v s: got %d, want at most %d", answerClock, sent, pollDivisor)
		}
	}
}
