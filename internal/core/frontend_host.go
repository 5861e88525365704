package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/frontend"
	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/wire"
)

// frontEndHost is this controller as its front end sees it.
type frontEndHost struct{ core *Core }

// Now is the steady time.
func (h frontEndHost) Now() time.Duration { return h.core.now }

// WallClockMS is the time of day.
func (h frontEndHost) WallClockMS() int64 { return h.core.wallClockMS }

// Answer answers a request that was carried out.
func (h frontEndHost) Answer(request frontend.RequestID, status int, body any) {
	h.core.answer(uint64(request), status, body, 0)
}

// Refuse answers a request that is not carried out.
func (h frontEndHost) Refuse(request frontend.RequestID, refusal frontend.Refusal) {
	h.core.refuse(uint64(request), refusal)
}

// MachineTypes are those that the cloud offers, by name.
func (h frontEndHost) MachineTypes() map[string]*wire.MachineType { return h.core.machineTypes }

// TeamLimit is a team's limit by the settings.
func (h frontEndHost) TeamLimit(team string) (limit teamlimit.Limit, known bool) {
	return h.core.configuredLimit(team), h.core.team(team) != nil
}

// TaskCounts counts the tasks of an open job, as the leader does or last said.
func (h frontEndHost) TaskCounts(job string) wire.JobCount {
	if h.core.leader != nil {
		return h.core.leader.jobCountByID(job)
	}
	return h.core.jobCounts[job]
}

// AllPeersSupport reports whether every controller runs a version or a later one.
func (h frontEndHost) AllPeersSupport(peerVersion int) bool {
	return h.core.membership.AllPeersSupport(peerVersion)
}

// RejectedWrites records that the store rejected a transaction with a number of writes.
func (h frontEndHost) RejectedWrites(writes int) bool { return h.core.rejectedWrites(writes) }

// StopTasks lets the leader know of a job whose cancellation is recorded, and reports whether the
// end of its tasks is delayed.
func (h frontEndHost) StopTasks(job string, open *jobcache.OpenJob) (delayed bool) {
	switch {
	case h.core.leader != nil:
		h.core.leader.applyOpenRecord(job, open.Version, open.Record)
		return h.core.leader.terminationDelayed(job)
	case h.core.membership.HasLeaderContact():
		// The leader learns of it by its watch, or, should the store be unavailable to it just
		// now, from the digest.
		h.core.sendDigests()
		return false
	default:
		return true
	}
}

// refuse answers a request that is not carried out.
func (c *Core) refuse(requestID uint64, refusal frontend.Refusal) {
	c.answer(requestID, refusal.Status, refusal.Body(), refusal.RetryAfterS)
}

// jobsCachedPerMB is how many jobs of a kind, open or final, are remembered for each megabyte of
// the controller's memory: they take about a fiftieth of it.
const jobsCachedPerMB = 100

// jobCacheCapacity is how many jobs of a kind, open or final, are remembered.
func (c *Core) jobCacheCapacity() int {
	return int(jobsCachedPerMB * c.settings.Deployment.MachineLimits.RAMMB)
}
