package core

import "github.com/brookwalk/brookwalk/internal/core/cluster"

// addCancelledEnds adds the ends of cancelled jobs to a transaction as far as they fit. A job's
// cancellation is acknowledged only after its dependents have ended, so the ends of dependents are
// added first, and a job with dependents is added once the last of them has ended. A chain of
// dependencies is recorded in one transaction if it fits: with one transaction per job, each
// waiting for the previous one, a long chain would take longer than cancel_s.
func (l *leader) addCancelledEnds(add func(*cluster.Job) bool) {
	waiting := l.cancelledWithoutDependents
	l.cancelledWithoutDependents = nil
	for i, job := range waiting {
		switch {
		case l.Jobs[job.ID] != job || job.EndRecorded || job.EndWritePending || l.dependencies.HasDependents(job.ID):
		case l.mayHaveUnknownDependents(job) || !l.writer.EndRecordable(job):
			l.cancelledWithoutDependents = append(l.cancelledWithoutDependents, job)
		case !l.addEndWithDependencies(job, add):
			l.cancelledWithoutDependents = append(l.cancelledWithoutDependents, waiting[i:]...)
			return
		}
	}
}

// addEndWithDependencies adds the end of a cancelled job, and the ends of its direct and indirect
// dependencies that are cancelled and have no other unfinished dependents. It returns false if the
// job's own end does not fit.
func (l *leader) addEndWithDependencies(job *cluster.Job, add func(*cluster.Job) bool) bool {
	if !add(job) {
		return false
	}
	for queue := []*cluster.Job{job}; len(queue) > 0; queue = queue[1:] {
		l.dependencies.EachDependency(queue[0].ID, func(id string) {
			dependency := l.Jobs[id]
			if dependency == nil || !dependency.Cancellation.Requested() || !l.writer.EndRecordable(dependency) {
				return
			}
			if !l.hasUnfinishedDependents(id) && add(dependency) {
				queue = append(queue, dependency)
			}
		})
	}
	return true
}
