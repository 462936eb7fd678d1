// Package window keeps the keys of a bounded stretch of time and refuses older ones whether or not it saw them.
package window

import (
	"fmt"
	"sync"
	"time"
)

// Options of a window. Now must not go backwards (a monotonic clock).
type Options struct {
	Width   time.Duration // of one slot
	Slots   int           // slots kept
	Entries int           // keys kept at most
	Now     func() time.Time
}

// ExpiredError is a key whose slot has left the window.
type ExpiredError struct{ Slot, Oldest int64 }

// Error names the slots.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("key slot %d is older than the oldest kept slot %d", e.Slot, e.Oldest)
}

// FutureError is a key whose slot has not begun, so this process never gave it out.
type FutureError struct{ Slot, Newest int64 }

// Error names the slots.
func (e *FutureError) Error() string {
	return fmt.Sprintf("key slot %d has not begun, the newest is %d", e.Slot, e.Newest)
}

// FullError is a window that holds as many keys as it may.
type FullError struct{ Entries int }

// Error names the bound.
func (e *FullError) Error() string { return fmt.Sprintf("key window is full at %d keys", e.Entries) }

// Window maps keys to values by slot; a slot is forgotten as a whole.
type Window[V any] struct {
	options Options
	start   time.Time

	mu     sync.Mutex
	slots  map[int64]map[string]V
	oldest int64
	count  int
}

// New makes an empty window whose slot 0 begins now.
func New[V any](options Options) *Window[V] {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Width == 0 {
		options.Width = 10 * time.Second
	}
	if options.Slots == 0 {
		options.Slots = 60
	}
	if options.Entries == 0 {
		options.Entries = 500_000
	}
	return &Window[V]{options: options, start: options.Now(), slots: map[int64]map[string]V{}}
}

// Slot is the number of the present slot.
func (w *Window[V]) Slot() int64 {
	return int64(w.options.Now().Sub(w.start) / w.options.Width)
}

// Len counts the keys held.
func (w *Window[V]) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

// Claim finds the value of a key or makes it, and tells whether it was made.
// Errors: *ExpiredError, *FutureError, *FullError; nothing is made then.
func (w *Window[V]) Claim(slot int64, key string, build func() V) (V, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var none V
	if err := w.check(slot); err != nil {
		return none, false, err
	}
	if value, ok := w.slots[slot][key]; ok {
		return value, false, nil
	}
	if w.count >= w.options.Entries {
		return none, false, &FullError{Entries: w.options.Entries}
	}
	if w.slots[slot] == nil {
		w.slots[slot] = map[string]V{}
	}
	value := build()
	w.slots[slot][key] = value
	w.count++
	return value, true, nil
}

// Get finds the value of a key. The errors are those of Claim.
func (w *Window[V]) Get(slot int64, key string) (V, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var none V
	if err := w.check(slot); err != nil {
		return none, false, err
	}
	value, ok := w.slots[slot][key]
	return value, ok, nil
}

// Remove takes a key out again if same says that its value is the one meant.
// It tells whether the key was taken out.
func (w *Window[V]) Remove(slot int64, key string, same func(V) bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	value, ok := w.slots[slot][key]
	if !ok || !same(value) {
		return false
	}
	delete(w.slots[slot], key)
	w.count--
	return true
}

func (w *Window[V]) check(slot int64) error {
	newest := w.Slot()
	w.forget(newest - int64(w.options.Slots) + 1)
	if slot > newest {
		return &FutureError{Slot: slot, Newest: newest}
	}
	if slot < w.oldest {
		return &ExpiredError{Slot: slot, Oldest: w.oldest}
	}
	return nil
}

// forget drops whole slots below oldest; it never goes back.
func (w *Window[V]) forget(oldest int64) {
	if oldest <= w.oldest {
		return
	}
	for slot, keys := range w.slots {
		if slot < oldest {
			w.count -= len(keys)
			delete(w.slots, slot)
		}
	}
	w.oldest = oldest
}
