package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/frontend"
	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/wire"
)

// frontEndHost implements frontend.Host.
type frontEndHost struct{ core *Core }

// Now returns the monotonic time.
func (h frontEndHost) Now() time.Duration { return h.core.now }

// WallClockMS returns the wall-clock time, in ms.
func (h frontEndHost) WallClockMS() int64 { return h.core.wallClockMS }

// Answer answers a request that was carried out.
func (h frontEndHost) Answer(request frontend.RequestID, status int, body any) {
	h.core.answer(uint64(request), status, body, 0)
}

// Refuse answers a request that was not carried out.
func (h frontEndHost) Refuse(request frontend.RequestID, refusal frontend.Refusal) {
	h.core.refuse(uint64(request), refusal)
}

// MachineTypes returns the machine types that the cloud offers, by name.
func (h frontEndHost) MachineTypes() map[string]*wire.MachineType { return h.core.machineTypes }

// TeamLimit returns a team's configured limit. known is false if there is no such team.
func (h frontEndHost) TeamLimit(team string) (limit teamlimit.Limit, known bool) {
	return h.core.configuredLimit(team), h.core.team(team) != nil
}

// TaskCounts returns the task counts of an open job: the current ones on the leader, those of the
// leader's last digest on a follower.
func (h frontEndHost) TaskCounts(job string) wire.JobCount {
	if h.core.leader != nil {
		return h.core.leader.jobCountByID(job)
	}
	return h.core.jobCounts[job]
}

// AllPeersSupport reports whether every controller runs a peer protocol version or a later one.
func (h frontEndHost) AllPeersSupport(peerVersion int) bool {
	return h.core.membership.AllPeersSupport(peerVersion)
}

// RejectedWrites records that the store rejected a transaction with a number of writes, and reports
// whether smaller transactions may be accepted.
func (h frontEndHost) RejectedWrites(writes int) bool { return h.core.recordRejectedWrites(writes) }

// StopTasks notifies the leader of a job whose cancellation is recorded, and reports whether the
// termination of the job's tasks is delayed.
func (h frontEndHost) StopTasks(job string, open *jobcache.OpenJob) (delayed bool) {
	switch {
	case h.core.leader != nil:
		h.core.leader.applyOpenRecord(job, open.Version, open.Record)
		return h.core.leader.terminationDelayed(job)
	case h.core.membership.HasLeaderContact():
		// The leader receives the cancellation through its watch or, if the store is currently
		// unavailable to it, from the digest.
		h.core.sendDigests()
		return false
	default:
		return true
	}
}

// refuse answers a request that was not carried out.
func (c *Core) refuse(requestID uint64, refusal frontend.Refusal) {
	c.answer(requestID, refusal.Status, refusal.Body(), refusal.RetryAfterS)
}

// jobsCachedPerMB is the number of records of each kind, open and final, that are cached per MB of
// the controller's memory. They use about 2% of it.
const jobsCachedPerMB = 100

// jobCacheCapacity returns the maximum number of cached records of each kind, open and final.
func (c *Core) jobCacheCapacity() int {
	return int(jobsCachedPerMB * c.settings.Deployment.MachineLimits.RAMMB)
}
