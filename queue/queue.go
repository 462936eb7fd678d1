// Package queue orders waiting tasks: fair among tenants by weight, then among a tenant's classes, then by deadline.
package queue

import (
	"container/heap"
	"time"
)

// Item is one waiting task. Within a class items go by deadline, then by
// Group (lower first), then by Cost (larger first).
type Item[V any] struct {
	Tenant   string
	Class    string
	Share    float64 // weight of the tenant
	Weight   float64 // weight of the class
	Deadline time.Time
	Group    int64
	Cost     float64 // seconds
	Value    V
}

type items[V any] []Item[V]

func (h items[V]) Len() int      { return len(h) }
func (h items[V]) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h items[V]) Less(a, b int) bool {
	if !h[a].Deadline.Equal(h[b].Deadline) {
		return h[a].Deadline.Before(h[b].Deadline)
	}
	if h[a].Group != h[b].Group {
		return h[a].Group < h[b].Group
	}
	return h[a].Cost > h[b].Cost
}

// Push is for container/heap.
func (h *items[V]) Push(x any) { *h = append(*h, x.(Item[V])) }

// Pop is for container/heap.
func (h *items[V]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	var none Item[V]
	(*h)[last] = none
	*h = (*h)[:last]
	return item
}

// flow is one class of one tenant.
type flow[V any] struct {
	items  items[V]
	served float64 // virtual time
}

type tenant[V any] struct {
	flows  map[string]*flow[V]
	served float64
	turn   float64 // virtual time of the class served last
	count  int
}

// Queue is start-time fair queueing on two levels. It is not safe for
// concurrent use; its holder locks.
type Queue[V any] struct {
	tenants map[string]*tenant[V]
	turn    float64
	count   int
}

// New makes an empty queue.
func New[V any]() *Queue[V] { return &Queue[V]{tenants: map[string]*tenant[V]{}} }

// Len counts the waiting items.
func (q *Queue[V]) Len() int { return q.count }

// Return puts an item back that Pop gave and that was not started: the tenant
// and class are not charged for it.
func (q *Queue[V]) Return(item Item[V]) {
	q.Push(item)
	t := q.tenants[item.Tenant]
	f := t.flows[item.Class]
	t.served -= item.Cost / max(item.Share, leastWeight)
	f.served -= item.Cost / max(item.Weight, leastWeight)
	q.turn = min(q.turn, t.served)
	t.turn = min(t.turn, f.served)
}

// leastWeight keeps a weight of zero from dividing.
const leastWeight = 1e-6

// Push adds an item. A tenant that was idle starts at the present virtual time,
// so it can neither save up turns nor be made to wait for them.
func (q *Queue[V]) Push(item Item[V]) {
	t, ok := q.tenants[item.Tenant]
	if !ok {
		t = &tenant[V]{flows: map[string]*flow[V]{}, served: q.turn}
		q.tenants[item.Tenant] = t
	}
	if t.count == 0 {
		t.served = max(t.served, q.turn)
	}
	f, ok := t.flows[item.Class]
	if !ok {
		f = &flow[V]{served: t.turn}
		t.flows[item.Class] = f
	}
	if len(f.items) == 0 {
		f.served = max(f.served, t.turn)
	}
	heap.Push(&f.items, item)
	t.count++
	q.count++
}

// Pop takes the next item by fairness and order.
func (q *Queue[V]) Pop() (Item[V], bool) {
	t := q.next()
	if t == nil {
		var none Item[V]
		return none, false
	}
	f := t.next()
	item := heap.Pop(&f.items).(Item[V])
	q.turn = t.served
	t.turn = f.served
	t.served += item.Cost / max(item.Share, leastWeight)
	f.served += item.Cost / max(item.Weight, leastWeight)
	t.count--
	q.count--
	q.prune(item, t, f)
	return item, true
}

// prune forgets idle flows and tenants that are not ahead of their turn.
func (q *Queue[V]) prune(item Item[V], t *tenant[V], f *flow[V]) {
	if len(f.items) == 0 && f.served <= t.turn {
		delete(t.flows, item.Class)
	}
	if q.count > 0 {
		return
	}
	q.tenants = map[string]*tenant[V]{}
	q.turn = 0
}

func (q *Queue[V]) next() *tenant[V] {
	var best *tenant[V]
	for _, t := range q.tenants {
		if t.count > 0 && (best == nil || t.served < best.served) {
			best = t
		}
	}
	return best
}

func (t *tenant[V]) next() *flow[V] {
	var best *flow[V]
	for _, f := range t.flows {
		if len(f.items) > 0 && (best == nil || f.served < best.served) {
			best = f
		}
	}
	return best
}
