package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func item(tenant, class string, weight, cost float64) Item[string] {
	return Item[string]{Tenant: tenant, Class: class, TenantWeight: weight, ClassWeight: 1, Cost: cost, Value: tenant + class}
}

// TestSharesFollowWeights checks that tenants which all have waiting items are served
// in proportion to their weights, also when popped items are put back.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string]()
		weights := map[string]float64{}
		for i := range rapid.IntRange(2, 6).Draw(t, "tenants") {
			name := fmt.Sprint("t", i)
			weights[name] = float64(rapid.IntRange(1, 5).Draw(t, "weight"))
			for range 400 {
				q.Push(item(name, "c", weights[name], rapid.Float64Range(0.01, 0.1).Draw(t, "cost")))
			}
		}
		served := map[string]float64{}
		for range 200 {
			next, _ := q.Pop()
			if rapid.Bool().Draw(t, "returned") {
				q.Requeue(next)
				continue
			}
			served[next.Tenant] += next.Cost
		}
		for a, wa := range weights {
			for b, wb := range weights {
				if gap := served[a]/wa - served[b]/wb; gap > 0.21 {
					t.Fatalf("tenant %s got %.3f s more work per weight than %s", a, gap, b)
				}
			}
		}
	})
}

// TestIdleTenantGainsNoCredit guards against a tenant that starts late and then takes
// all turns until it has caught up with one served before.
func TestIdleTenantGainsNoCredit(t *testing.T) {
	q := New[string]()
	for range 100 {
		q.Push(item("busy", "c", 1, 1))
	}
	for range 50 {
		q.Pop()
	}
	for range 100 {
		q.Push(item("late", "c", 1, 1))
	}
	late := 0
	for range 20 {
		if next, _ := q.Pop(); next.Tenant == "late" {
			late++
		}
	}
	if late < 9 || late > 11 {
		t.Fatalf("the late tenant got %d of 20 items, want about 10", late)
	}
}

// TestOrderWithinAClass checks the order by due time, job number and cost.
func TestOrderWithinAClass(t *testing.T) {
	q := New[string]()
	soon, later := time.Unix(1, 0), time.Unix(2, 0)
	for i, it := range []Item[string]{
		{DueTime: later, JobNumber: 1, Cost: 9},
		{DueTime: soon, JobNumber: 2, Cost: 1},
		{DueTime: soon, JobNumber: 2, Cost: 5},
		{DueTime: soon, JobNumber: 1, Cost: 1},
	} {
		it.TenantWeight, it.ClassWeight, it.Value = 1, 1, fmt.Sprint(i)
		q.Push(it)
	}
	order := ""
	for q.Len() > 0 {
		next, _ := q.Pop()
		order += next.Value
	}
	if order != "3210" {
		t.Fatalf("items were served in the order %s, want 3210", order)
	}
}
