// Package frontend handles the users' requests to a controller: submissions, cancellations and
// status queries. Every controller has a front end, which reads and writes the key-value store
// directly, whether its controller leads or not.
//
// The front end owns the queue of submissions, the lookups of jobs and the pending cancellations;
// it shares the job cache with the leader. Cached records of unfinished jobs are used only after
// the store has confirmed that they are unchanged. The front end holds no state of machines and
// tasks: it queries its Host for them. Like internal/core, which calls it, it has no clock, socket
// or goroutine: every function returns without blocking, and results arrive through callbacks from
// the store's client.
package frontend

import (
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cancellation"
	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// A RequestID identifies a request that waits for its answer.
type RequestID = cancellation.RequestID

// Host is the controller that a front end belongs to.
type Host interface {
	// Now returns the time of the monotonic clock.
	Now() time.Duration
	// WallClockMS returns the time of day, in ms.
	WallClockMS() int64
	// Answer answers a request that was carried out.
	Answer(request RequestID, status int, body any)
	// Refuse answers a request that was not carried out.
	Refuse(request RequestID, refusal Refusal)
	// MachineTypes returns all machine types of the cloud, by name; none while they are unknown.
	MachineTypes() map[string]*wire.MachineType
	// TeamLimit returns a team's configured limit. known is false if there is no such team.
	TeamLimit(team string) (limit teamlimit.Limit, known bool)
	// TaskCounts returns the task counts of an open job.
	TaskCounts(job string) wire.JobCount
	// AllPeersSupport reports whether every controller supports a version of the peer protocol.
	AllPeersSupport(peerVersion int) bool
	// RejectedWrites records that the store rejected a transaction with a number of writes,
	// and reports whether the same changes may be accepted in smaller transactions.
	RejectedWrites(writes int) bool
	// StopTasks notifies the leader of a job whose cancellation is recorded, and reports
	// whether the termination of the job's tasks is delayed, as far as this controller knows.
	StopTasks(job string, open *jobcache.OpenJob) (delayed bool)
}

// FrontEnd is the front end of one controller.
type FrontEnd struct {
	host        Host
	store       *kv.Client
	cache       *jobcache.Cache
	deployment  *config.Deployment
	incarnation uint64 // identifies this run of the controller
	log         *slog.Logger

	queue         []*pendingSubmission
	committing    bool // a transaction that records submissions is in progress
	lookups       lookups
	cancellations *cancellation.Registry

	preloadStarted bool
	nextPreloadAt  time.Duration

	listAttempts uint64 // number of attempts to write a dependency list, part of its token
}

// New returns a front end. The incarnation must be unique among all runs of all controllers of
// the region. Team limits come from Host.TeamLimit, not from the deployment: limits that are shared
// with other regions replace the configured ones after New is called.
func New(host Host, store *kv.Client, cache *jobcache.Cache, deployment *config.Deployment, incarnation uint64, log *slog.Logger) *FrontEnd {
	f := &FrontEnd{
		host:        host,
		store:       store,
		cache:       cache,
		deployment:  deployment,
		incarnation: incarnation,
		log:         log,
		lookups:     lookups{waiters: map[string][]*lookupWaiter{}},
	}
	f.cancellations = cancellation.New(f.cancellationTimeout(), deployment.Workers.CancelTime())
	return f
}

// Tick refuses the requests that have timed out and continues to process the others.
func (f *FrontEnd) Tick() {
	f.startPreload()
	f.expireSubmissions()
	f.startSubmissionBatch()
	f.expireLookups()
	f.startLookups()
	f.askToRetry(f.cancellations.Expire(f.host.Now()))
}

// MaxWaitingRequests returns the maximum number of waiting requests: each occupies a connection.
func (f *FrontEnd) MaxWaitingRequests() int { return f.deployment.MachineLimits.MaxConnections }

// mustShed reports whether a new request has to be refused immediately (load shedding), given the
// number of requests that are waiting.
func (f *FrontEnd) mustShed(waiting int) bool {
	return waiting >= f.MaxWaitingRequests() || f.storeUnresponsive()
}

// storeUnresponsive reports whether the store has been unavailable for so long that requests are
// refused instead of kept waiting.
func (f *FrontEnd) storeUnresponsive() bool { return f.store.UnavailableFor() > f.store.Timeout()/4 }

func (f *FrontEnd) heartbeatInterval() time.Duration {
	return f.deployment.Workers.HeartbeatInterval()
}

// recordGrowthBytes is the space reserved in a new open record for what a cancellation and other
// later changes add.
const recordGrowthBytes = 200

// maxNewRecordBytes returns the maximum size of a new job's open record.
func (f *FrontEnd) maxNewRecordBytes() int { return f.store.MaxValue() - recordGrowthBytes }

// startPreload reads the open records into the cache once after the start, in pages. Otherwise,
// after a restart of all controllers, every query would need a read of its own, and the queries
// of all users would exhaust the store's request rate.
func (f *FrontEnd) startPreload() {
	if !f.preloadStarted && f.host.Now() >= f.nextPreloadAt {
		f.preloadStarted = true
		f.preloadPage("")
	}
}

func (f *FrontEnd) preloadPage(after string) {
	f.store.List(records.PrefixOpen, after, func(r kv.ListResult) {
		if r.Status != kv.OK {
			f.preloadStarted, f.nextPreloadAt = false, f.host.Now()+f.preloadRetryInterval()
			return
		}
		for _, item := range r.Page.Items {
			after = item.Key
			f.cachePreloaded(item)
		}
		if r.Page.More {
			f.preloadPage(after)
		}
	})
}

// cachePreloaded caches an open record unless the job is already cached: the preloaded record may
// be older.
func (f *FrontEnd) cachePreloaded(item wire.Item) {
	id := item.Key[len(records.PrefixOpen):]
	if _, ended := f.cache.Final(id); ended || f.cache.Open(id) != nil {
		return
	}
	if open := decodeOpen(item); open != nil {
		f.cache.PutOpen(id, open)
	}
}

// preloadRetryInterval returns the time from a failed preload to the next attempt, which is the
// duration of the leader's lease.
func (f *FrontEnd) preloadRetryInterval() time.Duration {
	return f.deployment.Workers.Lease() / 5
}
