package hollow

// scheduleFailures schedules the failures of the experiment at their times.
func (r *runner) scheduleFailures() {
	for _, failure := range r.experiment.Failures {
		r.live.After(seconds(failure.AtS), func() { r.injectFailure(failure) })
	}
}

// recordFailure adds a failure to the history as an event.
func (r *runner) recordFailure(failure Failure) {
	if r.region != nil {
		r.region.run.usage.history.AddEvent(r.live.Now(), failure.Kind+" in "+r.region.name)
		return
	}
	r.history.AddEvent(r.live.Now(), failure.Kind)
}

// injectFailure injects a failure. If there is no leader to kill, it tries again every
// sampleInterval until there is one.
func (r *runner) injectFailure(failure Failure) {
	r.recordFailure(failure)
	log := r.options.Log.With("kind", failure.Kind, "at_s", failure.AtS)
	switch failure.Kind {
	case FailLeader:
		leader, ok := r.live.Leader()
		if !ok {
			log.Warn("failure delayed", "reason", "no leader")
			r.live.After(sampleInterval, func() { r.injectFailure(failure) })
			return
		}
		r.killLeader(leader)
		log.Info("failure injected", "controller", r.live.Name(leader))
	case FailAllControllers:
		r.killAllControllers()
		log.Info("failure injected", "controllers", len(r.controllers))
	case FailWorkers:
		log.Info("failure injected", "machines", r.live.RemoveWorkers(failure.Share, failure.Zone))
	case FailZone:
		if leader, ok := r.live.Leader(); ok && r.live.Zone(leader) == failure.Zone {
			r.observer.recordLeaderKill(r.live.Now(), r.live.Term())
		}
		log.Info("failure injected", "zone", failure.Zone, "machines", r.live.RemoveZone(failure.Zone, seconds(failure.ForS)))
	case FailStore:
		r.live.StopStore(seconds(failure.ForS))
		log.Info("failure injected", "for_s", failure.ForS)
	case FailRepeatedCalls:
		r.live.RepeatCalls(failure.Share, seconds(failure.ForS))
		log.Info("failure injected", "share", failure.Share, "for_s", failure.ForS)
	}
}

func (r *runner) killLeader(leader int) {
	r.observer.recordLeaderKill(r.live.Now(), r.live.Term())
	r.live.KillController(leader, seconds(r.experiment.RestartS))
}

func (r *runner) killAllControllers() {
	r.observer.recordLeaderKill(r.live.Now(), r.live.Term())
	for i := range r.controllers {
		r.live.KillController(i, seconds(r.experiment.RestartS))
	}
}
