package hollow

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/sim"
)

// Roles of processes in a report.
const (
	roleLeader    = "leader"
	roleFollower  = "follower"
	roleSimulator = "stand-ins" // this process, which simulates workers, users, cloud and key-value store
)

// noController stands for the index of the leader if there is none.
const noController = -1

// report builds the report of a run that took the given time.
func (r *runner) report(duration time.Duration) *Report {
	var counts sim.Counts
	leader := noController
	r.live.Do(func() {
		counts = r.live.Counts()
		if i, ok := r.live.Leader(); ok {
			leader = i
		}
	})
	report := &Report{
		Experiment: r.experiment.Name, DurationS: duration.Seconds(),
		Workers: counts.Workers, Tasks: counts.Tasks, Jobs: counts.UnfinishedJobs, AcceptedJobs: counts.AcceptedJobs,
		StartCommands: counts.Starts, ExpiredTasks: counts.ExpiredTasks,
		StoreKeys: counts.StoreKeys, StoreThrottled: counts.StoreThrottled,
		StoreChangesPerS: perSecond(float64(counts.StoreChanges), duration.Seconds()),
		Violations:       append([]string{}, counts.Violations...), History: r.history,
	}
	r.live.Do(func() { r.reportStarts(report, duration) }) // requests may still be answered
	r.reportProcesses(report, leader)
	r.reportTraffic(report, duration)
	return report
}

// reportStarts adds the rates of task starts, the waits and the failovers to the report. It is called with
// the simulation locked.
func (r *runner) reportStarts(report *Report, duration time.Duration) {
	observer := r.observer
	report.PeakStartsPerS = observer.peakStartRate()
	report.MeanStartsPerS = perSecond(float64(observer.starts), duration.Seconds())
	report.UrgentWaits = newWaitStats(observer.urgentWaits)
	report.Waits = map[string]WaitStats{}
	for class, histogram := range observer.waits {
		report.Waits[class] = newWaitStats(histogram)
	}
	report.FailoverS = []float64{}
	for _, failover := range observer.failoverTimes {
		report.FailoverS = append(report.FailoverS, failover.Seconds())
	}
	report.FailoversWithoutStart = observer.failoversWithoutStart
	if observer.killedTerm != 0 {
		report.FailoversWithoutStart++
	}
}

// reportProcesses adds the resource usage of each process to the report.
func (r *runner) reportProcesses(report *Report, leader int) {
	for i, c := range r.controllers {
		role := roleFollower
		if i == leader {
			role = roleLeader
		}
		process := newProcessReport(c.name, role, &c.usage)
		process.Starts, process.UnexpectedExits = c.startsAndExits()
		report.Processes = append(report.Processes, process)
	}
	simulator := newProcessReport(roleSimulator, roleSimulator, &r.simulatorUsage)
	simulator.Starts = 1
	report.Processes = append(report.Processes, simulator)
}

func newProcessReport(name, role string, usage *processMeter) ProcessReport {
	return ProcessReport{
		Name: name, Role: role, Cores: usage.cores(), SteadyCores: usage.steadyCores(), PeakCores: usage.peakCores,
		PeakMemoryMB: float64(usage.total.peakRSSKB) / 1024, ReadBytesPerS: perSecond(float64(usage.total.readBytes), usage.seconds),
		WrittenBytesPerS: perSecond(float64(usage.total.writtenBytes), usage.seconds), Sockets: usage.total.sockets,
	}
}

// reportTraffic adds the traffic of each channel to the report.
func (r *runner) reportTraffic(report *Report, duration time.Duration) {
	report.Traffic = map[string]TrafficStats{
		"workers' reports":    newTrafficStats(&r.workerTraffic, duration),
		"direct commands":     newTrafficStats(&r.commandTraffic, duration),
		"users":               newTrafficStats(&r.userTraffic, duration),
		"state service":       newTrafficStats(&r.storeTraffic, duration),
		"cloud":               newTrafficStats(&r.cloudTraffic, duration),
		"between controllers": r.peerTraffic(duration),
	}
}

func newTrafficStats(traffic *httpserve.Traffic, duration time.Duration) TrafficStats {
	durationS := duration.Seconds()
	return TrafficStats{
		MessagesPerS:      perSecond(float64(traffic.Requests.Load()), durationS),
		RequestBytesPerS:  perSecond(float64(traffic.RequestBytes.Load()), durationS),
		ResponseBytesPerS: perSecond(float64(traffic.ResponseBytes.Load()), durationS),
	}
}

// peerTraffic returns the traffic between controllers. It is not counted directly: RequestBytesPerS
// is computed from all bytes that the controllers read, less those that the simulation sent them.
// The number of messages is unknown.
func (r *runner) peerTraffic(duration time.Duration) TrafficStats {
	read := int64(0)
	for _, c := range r.controllers {
		read += c.usage.total.readBytes
	}
	for _, traffic := range []*httpserve.Traffic{&r.workerTraffic, &r.userTraffic} {
		read -= traffic.RequestBytes.Load()
	}
	for _, traffic := range []*httpserve.Traffic{&r.commandTraffic, &r.storeTraffic, &r.cloudTraffic} {
		read -= traffic.ResponseBytes.Load()
	}
	return TrafficStats{RequestBytesPerS: perSecond(float64(max(0, read)), duration.Seconds())}
}

// newWaitStats summarizes a histogram of waits in milliseconds.
func newWaitStats(histogram *hdrhistogram.Histogram) WaitStats {
	quantile := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1000 }
	return WaitStats{Count: histogram.TotalCount(), P50: quantile(50), P90: quantile(90), P99: quantile(99), Max: float64(histogram.Max()) / 1000}
}
