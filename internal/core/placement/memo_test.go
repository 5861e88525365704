package placement

import "testing"

// TestMemo checks that failures recorded for one class do not affect another class with the same
// requirements, while a task that fits on no machine affects both.
func TestMemo(t *testing.T) {
	task := Requirements{Types: "small"}
	class, sameTask := EquivalenceClass{Requirements: task, Priority: 1}, EquivalenceClass{Requirements: task, Priority: 2}
	memo := NewMemo()
	if !memo.MayFit(class) || !memo.AnyMachineMayFit(task) || !memo.MayPreempt(class) {
		t.Error("new memo: MayFit, AnyMachineMayFit or MayPreempt is false, want all true")
	}
	memo.RecordDoesNotFit(class, true)
	memo.RecordNoVictims(class, true)
	if memo.MayFit(class) || memo.MayPreempt(class) {
		t.Error("class recorded as not fitting and without victims: MayFit or MayPreempt is true, want both false")
	}
	if !memo.MayFit(sameTask) || !memo.MayPreempt(sameTask) {
		t.Error("another class with the same requirements: MayFit or MayPreempt is false, want both true")
	}
	memo.RecordAnyMachineFits(task, false)
	if memo.MayFit(sameTask) || memo.AnyMachineMayFit(task) {
		t.Error("task that fits on no machine: MayFit or AnyMachineMayFit is true, want both false")
	}
}
