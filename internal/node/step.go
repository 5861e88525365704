package node

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/core"
)

// step passes an input to the core, and sends the answers and messages and starts the calls that
// the core returns. The caller holds n.mu. current is the connection whose data event is being
// handled, or nil: it is not woken, since onData returns its output.
func (n *Node) step(input core.Input, current *connection) {
	now := time.Now()
	output := n.core.Step(now.Sub(n.started), now, input)
	n.slowSteps.record(input, now, time.Since(now))
	n.answerRequests(output.Answers, current)
	for _, send := range output.PeerSends {
		if link := n.peerLinks[send.To]; link != nil {
			link.Send(send.Message)
		}
	}
	for _, send := range output.RegionSends {
		n.regions.send(send)
	}
	for _, call := range output.Calls {
		go n.execute(call)
	}
}

// answerRequests adds the core's answers to the output of their connections, except closed ones.
func (n *Node) answerRequests(answers []core.Answer, current *connection) {
	for _, answer := range answers {
		conn := n.pendingRequests[answer.ID]
		delete(n.pendingRequests, answer.ID)
		if conn == nil || conn.closed {
			continue
		}
		conn.answer(httpwire.Reply{Status: answer.Status, Body: answer.Body, RetryAfter: answer.RetryAfterS})
		if conn != current {
			conn.socket.Wake()
		}
	}
}

// execute makes a call and passes the result to the core.
func (n *Node) execute(call core.Call) {
	var result core.Result
	switch call.Destination {
	case core.DestinationStore:
		result = n.store.Do(call)
	case core.DestinationCloud:
		result = n.cloud.Do(call)
	case core.DestinationWorker:
		result = n.worker.Do(call)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.step(result, nil)
}

// slowStepLog logs the longest step of each interval if it is longer than the threshold: no
// heartbeat is handled during a step.
type slowStepLog struct {
	log       *slog.Logger
	interval  time.Duration
	threshold time.Duration

	longest  time.Duration
	input    string // of the longest step
	loggedAt time.Time
}

// record adds a step, and logs the longest one once the interval has passed.
func (l *slowStepLog) record(input core.Input, startedAt time.Time, duration time.Duration) {
	if duration > l.longest {
		l.longest, l.input = duration, fmt.Sprintf("%T", input)
	}
	if startedAt.Sub(l.loggedAt) < l.interval {
		return
	}
	if l.longest > l.threshold {
		l.log.Info("core step took too long, heartbeats may be delayed", "input", l.input, "took_ms", l.longest.Milliseconds())
	}
	l.longest, l.loggedAt = 0, startedAt
}
