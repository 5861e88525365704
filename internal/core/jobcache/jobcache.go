// Package jobcache is a controller's cache of job records: the open records of unfinished jobs and
// the final records of ended jobs, each up to a maximum number. Final records never change. A
// cached open record may be out of date, so users receive it only after the store has confirmed its
// version. The front end and the leader of a controller share one cache. The package has no clock
// and does no I/O.
package jobcache

import "github.com/brookwalk/brookwalk/internal/core/records"

// An OpenJob is the open record of an unfinished job at a version.
type OpenJob struct {
	Version uint64
	Record  records.Open
	// TooLargeToWrite is true if the store no longer accepts a record of this size.
	TooLargeToWrite bool
}

// A Cache holds open and final records. An evicted record is read from the store again.
type Cache struct {
	capacity   int
	open       map[string]*OpenJob
	openOrder  []string // oldest first; may contain removed jobs and duplicates
	final      map[string]records.Final
	finalOrder []string // oldest first
}

// New returns an empty cache for up to capacity open jobs and up to capacity ended jobs.
func New(capacity int) *Cache {
	return &Cache{
		capacity: capacity,
		open:     map[string]*OpenJob{},
		final:    map[string]records.Final{},
	}
}

// Open returns an open job, or nil if it is not cached.
func (c *Cache) Open(id string) *OpenJob { return c.open[id] }

// Final returns the final record of a job. It returns false if the record is not cached.
func (c *Cache) Final(id string) (records.Final, bool) {
	final, ended := c.final[id]
	return final, ended
}

// PutOpen adds or replaces an open job. If the cache is full, the oldest open jobs are evicted.
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

// PutIfNewer adds an open job that was read from the store, unless the cache has a final record or
// an open record that is at least as new, stored while the read was in flight. Users may already
// have received that record. PutIfNewer returns the record that is cached afterwards.
func (c *Cache) PutIfNewer(id string, read *OpenJob) (open *OpenJob, final *records.Final) {
	if final, ended := c.final[id]; ended {
		return nil, &final
	}
	if known := c.open[id]; known != nil && known.Version >= read.Version {
		return known, nil
	}
	c.PutOpen(id, read)
	return read, nil
}

// PutFinal adds the final record of a job and removes its open record. If the cache is full, the
// oldest final record is evicted.
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

// RemoveOpen removes an open job whose record has changed.
func (c *Cache) RemoveOpen(id string) { delete(c.open, id) }

// RemoveAllOpen removes all open jobs.
func (c *Cache) RemoveAllOpen() { clear(c.open) }
