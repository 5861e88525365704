package placement

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Requirements is what a task of a job asks of a machine.
type Requirements struct {
	Size  topology.Resources
	Types string // allowed machine types, joined
	Zone  string
	Spot  bool
}

// EquivalenceClass is what decides whether a job's tasks find room, apart from spread and failures: many
// jobs of a class share it.
type EquivalenceClass struct {
	Requirements
	OneZone     bool
	GangTasks   int // tasks that start together
	Priority    int
	WithinQuota bool
	Team        string
}

// Memo is what a pass has found not to fit. It is not tried again in that pass: room only
// shrinks.
type Memo struct {
	doesNotFit    map[EquivalenceClass]bool
	noVictims     map[EquivalenceClass]bool
	noMachineFits map[Requirements]bool
}

// NewMemo begins a pass.
func NewMemo() *Memo {
	return &Memo{doesNotFit: map[EquivalenceClass]bool{}, noVictims: map[EquivalenceClass]bool{}, noMachineFits: map[Requirements]bool{}}
}

// RecordFull notes whether there is no room for tasks of a shape.
func (m *Memo) RecordFull(s EquivalenceClass, full bool) { m.doesNotFit[s] = full }

// RecordMachineFits notes whether any machine has room for a task.
func (m *Memo) RecordMachineFits(n Requirements, room bool) { m.noMachineFits[n] = !room }

// RecordNoVictims notes whether there is nobody to stop for tasks of a shape.
func (m *Memo) RecordNoVictims(s EquivalenceClass, nobody bool) { m.noVictims[s] = nobody }

// MayFit tells whether it is worth looking for room for tasks of a shape.
func (m *Memo) MayFit(s EquivalenceClass) bool {
	return !m.doesNotFit[s] && !m.noMachineFits[s.Requirements]
}

// MachineMayFit tells whether a machine may have room for a task.
func (m *Memo) MachineMayFit(n Requirements) bool { return !m.noMachineFits[n] }

// MayPreempt tells whether there may be somebody to stop for tasks of a shape.
func (m *Memo) MayPreempt(s EquivalenceClass) bool { return !m.noVictims[s] }
