// Package queue orders waiting tasks: fair among tenants by weight, then among a tenant's classes, then by deadline.
package queue

import (
	"container/heap"
	"time"
)

// Item is one waiting task. Within a class items go by deadline, then by
// Group (lower first), then by Cost (larger first).
type Item[V any] struct {
	Tenant       string
	Class        string
	TenantWeight float64 // weight of the tenant
	ClassWeight  float64 // weight of the class
	Deadline     time.Time
	JobNumber    int64
	Cost         float64 // seconds
	Value        V
}

type itemHeap[V any] []Item[V]

func (h itemHeap[V]) Len() int      { return len(h) }
func (h itemHeap[V]) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h itemHeap[V]) Less(a, b int) bool {
	if !h[a].Deadline.Equal(h[b].Deadline) {
		return h[a].Deadline.Before(h[b].Deadline)
	}
	if h[a].JobNumber != h[b].JobNumber {
		return h[a].JobNumber < h[b].JobNumber
	}
	return h[a].Cost > h[b].Cost
}

// Push is for container/heap.
func (h *itemHeap[V]) Push(x any) { *h = append(*h, x.(Item[V])) }

// Pop is for container/heap.
func (h *itemHeap[V]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	var zero Item[V]
	(*h)[last] = zero
	*h = (*h)[:last]
	return item
}

// flow is one class of one tenant.
type flow[V any] struct {
	items    itemHeap[V]
	startTag float64 // virtual time
}

type tenant[V any] struct {
	flows       map[string]*flow[V]
	startTag    float64
	virtualTime float64 // virtual time of the class served last
	count       int
}

// Queue is start-time fair queueing on two levels. It is not safe for
// concurrent use; its holder locks.
type Queue[V any] struct {
	tenants     map[string]*tenant[V]
	virtualTime float64
	count       int
}

// New makes an empty queue.
func New[V any]() *Queue[V] { return &Queue[V]{tenants: map[string]*tenant[V]{}} }

// Len counts the waiting items.
func (q *Queue[V]) Len() int { return q.count }

// Requeue puts an item back that Pop gave and that was not started: the tenant
// and class are not charged for it.
func (q *Queue[V]) Requeue(item Item[V]) {
	q.Push(item)
	t := q.tenants[item.Tenant]
	f := t.flows[item.Class]
	t.startTag -= item.Cost / max(item.TenantWeight, minWeight)
	f.startTag -= item.Cost / max(item.ClassWeight, minWeight)
	q.virtualTime = min(q.virtualTime, t.startTag)
	t.virtualTime = min(t.virtualTime, f.startTag)
}

// leastWeight keeps a weight of zero from dividing.
const minWeight = 1e-6

// Push adds an item. A tenant that was idle starts at the present virtual time,
// so it can neither save up turns nor be made to wait for them.
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

// Pop takes the next item by fairness and order.
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

// prune forgets idle flows and tenants that are not ahead of their turn.
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

func (q *Queue[V]) nextTenant() *tenant[V] {
	var best *tenant[V]
	for _, t := range q.tenants {
		if t.count > 0 && (best == nil || t.startTag < best.startTag) {
			best = t
		}
	}
	return best
}

func (t *tenant[V]) nextFlow() *flow[V] {
	var best *flow[V]
	for _, f := range t.flows {
		if len(f.items) > 0 && (best == nil || f.startTag < best.startTag) {
			best = f
		}
	}
	return best
}
