package hollow

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/wire"
)

// Waits are counted in milliseconds up to an hour, with three significant digits.
const (
	longestWait   = int64(time.Hour / time.Millisecond)
	waitPrecision = 3
)

// observer records the starts of tasks and how long the tasks waited. It implements sim.Observer and is
// used with the world locked.
type observer struct {
	waits                 map[string]*hdrhistogram.Histogram // of first starts, by class
	urgentWaits           *hdrhistogram.Histogram            // of tasks of priority critical and urgent
	starts                int
	startsPerSecond       []int           // starts in each second of the run
	startsBefore          int             // before the current second
	killedAt              time.Duration   // when a leader was killed
	killedTerm            uint64          // of that leader; 0 once a start by a later one has followed
	failoverTimes         []time.Duration // from the kill of a leader to the next start by a later one
	failoversWithoutStart int             // kills that another one followed before a start
}

func newObserver() *observer {
	return &observer{waits: map[string]*hdrhistogram.Histogram{}, urgentWaits: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestWait, waitPrecision)
}

// TaskStarted counts a start.
func (o *observer) TaskStarted(start sim.TaskStart) {
	o.starts++
	if o.killedTerm != 0 && start.FencingToken > o.killedTerm {
		o.failoverTimes = append(o.failoverTimes, start.At-o.killedAt)
		o.killedTerm = 0
	}
	if !start.First {
		return
	}
	wait := min(start.Waited.Milliseconds(), longestWait)
	if o.waits[start.Class] == nil {
		o.waits[start.Class] = newHistogram()
	}
	record(o.waits[start.Class], wait)
	if start.Priority == wire.PriorityCritical || start.Priority == wire.PriorityUrgent {
		record(o.urgentWaits, wait)
	}
}

// record adds a wait that is within the histogram's range.
func record(histogram *hdrhistogram.Histogram, wait int64) {
	if err := histogram.RecordValue(wait); err != nil {
		panic(err)
	}
}

// recordLeaderKill records that a leader was killed, whose term was at most the given one.
func (o *observer) recordLeaderKill(at time.Duration, term uint64) {
	if o.killedTerm != 0 {
		o.failoversWithoutStart++
	}
	o.killedAt, o.killedTerm = at, max(term, 1)
}

// endSecond records the starts of one more second.
func (o *observer) endSecond() {
	o.startsPerSecond = append(o.startsPerSecond, o.starts-o.startsBefore)
	o.startsBefore = o.starts
}

// peakWindow is the number of seconds over which the peak rate of starts is averaged.
const peakWindow = 5

// peakStarts is the highest rate of starts over a few seconds.
func (o *observer) peakStarts() float64 {
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
