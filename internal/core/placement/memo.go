package placement

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Needs is what a task of a job asks of a machine.
type Needs struct {
	Size  topology.Resources
	Types string // allowed machine types, joined
	Zone  string
	Spot  bool
}

// Shape is what decides whether a job's tasks find room, apart from spread and failures: many
// jobs of a class share it.
type Shape struct {
	Needs
	OneZone    bool
	Gang       int // tasks that start together
	Rank       int
	Guaranteed bool
	Team       string
}

// Memo is what a pass has found not to fit. It is not tried again in that pass: room only
// shrinks.
type Memo struct {
	full      map[Shape]bool
	noVictims map[Shape]bool
	noMachine map[Needs]bool
}

// NewMemo begins a pass.
func NewMemo() *Memo {
	return &Memo{full: map[Shape]bool{}, noVictims: map[Shape]bool{}, noMachine: map[Needs]bool{}}
}

// NoteFull notes whether there is no room for tasks of a shape.
func (m *Memo) NoteFull(s Shape, full bool) { m.full[s] = full }

// NoteMachine notes whether any machine has room for a task.
func (m *Memo) NoteMachine(n Needs, room bool) { m.noMachine[n] = !room }

// NoteVictims notes whether there is nobody to stop for tasks of a shape.
func (m *Memo) NoteVictims(s Shape, nobody bool) { m.noVictims[s] = nobody }

// MayFit tells whether it is worth looking for room for tasks of a shape.
func (m *Memo) MayFit(s Shape) bool { return !m.full[s] && !m.noMachine[s.Needs] }

// MachineMayFit tells whether a machine may have room for a task.
func (m *Memo) MachineMayFit(n Needs) bool { return !m.noMachine[n] }

// MayPreempt tells whether there may be somebody to stop for tasks of a shape.
func (m *Memo) MayPreempt(s Shape) bool { return !m.noVictims[s] }
