package hollow

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/wire"
)

// Waits are counted in milliseconds up to an hour, to three digits.
const (
	longestWait = int64(time.Hour / time.Millisecond)
	waitDigits  = 3
)

// observer counts the starts of tasks and how long they waited. It is used with the
// world locked.
type observer struct {
	waits       map[string]*hdrhistogram.Histogram // of first starts, by class
	urgent      *hdrhistogram.Histogram            // of classes of priority critical and urgent
	starts      int
	perSecond   []int // starts in each second of the run
	lastStarts  int
	killedAt    time.Duration // the last end of a leader that no start has followed
	killedTerm  uint64
	nextStarts  []time.Duration // from each leader's end to the next start
	interrupted int             // ends of leaders that no start followed
}

func newObserver() *observer {
	return &observer{waits: map[string]*hdrhistogram.Histogram{}, urgent: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestWait, waitDigits)
}

// Started counts a start.
func (o *observer) Started(s sim.Start) {
	o.starts++
	if o.killedTerm != 0 && s.Token > o.killedTerm {
		o.nextStarts = append(o.nextStarts, s.At-o.killedAt)
		o.killedTerm = 0
	}
	if !s.First {
		return
	}
	wait := min(s.Waited.Milliseconds(), longestWait)
	if o.waits[s.Class] == nil {
		o.waits[s.Class] = newHistogram()
	}
	o.waits[s.Class].RecordValue(wait)
	if s.Priority == wire.PriorityCritical || s.Priority == wire.PriorityUrgent {
		o.urgent.RecordValue(wait)
	}
}

// leaderKilled notes the end of a leader that led by a term at the most.
func (o *observer) leaderKilled(at time.Duration, term uint64) {
	if o.killedTerm != 0 {
		o.interrupted++
	}
	o.killedAt, o.killedTerm = at, max(term, 1)
}

// second notes the starts of one more second.
func (o *observer) second() {
	o.perSecond = append(o.perSecond, o.starts-o.lastStarts)
	o.lastStarts = o.starts
}

// peakWindow is over how many seconds the peak rate of starts is averaged.
const peakWindow = 5

// peakStarts is the highest rate of starts over a few seconds.
func (o *observer) peakStarts() float64 {
	best := 0
	for i := range o.perSecond {
		sum := 0
		for _, n := range o.perSecond[i:min(i+peakWindow, len(o.perSecond))] {
			sum += n
		}
		best = max(best, sum)
	}
	return float64(best) / peakWindow
}
