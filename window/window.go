// Package window keeps the keys of a bounded stretch of time and refuses older ones whether or not it saw them.
package window

import (
	"fmt"
	"sync"
	"time"
)

// Options of a window. Now must not go backwards (a monotonic clock).
type Options struct {
	SlotWidth time.Duration // of one slot
	Slots     int           // slots kept
	MaxKeys   int           // keys kept at most
	Now       func() time.Time
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
type FullError struct{ MaxKeys int }

// Error names the bound.
func (e *FullError) Error() string { return fmt.Sprintf("key window is full at %d keys", e.MaxKeys) }

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
	if options.SlotWidth == 0 {
		options.SlotWidth = 10 * time.Second
	}
	if options.Slots == 0 {
		options.Slots = 60
	}
	if options.MaxKeys == 0 {
		options.MaxKeys = 500_000
	}
	return &Window[V]{options: options, start: options.Now(), slots: map[int64]map[string]V{}}
}

// CurrentSlot is the number of the present slot.
func (w *Window[V]) CurrentSlot() int64 {
	return int64(w.options.Now().Sub(w.start) / w.options.SlotWidth)
}

// Len counts the keys held.
func (w *Window[V]) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

// GetOrCreate finds the value of a key or makes it, and tells whether it was made.
// Errors: *ExpiredError, *FutureError, *FullError; nothing is made then.
func (w *Window[V]) GetOrCreate(slot int64, key string, create func() V) (V, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var zero V
	if err := w.checkSlot(slot); err != nil {
		return zero, false, err
	}
	if value, ok := w.slots[slot][key]; ok {
		return value, false, nil
	}
	if w.count >= w.options.MaxKeys {
		return zero, false, &FullError{MaxKeys: w.options.MaxKeys}
	}
	if w.slots[slot] == nil {
		w.slots[slot] = map[string]V{}
	}
	value := create()
	w.slots[slot][key] = value
	w.count++
	return value, true, nil
}

// Get finds the value of a key. The errors are those of Claim.
func (w *Window[V]) Get(slot int64, key string) (V, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var zero V
	if err := w.checkSlot(slot); err != nil {
		return zero, false, err
	}
	value, ok := w.slots[slot][key]
	return value, ok, nil
}

// Remove takes a key out again if same says that its value is the one meant.
// It tells whether the key was taken out.
func (w *Window[V]) Remove(slot int64, key string, match func(V) bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	value, ok := w.slots[slot][key]
	if !ok || !match(value) {
		return false
	}
	delete(w.slots[slot], key)
	w.count--
	return true
}

func (w *Window[V]) checkSlot(slot int64) error {
	newest := w.CurrentSlot()
	w.removeBefore(newest - int64(w.options.Slots) + 1)
	if slot > newest {
		return &FutureError{Slot: slot, Newest: newest}
	}
	if slot < w.oldest {
		return &ExpiredError{Slot: slot, Oldest: w.oldest}
	}
	return nil
}

// removeBefore drops whole slots below oldest; it never goes back.
func (w *Window[V]) removeBefore(oldest int64) {
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
