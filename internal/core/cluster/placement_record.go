package cluster

import (
	"slices"
	"time"
)

// PlacementRecord is the state of one of a job's placement records, each of which covers a range of
// tasks. Persistence changes it.
type PlacementRecord struct {
	Key            string
	From, To       int           // range of tasks; To is exclusive
	Version        uint64        // 0 if the record is not stored
	Dirty          bool          // the placements have changed since the record was written
	DueAt          time.Duration // when the record is to be written, if dirty
	VersionUnknown bool          // the version has to be read again
	WritePending   bool
}

// PlacementRecordOf returns the record that covers a task.
func (j *Job) PlacementRecordOf(task int) *PlacementRecord {
	n, _ := slices.BinarySearchFunc(j.PlacementRecords, task, func(record PlacementRecord, task int) int {
		switch {
		case record.To <= task:
			return -1
		case record.From > task:
			return 1
		}
		return 0
	})
	return &j.PlacementRecords[n]
}

// PlacementKeys lists the keys of the job's stored placement records.
func (j *Job) PlacementKeys() []string {
	keys := slices.Clone(j.SupersededKeys)
	for i := range j.PlacementRecords {
		if j.PlacementRecords[i].Version != 0 {
			keys = append(keys, j.PlacementRecords[i].Key)
		}
	}
	return keys
}

// RecordKeys lists the keys, other than that of the open record, that are deleted when the job ends.
func (j *Job) RecordKeys() []string {
	return append(j.PlacementKeys(), j.DependencyList.Keys()...)
}

// HasUnknownPlacementVersion reports whether the version of a placement record is unknown or
// about to change.
func (j *Job) HasUnknownPlacementVersion() bool {
	return slices.ContainsFunc(j.PlacementRecords, func(r PlacementRecord) bool {
		return r.VersionUnknown || r.WritePending
	})
}
