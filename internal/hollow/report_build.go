package hollow

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/sim"
)

// Roles of processes in a report.
const (
	roleLeader   = "leader"
	roleFollower = "follower"
	roleStandIns = "stand-ins"
)

// noController is the index of the leader where there is none.
const noController = -1

// report makes the report of a run that took a time.
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
		Experiment: r.experiment.Name, Seconds: duration.Seconds(),
		Workers: counts.Workers, Tasks: counts.Tasks, Jobs: counts.UnfinishedJobs, Accepted: counts.AcceptedJobs,
		StartsSent: counts.Starts, ExpiredTasks: counts.ExpiredTasks,
		StoreKeys: counts.StoreKeys, StoreThrottled: counts.StoreThrottled,
		StoreChangesPerS: perSecond(float64(counts.StoreChanges), duration.Seconds()),
		Violations:       append([]string{}, counts.Violations...), History: r.history,
	}
	r.reportStarts(report, duration)
	r.reportProcesses(report, leader)
	r.reportChannels(report, duration)
	return report
}

// reportStarts reports the starts of tasks, how long they waited and the failovers.
func (r *runner) reportStarts(report *Report, duration time.Duration) {
	observer := r.observer
	report.StartsPeak = observer.peakStarts()
	report.StartsMean = perSecond(float64(observer.starts), duration.Seconds())
	report.Urgent = waitStats(observer.urgentWaits)
	report.Waits = map[string]WaitStats{}
	for class, histogram := range observer.waits {
		report.Waits[class] = waitStats(histogram)
	}
	report.FailoverStartS = []float64{}
	for _, failover := range observer.failoverTimes {
		report.FailoverStartS = append(report.FailoverStartS, failover.Seconds())
	}
	report.FailoversWithoutStart = observer.failoversWithoutStart
	if observer.killedTerm != 0 {
		report.FailoversWithoutStart++
	}
}

// reportProcesses reports what each process used.
func (r *runner) reportProcesses(report *Report, leader int) {
	for i, c := range r.controllers {
		role := roleFollower
		if i == leader {
			role = roleLeader
		}
		process := newProcessReport(c.name, role, &c.usage)
		process.Starts, process.UnexpectedEnds = c.startsAndEnds()
		report.Processes = append(report.Processes, process)
	}
	standIns := newProcessReport(roleStandIns, roleStandIns, &r.standInUsage)
	standIns.Starts = 1
	report.Processes = append(report.Processes, standIns)
}

func newProcessReport(name, role string, usage *processMeter) ProcessReport {
	return ProcessReport{
		Name: name, Role: role, Cores: usage.cores(), CoresSteady: usage.steadyCores(), CoresPeak: usage.peakCores,
		PeakMemoryMB: float64(usage.total.peakKB) / 1024, ReadBytesPerS: perSecond(float64(usage.total.readBytes), usage.seconds),
		WrittenBytesPerS: perSecond(float64(usage.total.writtenBytes), usage.seconds), Sockets: usage.total.sockets,
	}
}

// reportChannels reports the traffic of each channel.
func (r *runner) reportChannels(report *Report, duration time.Duration) {
	report.Channels = map[string]Channel{
		"workers' reports":    newChannel(&r.workerTraffic, duration),
		"direct commands":     newChannel(&r.commandTraffic, duration),
		"users":               newChannel(&r.userTraffic, duration),
		"state service":       newChannel(&r.storeTraffic, duration),
		"cloud":               newChannel(&r.cloudTraffic, duration),
		"between controllers": r.peerChannel(duration),
	}
}

func newChannel(traffic *httpserve.Traffic, duration time.Duration) Channel {
	s := duration.Seconds()
	return Channel{
		MessagesPerS: perSecond(float64(traffic.Requests.Load()), s),
		InBytesPerS:  perSecond(float64(traffic.RequestBytes.Load()), s), OutBytesPerS: perSecond(float64(traffic.ResponseBytes.Load()), s),
	}
}

// peerChannel is what the controllers sent each other: what they read, less what the stand-ins sent
// them. Its messages are not counted.
func (r *runner) peerChannel(duration time.Duration) Channel {
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
	return Channel{InBytesPerS: perSecond(float64(max(0, read)), duration.Seconds())}
}

// waitStats summarizes a histogram of milliseconds.
func waitStats(histogram *hdrhistogram.Histogram) WaitStats {
	quantile := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1000 }
	return WaitStats{Count: histogram.TotalCount(), P50: quantile(50), P90: quantile(90), P99: quantile(99), Max: float64(histogram.Max()) / 1000}
}
