package placement

import "testing"

// TestMemo checks that failures recorded for one class do not affect another class with the same
// requirements, while a task that fits on no machine affects both.
func TestMemo(t *testing.T) {
	task := Requirements{Types: "small"}
	class, sameTask := EquivalenceClass{Requirements: task, Priority: 1}, EquivalenceClass{Requirements: task, Priority: 2}
	memo := NewMemo()
	if !memo.MayFit(class) || !memo.MachineMayFit(task) || !memo.MayPreempt(class) {
		t.Errorf("new memo: MayFit %v, MachineMayFit %v, MayPreempt %v; want all true", memo.MayFit(class), memo.MachineMayFit(task), memo.MayPreempt(class))
	}
	memo.RecordFull(class, true)
	memo.RecordNoVictims(class, true)
	if memo.MayFit(class) || memo.MayPreempt(class) {
		t.Errorf("class recorded as full and without victims: MayFit %v, MayPreempt %v; want false", memo.MayFit(class), memo.MayPreempt(class))
	}
	if !memo.MayFit(sameTask) || !memo.MayPreempt(sameTask) {
		t.Errorf("another class with the same requirements: MayFit %v, MayPreempt %v; want true", memo.MayFit(sameTask), memo.MayPreempt(sameTask))
	}
	memo.RecordMachineFits(task, false)
	if memo.MayFit(sameTask) || memo.MachineMayFit(task) {
		t.Errorf("task that fits on no machine: MayFit %v, MachineMayFit %v; want false", memo.MayFit(sameTask), memo.MachineMayFit(task))
	}
}
