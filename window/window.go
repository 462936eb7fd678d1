// Package window stores keys for a limited time and rejects older keys, whether or not it has seen them.
package window

import (
	"fmt"
	"sync"
	"time"
)

// Options configures a Window. Now must be monotonic. Zero values select the defaults.
type Options struct {
	SlotWidth time.Duration // duration of a slot; 10 s by default
	Slots     int           // number of slots kept, with the current one; 60 by default
	MaxKeys   int           // maximum number of keys held; 500,000 by default
	// KeyRoom, if set, is called with the number of keys held and returns their maximum in place of MaxKeys. It must not
	// call the window.
	KeyRoom func(held int) int
	Now     func() time.Time
}

// ExpiredError reports a key whose slot is no longer kept.
type ExpiredError struct{ Slot, Oldest int64 }

// Error implements error; it names both slots.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("key slot %d is older than the oldest kept slot %d", e.Slot, e.Oldest)
}

// FutureError reports a key whose slot has not begun, so this process cannot have
// issued it.
type FutureError struct{ Slot, Newest int64 }

// Error implements error; it names both slots.
func (e *FutureError) Error() string {
	return fmt.Sprintf("key slot %d has not begun, the newest is %d", e.Slot, e.Newest)
}

// FullError reports that the window holds MaxKeys keys.
type FullError struct{ MaxKeys int }

// Error implements error; it names the limit.
func (e *FullError) Error() string { return fmt.Sprintf("key window is full at %d keys", e.MaxKeys) }

// Window maps keys to values. Time is divided into numbered slots and each key
// belongs to one; all keys of a slot are removed together. Window is safe for
// concurrent use.
type Window[V any] struct {
	options Options
	start   time.Time

	mu     sync.Mutex
	slots  map[int64]map[string]V
	oldest int64
	count  int
}

// New returns an empty window whose slot 0 begins now.
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
	if options.KeyRoom == nil {
		options.KeyRoom = func(int) int { return options.MaxKeys }
	}
	return &Window[V]{options: options, start: options.Now(), slots: map[int64]map[string]V{}}
}

// CurrentSlot returns the number of the current slot.
func (w *Window[V]) CurrentSlot() int64 {
	return int64(w.options.Now().Sub(w.start) / w.options.SlotWidth)
}

// Len returns the number of keys held.
func (w *Window[V]) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

// Expire removes the keys of expired slots.
func (w *Window[V]) Expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeBefore(w.CurrentSlot() - int64(w.options.Slots) + 1)
	w.options.KeyRoom(w.count)
}

// GetOrCreate returns the value of a key, or creates it, and reports whether it was
// created. It fails with an *ExpiredError, *FutureError or *FullError and creates
// nothing then. create runs under the window's lock and must not call the window.
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
	if room := w.options.KeyRoom(w.count); w.count >= room {
		return zero, false, &FullError{MaxKeys: room}
	}
	if w.slots[slot] == nil {
		w.slots[slot] = map[string]V{}
	}
	value := create()
	w.slots[slot][key] = value
	w.count++
	w.options.KeyRoom(w.count)
	return value, true, nil
}

// Get returns the value of a key and reports whether the key is held. It fails with
// an *ExpiredError or *FutureError.
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

// Remove removes a key if match returns true for its value. It reports whether the
// key was removed. match runs under the window's lock and must not call the window.
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

// checkSlot removes expired slots and returns an error if the slot is expired or has
// not begun.
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

// removeBefore removes all slots before oldest. The oldest slot kept never decreases.
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
