// Package jobcache keeps what a controller knows of jobs: the open records of unfinished jobs
// and the final records of ended ones, each up to a number of jobs. A final record never
// changes; an open one may have changed since, so users see it only after the store has
// confirmed its version. The front end and the leader share a controller's cache. The
// package does no I/O and keeps no time.
package jobcache

import "github.com/brookwalk/brookwalk/internal/core/records"

// An OpenJob is an unfinished job as its open record was at a version.
type OpenJob struct {
	Version uint64
	Record  records.Open
	// TooLargeToWrite: the store no longer accepts a record of this size.
	TooLargeToWrite bool
}

// A Cache holds open and final records. Forgetting one is safe: the job is read again.
type Cache struct {
	capacity   int
	open       map[string]*OpenJob
	openOrder  []string // oldest first; some may be forgotten already
	final      map[string]records.Final
	finalOrder []string // oldest first
}

// New makes an empty cache for as many open jobs as capacity, and as many ended ones.
func New(capacity int) *Cache {
	return &Cache{
		capacity: capacity,
		open:     map[string]*OpenJob{},
		final:    map[string]records.Final{},
	}
}

// Open returns an open job; nil if it is not known.
func (c *Cache) Open(id string) *OpenJob { return c.open[id] }

// Final returns the final record of a job, if it is known.
func (c *Cache) Final(id string) (records.Final, bool) {
	final, ended := c.final[id]
	return final, ended
}

// PutOpen adds an open job, or replaces what is known of it. The oldest ones are evicted.
func (c *Cache) PutOpen(id string, job *OpenJob) {
	if c.open[id] == nil {
		c.openOrder = append(c.openOrder, id)
	}
	c.open[id] = job
	for len(c.openOrder) > c.capacity {
		if oldest := c.openOrder[0]; oldest != id {
			delete(c.open, oldest)
		}
		c.openOrder = c.openOrder[1:]
	}
}

// PutNewer adds an open job that was read from the store and returns what is known of the job then.
// What was learned while the answer was under way is newer, and is kept: a user may have seen it.
func (c *Cache) PutNewer(id string, read *OpenJob) (open *OpenJob, final *records.Final) {
	if final, ended := c.final[id]; ended {
		return nil, &final
	}
	if known := c.open[id]; known != nil && known.Version >= read.Version {
		return known, nil
	}
	c.PutOpen(id, read)
	return read, nil
}

// PutFinal adds the final record of a job. The oldest ones are evicted.
func (c *Cache) PutFinal(id string, final records.Final) {
	delete(c.open, id)
	if _, known := c.final[id]; !known {
		c.finalOrder = append(c.finalOrder, id)
		if len(c.finalOrder) > c.capacity {
			delete(c.final, c.finalOrder[0])
			c.finalOrder = c.finalOrder[1:]
		}
	}
	c.final[id] = final
}

// ForgetOpen forgets an open job, whose record has changed.
func (c *Cache) ForgetOpen(id string) { delete(c.open, id) }

// ForgetAllOpen forgets every open job.
func (c *Cache) ForgetAllOpen() { clear(c.open) }
