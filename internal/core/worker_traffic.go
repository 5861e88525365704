package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/reconcile"
	"github.com/brookwalk/brookwalk/wire"
)

// trafficLogInterval is the time between two log lines with the traffic of workers.
const trafficLogInterval = time.Minute

// workerTraffic counts the messages between the leader and the workers since the last log line.
type workerTraffic struct {
	heartbeats       int
	largestHeartbeat int // in bytes
	mostExited       int // exited tasks listed by a worker
	directCalls      int
	refusedCalls     int // for a lower token or an earlier incarnation than the worker's
	unansweredCalls  int
	starts, stops    int
	forgets          int
	raisedTokens     int
	loggedAt         time.Duration
}

// recordHeartbeat counts a heartbeat that was applied.
func (t *workerTraffic) recordHeartbeat(machine *cluster.Machine, size int) {
	t.heartbeats++
	t.largestHeartbeat = max(t.largestHeartbeat, size)
	t.mostExited = max(t.mostExited, machine.ReportedExited)
}

// recordMessage counts the commands of a message.
func (t *workerTraffic) recordMessage(message reconcile.Message) {
	for i := range message.Commands {
		switch message.Commands[i].Verb {
		case wire.VerbStart:
			t.starts++
		case wire.VerbStop:
			t.stops++
		case wire.VerbForget:
			t.forgets++
		}
	}
}

// logWorkerTraffic logs the traffic of workers once per trafficLogInterval.
func (l *leader) logWorkerTraffic() {
	traffic := l.workerTraffic
	if l.core.now < traffic.loggedAt+trafficLogInterval {
		return
	}
	l.workerTraffic = workerTraffic{loggedAt: l.core.now}
	l.core.log.Info("worker traffic", "machines", len(l.Machines), "heartbeats", traffic.heartbeats, "largest_bytes", traffic.largestHeartbeat,
		"most_exited", traffic.mostExited, "direct_calls", traffic.directCalls, "refused", traffic.refusedCalls, "unanswered", traffic.unansweredCalls,
		"starts", traffic.starts, "stops", traffic.stops, "forgets", traffic.forgets, "raised_tokens", traffic.raisedTokens)
}
