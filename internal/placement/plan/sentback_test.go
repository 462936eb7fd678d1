package plan

import (
	"testing"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestJobThatComesBackIsNotMovedAgain moves a job that finds no room to another group, which sends it
// back: this group has started it before, under a holder that was lost. The answer must not be the earlier
// result, since the two groups would pass the job to each other until its client has left.
func TestJobThatComesBackIsNotMovedAgain(t *testing.T) {
	p := fencedPlan(testWorker("w1", 1))
	p.Admit(testJob("00000000000000aa", 1, after(2000)), nil, after(2000)) // fills the worker
	p.SetOtherFreeSlots(map[string]int{"b": 40})
	b := testJob("00000000000000bb", 1, after(2010))
	p.Admit(b, nil, after(2010))
	moved := func() int {
		count := 0
		for _, o := range ordersOfKind(p.Orders(), DeliverResult) {
			if o.Batch.ID == b.ID && o.Result.State == batch.Moved {
				count++
			}
		}
		return count
	}
	if moved() != 1 {
		t.Fatal("the job was not moved")
	}
	back := *b
	back.StartedHere, back.MaybeStarted = true, true
	p.Admit(&back, nil, after(2020))
	if moved() != 0 {
		t.Error("the job was moved to the group that has sent it back")
	}
}
