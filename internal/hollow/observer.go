package hollow

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/wire"
)

// Waits are counted in milliseconds up to an hour, to three digits.
const (
	longestWait   = int64(time.Hour / time.Millisecond)
	waitPrecision = 3
)

// observer counts the starts of tasks and how long they waited. It is used with the
// world locked.
type observer struct {
	waits                 map[string]*hdrhistogram.Histogram // of first starts, by class
	urgentWaits           *hdrhistogram.Histogram            // of classes of priority critical and urgent
	starts                int
	startsPerSecond       []int // starts in each second of the run
	startsBefore          int
	killedAt              time.Duration // the last end of a leader that no start has followed
	killedTerm            uint64
	failoverTimes         []time.Duration // from each leader's end to the next start
	failoversWithoutStart int             // ends of leaders that no start followed
}

func newObserver() *observer {
	return &observer{waits: map[string]*hdrhistogram.Histogram{}, urgentWaits: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestWait, waitPrecision)
}

// Started counts a start.
func (o *observer) Started(start sim.TaskStart) {
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
	o.waits[start.Class].RecordValue(wait)
	if start.Priority == wire.PriorityCritical || start.Priority == wire.PriorityUrgent {
		o.urgentWaits.RecordValue(wait)
	}
}

// recordLeaderKill notes the end of a leader that led by a term at the most.
func (o *observer) recordLeaderKill(at time.Duration, term uint64) {
	if o.killedTerm != 0 {
		o.failoversWithoutStart++
	}
	o.killedAt, o.killedTerm = at, max(term, 1)
}

// endSecond notes the starts of one more second.
func (o *observer) endSecond() {
	o.startsPerSecond = append(o.startsPerSecond, o.starts-o.startsBefore)
	o.startsBefore = o.starts
}

// peakWindow is over how many seconds the peak rate of starts is averaged.
const peakWindow = 5

// peakStarts is the highest rate of starts over a few seconds.
func (o *observer) peakStarts() float64 {
	best := 0
	for i := range o.startsPerSecond {
		sum := 0
		for _, n := range o.startsPerSecond[i:min(i+peakWindow, len(o.startsPerSecond))] {
			sum += n
		}
		best = max(best, sum)
	}
	return float64(best) / peakWindow
}
