package sim

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
)

// Bounds of the time after which a call is carried out once more. Without a fixed delay, each order
// of magnitude between them is equally likely.
const (
	minRepeatDelay = 200 * time.Millisecond
	maxRepeatDelay = 150 * time.Second
)

// defaultRepeatShare is the default share of calls that are carried out once more.
const defaultRepeatShare = 0.1

// repeatedCalls is a fault in which a copy of a call that was carried out and answered is carried out
// once more, later. Nobody waits for the answer to the copy.
type repeatedCalls struct {
	randomFault
	receiver string        // that receives the calls: an endpoint or a pattern; empty for any
	delay    time.Duration // of the copy; 0 for a random one
	count    int           // copies so far
}

// repeatCalls makes a share of calls be carried out once more.
func (w *World) repeatCalls(line scenarioLine) {
	w.repeatedCalls = repeatedCalls{
		randomFault: randomFault{line.number("share", defaultRepeatShare), w.now + line.duration()},
		receiver:    line.options["to"],
		delay:       line.repeatDelay(),
	}
}

func (l *scenarioLine) repeatDelay() time.Duration { return seconds(l.number("delay", 0)) }

// maxRepeatDelay returns the maximum delay of the copies that the line causes.
func (l *scenarioLine) maxRepeatDelay() time.Duration {
	if delay := l.repeatDelay(); delay > 0 {
		return delay
	}
	return maxRepeatDelay
}

// repeatLater carries out a call to a receiver once more, later, if the fault affects it.
func (w *World) repeatLater(receiver string, carryOut func()) {
	fault := &w.repeatedCalls
	if fault.receiver != "" && !w.matches(fault.receiver, receiver) || !fault.occurs(w) {
		return
	}
	fault.count++
	w.after(fault.nextDelay(w), carryOut)
}

// nextDelay returns the delay of the next copy.
func (f *repeatedCalls) nextDelay(world *World) time.Duration {
	if f.delay > 0 {
		return f.delay
	}
	ratio := float64(maxRepeatDelay) / float64(minRepeatDelay)
	return time.Duration(float64(minRepeatDelay) * math.Pow(ratio, world.rng.Float64()))
}

// repeatWhenAnswered returns a reply that passes the answer to a call on, and has the call carried out
// once more if the fault affects it.
func (w *World) repeatWhenAnswered(receiver string, reply func(int, []byte), carryOut func(reply func(int, []byte))) func(int, []byte) {
	return func(status int, body []byte) {
		w.repeatLater(receiver, func() { carryOut(dropAnswer) })
		reply(status, body)
	}
}

// dropAnswer drops the answer to a call whose caller does not wait for it.
func dropAnswer(int, []byte) {}

// isAccepted reports whether the answer to a user's submission or cancellation says that it was
// carried out.
func isAccepted(status int) bool { return status == httpstatus.OK || status == httpstatus.Created }
