package placement

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Requirements is what a task of a job requires of a machine.
type Requirements struct {
	Size  topology.Resources
	Types string // allowed machine types, joined
	Zone  string // empty for any
	Spot  bool   // spot machines are allowed
}

// EquivalenceClass is what decides whether the tasks of a job fit, apart from spreading over zones
// and failures. Many jobs share one.
type EquivalenceClass struct {
	Requirements
	OneZone     bool
	GangTasks   int // tasks that start together; 0 if each starts separately
	Priority    int // level with which the job may preempt
	WithinQuota bool
	Team        string
}

// Memo remembers what a pass has found not to fit. It is not tried again in that pass: free
// capacity only shrinks.
type Memo struct {
	doesNotFit    map[EquivalenceClass]bool
	noVictims     map[EquivalenceClass]bool
	noMachineFits map[Requirements]bool
}

// NewMemo begins a pass.
func NewMemo() *Memo {
	return &Memo{
		doesNotFit:    map[EquivalenceClass]bool{},
		noVictims:     map[EquivalenceClass]bool{},
		noMachineFits: map[Requirements]bool{},
	}
}

// RecordFull records whether there is no room for tasks of a class.
func (m *Memo) RecordFull(class EquivalenceClass, full bool) { m.doesNotFit[class] = full }

// RecordMachineFits records whether any machine holds a task.
func (m *Memo) RecordMachineFits(task Requirements, fits bool) { m.noMachineFits[task] = !fits }

// RecordNoVictims records whether nothing may be preempted for tasks of a class.
func (m *Memo) RecordNoVictims(class EquivalenceClass, none bool) { m.noVictims[class] = none }

// MayFit reports whether a search for machines for tasks of a class may succeed.
func (m *Memo) MayFit(class EquivalenceClass) bool {
	return !m.doesNotFit[class] && !m.noMachineFits[class.Requirements]
}

// MachineMayFit reports whether a machine may hold a task.
func (m *Memo) MachineMayFit(task Requirements) bool { return !m.noMachineFits[task] }

// MayPreempt reports whether there may be something to preempt for tasks of a class.
func (m *Memo) MayPreempt(class EquivalenceClass) bool { return !m.noVictims[class] }
