// Package frontend answers the users of a controller: submissions, cancellations and status
// queries. Every controller has a front end, which works on the key-value store by itself,
// whether its controller leads or not.
//
// It owns the queue of submissions, the lookups of jobs and the waiting cancellations; it
// shares the job cache with the leader. What the cache has of unfinished jobs is only used
// after the store has confirmed that it still holds. The front end has no state of machines and
// tasks: it asks its Host about them. Like internal/core, which calls it, it has no clock, socket
// or goroutine: every function returns at once, and callbacks come from the store's client.
package frontend

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cancellation"
	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// A RequestID names a request that waits for its answer.
type RequestID = cancellation.RequestID

// Host is the controller that a front end belongs to.
type Host interface {
	// Now is the steady time.
	Now() time.Duration
	// WallClockMS is the time of day, in ms.
	WallClockMS() int64
	// Answer answers a request that was carried out.
	Answer(request RequestID, status int, body any)
	// Refuse answers a request that is not carried out.
	Refuse(request RequestID, refusal Refusal)
	// MachineTypes are all types of the cloud, by name; none while they are not known.
	MachineTypes() map[string]*wire.MachineType
	// TeamLimit is a team's limit by the settings; not known if there is no such team.
	TeamLimit(team string) (limit teamlimit.Limit, known bool)
	// TaskCounts counts the tasks of an open job.
	TaskCounts(job string) wire.JobCount
	// AllPeersSupport reports whether every controller runs a version or a later one.
	AllPeersSupport(peerVersion int) bool
	// RejectedWrites records that the store rejected a transaction with a number of writes,
	// and reports whether the same changes may do in smaller transactions.
	RejectedWrites(writes int) bool
	// StopTasks tells the leader of a job whose cancellation is recorded, and reports
	// whether the end of its tasks is delayed, as far as this controller knows.
	StopTasks(job string, open *jobcache.OpenJob) (delayed bool)
}

// FrontEnd is the front end of one controller.
type FrontEnd struct {
	host        Host
	store       *kv.Client
	cache       *jobcache.Cache
	deployment  *config.Deployment
	incarnation uint64 // of the controller

	queue         []*pendingSubmission
	committing    bool // a transaction with submissions is under way
	lookups       lookups
	cancellations *cancellation.Registry

	preloadStarted bool
	preloadAt      time.Duration

	listAttempts uint64 // attempts to write a list of dependencies
}

// New makes a front end. The incarnation has to differ from that of any other run of any
// controller of the region. Teams are not read from the deployment, see Host.TeamLimit: those
// that share limits with other regions replace them later.
func New(host Host, store *kv.Client, cache *jobcache.Cache, deployment *config.Deployment, incarnation uint64) *FrontEnd {
	f := &FrontEnd{
		host:        host,
		store:       store,
		cache:       cache,
		deployment:  deployment,
		incarnation: incarnation,
		lookups:     lookups{waiters: map[string][]*lookupWaiter{}},
	}
	f.cancellations = cancellation.New(f.cancellationTimeout(), deployment.Workers.CancelTime())
	return f
}

// Tick answers the requests that have waited too long, and continues with the others.
func (f *FrontEnd) Tick() {
	f.startPreload()
	f.expireSubmissions()
	f.startSubmissionBatch()
	f.expireLookups()
	f.startLookups()
	f.refuseStopping(f.cancellations.Expire(f.host.Now()))
}

// MaxWaiting is how many requests may wait: each comes on a connection.
func (f *FrontEnd) MaxWaiting() int { return f.deployment.MachineLimits.MaxConnections }

// mustShed reports whether a request has to be refused at once (load shedding), given how many
// wait already.
func (f *FrontEnd) mustShed(waiting int) bool {
	return waiting >= f.MaxWaiting() || f.storeOverdue()
}

// storeOverdue reports whether the store has not answered for so long that a request is better
// refused than kept waiting.
func (f *FrontEnd) storeOverdue() bool { return f.store.UnavailableFor() > f.store.Timeout()/4 }

func (f *FrontEnd) heartbeatInterval() time.Duration {
	return f.deployment.Workers.HeartbeatInterval()
}

// recordGrowth is what a cancellation and other changes may add to an open record, in bytes.
const recordGrowth = 200

// maxNewRecord is the largest open record of a new job, in bytes.
func (f *FrontEnd) maxNewRecord() int { return f.store.MaxValue() - recordGrowth }

// startPreload reads the open jobs once after the start, in pages. Otherwise the queries of every
// user, right after all controllers have restarted, would each cost a read of their own, and
// exhaust the rate of requests to the store.
func (f *FrontEnd) startPreload() {
	if !f.preloadStarted && f.host.Now() >= f.preloadAt {
		f.preloadStarted = true
		f.preloadPage("")
	}
}

func (f *FrontEnd) preloadPage(after string) {
	f.store.List(records.PrefixOpen, after, func(r kv.ListResult) {
		if r.Status != kv.OK {
			f.preloadStarted, f.preloadAt = false, f.host.Now()+f.preloadRetryInterval()
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

// cachePreloaded remembers an open job, unless something is known of it already.
func (f *FrontEnd) cachePreloaded(item wire.Item) {
	id := item.Key[len(records.PrefixOpen):]
	if _, ended := f.cache.Final(id); ended || f.cache.Open(id) != nil {
		return
	}
	if open := decodeOpen(item); open != nil {
		f.cache.PutOpen(id, open)
	}
}

// preloadRetryInterval is the time from a failed preload to the next one: that of a leader's
// lease.
func (f *FrontEnd) preloadRetryInterval() time.Duration {
	return f.deployment.Workers.Lease() / 5
}
