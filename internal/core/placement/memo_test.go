package placement

import "testing"

// TestMemo records what does not fit for one class; another class with the same requirements is
// only affected by what holds for every machine.
func TestMemo(t *testing.T) {
	task := Requirements{Types: "small"}
	class, sameTask := EquivalenceClass{Requirements: task, Priority: 1}, EquivalenceClass{Requirements: task, Priority: 2}
	memo := NewMemo()
	if !memo.MayFit(class) || !memo.MachineMayFit(task) || !memo.MayPreempt(class) {
		t.Error("a pass begins with something that does not fit")
	}
	memo.RecordFull(class, true)
	memo.RecordNoVictims(class, true)
	if memo.MayFit(class) || memo.MayPreempt(class) {
		t.Error("the class is tried again")
	}
	if !memo.MayFit(sameTask) || !memo.MayPreempt(sameTask) {
		t.Error("another class is not tried")
	}
	memo.RecordMachineFits(task, false)
	if memo.MayFit(sameTask) || memo.MachineMayFit(task) {
		t.Error("tried again though no machine holds a task")
	}
}
