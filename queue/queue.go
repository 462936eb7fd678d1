// Package queue orders waiting tasks by weighted fair queueing among tenants, then among the classes of a tenant, and by due time within a class.
package queue

import (
	"container/heap"
	"time"
)

// Item is a waiting task. Items of one class of a tenant are ordered by
// DueTime, then by JobNumber (lower first), then by Cost (higher first).
type Item[V any] struct {
	Tenant       string
	Class        string
	TenantWeight float64
	ClassWeight  float64
	DueTime      time.Time
	JobNumber    int64
	Cost         float64 // estimated run time in seconds
	Value        V
}

// itemHeap implements heap.Interface for the items of a flow.
type itemHeap[V any] []Item[V]

func (h itemHeap[V]) Len() int      { return len(h) }
func (h itemHeap[V]) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h itemHeap[V]) Less(a, b int) bool {
	if !h[a].DueTime.Equal(h[b].DueTime) {
		return h[a].DueTime.Before(h[b].DueTime)
	}
	if h[a].JobNumber != h[b].JobNumber {
		return h[a].JobNumber < h[b].JobNumber
	}
	return h[a].Cost > h[b].Cost
}

// Push implements heap.Interface.
func (h *itemHeap[V]) Push(x any) { *h = append(*h, x.(Item[V])) }

// Pop implements heap.Interface.
func (h *itemHeap[V]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	var zero Item[V]
	(*h)[last] = zero
	*h = (*h)[:last]
	return item
}

// flow holds the waiting items of one class of one tenant.
type flow[V any] struct {
	items    itemHeap[V]
	startTag float64 // virtual time at which the next item starts
}

// tenant holds the flows of one tenant. An idle flow is kept while it is ahead of the
// virtual time.
type tenant[V any] struct {
	flows       map[string]*flow[V]
	startTag    float64
	virtualTime float64 // start tag of the class served last
	count       int
}

// Queue implements start-time fair queueing on two levels: among tenants, and
// among the classes of each tenant. It is not safe for concurrent use.
type Queue[V any] struct {
	tenants     map[string]*tenant[V]
	virtualTime float64 // start tag of the tenant served last
	count       int
}

// New returns an empty queue.
func New[V any]() *Queue[V] { return &Queue[V]{tenants: map[string]*tenant[V]{}} }

// Len returns the number of waiting items.
func (q *Queue[V]) Len() int { return q.count }

// Requeue puts back an item that Pop returned and that was not started. It
// refunds the cost that Pop charged to the tenant and the class.
func (q *Queue[V]) Requeue(item Item[V]) {
	q.Push(item)
	t := q.tenants[item.Tenant]
	f := t.flows[item.Class]
	t.startTag -= item.Cost / max(item.TenantWeight, minWeight)
	f.startTag -= item.Cost / max(item.ClassWeight, minWeight)
	q.virtualTime = min(q.virtualTime, t.startTag)
	t.virtualTime = min(t.virtualTime, f.startTag)
}

// minWeight replaces lower weights, to avoid division by zero.
const minWeight = 1e-6

// Push adds an item. The start tag of an idle tenant or class advances to the
// current virtual time, so that it gains no credit while idle. One that is ahead
// of the virtual time keeps its start tag.
func (q *Queue[V]) Push(item Item[V]) {
	t, ok := q.tenants[item.Tenant]
	if !ok {
		t = &tenant[V]{flows: map[string]*flow[V]{}, startTag: q.virtualTime}
		q.tenants[item.Tenant] = t
	}
	if t.count == 0 {
		t.startTag = max(t.startTag, q.virtualTime)
	}
	f, ok := t.flows[item.Class]
	if !ok {
		f = &flow[V]{startTag: t.virtualTime}
		t.flows[item.Class] = f
	}
	if len(f.items) == 0 {
		f.startTag = max(f.startTag, t.virtualTime)
	}
	heap.Push(&f.items, item)
	t.count++
	q.count++
}

// Pop removes and returns the next item and charges its cost to the tenant and
// the class. It returns false if the queue is empty.
func (q *Queue[V]) Pop() (Item[V], bool) {
	t := q.nextTenant()
	if t == nil {
		var zero Item[V]
		return zero, false
	}
	f := t.nextFlow()
	item := heap.Pop(&f.items).(Item[V])
	q.virtualTime = t.startTag
	t.virtualTime = f.startTag
	t.startTag += item.Cost / max(item.TenantWeight, minWeight)
	f.startTag += item.Cost / max(item.ClassWeight, minWeight)
	t.count--
	q.count--
	q.prune(item, t, f)
	return item, true
}

// prune removes the flow of item if it is idle and not ahead of the virtual time
// of the tenant. When the queue is empty, it removes all tenants and resets the
// virtual time.
func (q *Queue[V]) prune(item Item[V], t *tenant[V], f *flow[V]) {
	if len(f.items) == 0 && f.startTag <= t.virtualTime {
		delete(t.flows, item.Class)
	}
	if q.count > 0 {
		return
	}
	q.tenants = map[string]*tenant[V]{}
	q.virtualTime = 0
}

// nextTenant returns the tenant with waiting items and the lowest start tag, or nil.
func (q *Queue[V]) nextTenant() *tenant[V] {
	var best *tenant[V]
	for _, t := range q.tenants {
		if t.count > 0 && (best == nil || t.startTag < best.startTag) {
			best = t
		}
	}
	return best
}

// nextFlow returns the flow with waiting items and the lowest start tag, or nil.
func (t *tenant[V]) nextFlow() *flow[V] {
	var best *flow[V]
	for _, f := range t.flows {
		if len(f.items) > 0 && (best == nil || f.startTag < best.startTag) {
			best = f
		}
	}
	return best
}
