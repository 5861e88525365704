package hollow

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/wire"
)

// Histograms of waits count milliseconds with three significant digits. A longer wait than
// maxWaitMS, an hour, counts as an hour.
const (
	maxWaitMS         = int64(time.Hour / time.Millisecond)
	significantDigits = 3
)

// observer records the starts of tasks, how long the tasks waited and how long failovers took. It
// implements sim.Observer and is used with the simulation locked.
type observer struct {
	waits                 map[string]*hdrhistogram.Histogram // until the first start of each task, by class
	urgentWaits           *hdrhistogram.Histogram            // of tasks with priority critical or urgent
	starts                int
	startsPerSecond       []int           // starts in each past second of the run
	startsBeforeSecond    int             // starts before the current second
	killedAt              time.Duration   // when the last leader was killed
	killedTerm            uint64          // highest fencing token of that leader; 0 if no failover is open
	failoverTimes         []time.Duration // from a leader's kill to the first task start by a later leader
	failoversWithoutStart int             // kills after which no later leader started a task before the next kill
}

func newObserver() *observer {
	return &observer{waits: map[string]*hdrhistogram.Histogram{}, urgentWaits: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxWaitMS, significantDigits)
}

// TaskStarted records the start of a task. A start with a fencing token above killedTerm ends the
// failover.
func (o *observer) TaskStarted(start sim.TaskStart) {
	o.starts++
	if o.killedTerm != 0 && start.FencingToken > o.killedTerm {
		o.failoverTimes = append(o.failoverTimes, start.At-o.killedAt)
		o.killedTerm = 0
	}
	if !start.First {
		return
	}
	wait := min(start.Waited.Milliseconds(), maxWaitMS)
	if o.waits[start.Class] == nil {
		o.waits[start.Class] = newHistogram()
	}
	recordWait(o.waits[start.Class], wait)
	if start.Priority == wire.PriorityCritical || start.Priority == wire.PriorityUrgent {
		recordWait(o.urgentWaits, wait)
	}
}

// recordWait adds a wait in milliseconds, which must be within the histogram's range.
func recordWait(histogram *hdrhistogram.Histogram, wait int64) {
	if err := histogram.RecordValue(wait); err != nil {
		panic(err)
	}
}

// recordLeaderKill records that a leader was killed. term is the highest fencing token of the latest
// term, 0 before the first; it counts as at least 1 because a killedTerm of 0 means that no
// failover is open.
func (o *observer) recordLeaderKill(at time.Duration, term uint64) {
	if o.killedTerm != 0 {
		o.failoversWithoutStart++
	}
	o.killedAt, o.killedTerm = at, max(term, 1)
}

// endSecond records the number of starts in the second that has just ended.
func (o *observer) endSecond() {
	o.startsPerSecond = append(o.startsPerSecond, o.starts-o.startsBeforeSecond)
	o.startsBeforeSecond = o.starts
}

// peakWindow is the number of seconds over which the peak rate of starts is averaged.
const peakWindow = 5

// peakStartRate returns the highest mean number of starts per second over peakWindow seconds.
func (o *observer) peakStartRate() float64 {
	highest := 0
	for i := range o.startsPerSecond {
		sum := 0
		for _, starts := range o.startsPerSecond[i:min(i+peakWindow, len(o.startsPerSecond))] {
			sum += starts
		}
		highest = max(highest, sum)
	}
	return float64(highest) / peakWindow
}
