package node

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

const (
	// ticksPerHeartbeat is how many ticks there are in the time between two heartbeats of a
	// worker.
	ticksPerHeartbeat = 20
	// idleCheckInterval is the time between two searches for idle connections.
	idleCheckInterval = time.Second
)

// runTicker makes the core's ticks, and looks for idle connections now and then.
func (n *Node) runTicker() {
	period := config.Seconds(n.cfg.Deployment.Workers.ReportS / ticksPerHeartbeat)
	lastIdleCheck := time.Now()
	for range time.Tick(period) {
		n.mu.Lock()
		n.step(core.Tick{}, nil)
		if now := time.Now(); now.Sub(lastIdleCheck) > idleCheckInterval {
			lastIdleCheck = now
			n.closeIdleConnections(now)
		}
		n.mu.Unlock()
	}
}
