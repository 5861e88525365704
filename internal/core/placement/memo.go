package placement

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Requirements are what a task of a job requires of a machine.
type Requirements struct {
	Size  topology.Resources
	Types string // allowed machine types, joined into one string
	Zone  string // empty for any zone
	Spot  bool   // spot machines are allowed
}

// EquivalenceClass is all that decides whether the tasks of a job fit, except for spreading over
// zones and for machines on which the job failed. Many jobs share a class.
type EquivalenceClass struct {
	Requirements
	OneZone     bool
	GangTasks   int // tasks that start together; 0 if each starts separately
	Priority    int // priority level below which the job may preempt
	WithinQuota bool
	Team        string
}

// Memo caches the searches of a pass that found no fit. They need not be repeated in that pass,
// because free capacity only decreases during a pass.
type Memo struct {
	doesNotFit    map[EquivalenceClass]bool
	noVictims     map[EquivalenceClass]bool
	noMachineFits map[Requirements]bool
}

// NewMemo returns an empty memo for a new pass.
func NewMemo() *Memo {
	return &Memo{
		doesNotFit:    map[EquivalenceClass]bool{},
		noVictims:     map[EquivalenceClass]bool{},
		noMachineFits: map[Requirements]bool{},
	}
}

// RecordDoesNotFit records whether the search for machines for tasks of a class failed.
func (m *Memo) RecordDoesNotFit(class EquivalenceClass, failed bool) { m.doesNotFit[class] = failed }

// RecordAnyMachineFits records whether a task fits on any machine.
func (m *Memo) RecordAnyMachineFits(task Requirements, fits bool) { m.noMachineFits[task] = !fits }

// RecordNoVictims records whether preemption for tasks of a class failed.
func (m *Memo) RecordNoVictims(class EquivalenceClass, none bool) { m.noVictims[class] = none }

// MayFit reports whether a search for machines for tasks of a class may still succeed.
func (m *Memo) MayFit(class EquivalenceClass) bool {
	return !m.doesNotFit[class] && !m.noMachineFits[class.Requirements]
}

// AnyMachineMayFit reports whether a task may fit on any machine.
func (m *Memo) AnyMachineMayFit(task Requirements) bool { return !m.noMachineFits[task] }

// MayPreempt reports whether preemption for tasks of a class may still succeed.
func (m *Memo) MayPreempt(class EquivalenceClass) bool { return !m.noVictims[class] }
