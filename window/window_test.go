package window

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestKeyIsCreatedAtMostOnce compares a window with a model that keeps all keys. It
// guards against creating a key again after its slot was removed, and against
// rejecting a key whose slot is still kept.
func TestKeyIsCreatedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		w := New[int](Options{SlotWidth: time.Second, Slots: 3, MaxKeys: 20, Now: func() time.Time { return now }})
		everCreated := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			slot := max(0, w.CurrentSlot()-int64(rapid.IntRange(-1, 4).Draw(t, "back")))
			key := fmt.Sprint(slot, "/", rapid.IntRange(0, 3).Draw(t, "key"))
			_, created, err := w.GetOrCreate(slot, key, func() int { return 1 })
			var expired *ExpiredError
			var future *FutureError
			var full *FullError
			switch {
			case err == nil && created && everCreated[key]:
				t.Fatalf("key %s was created twice", key)
			case err == nil && !created && !everCreated[key]:
				t.Fatalf("key %s was found but never created", key)
			case errors.As(err, &expired) && slot > w.CurrentSlot()-3:
				t.Fatalf("slot %d is expired in slot %d", slot, w.CurrentSlot())
			case errors.As(err, &future) && slot <= w.CurrentSlot():
				t.Fatalf("slot %d is in the future in slot %d", slot, w.CurrentSlot())
			case err != nil && !errors.As(err, &expired) && !errors.As(err, &future) && !errors.As(err, &full):
				t.Fatal(err)
			}
			everCreated[key] = everCreated[key] || created
			if w.Len() > 20 {
				t.Fatalf("%d keys are held, want at most 20", w.Len())
			}
		}
	})
}

// TestKeyRoom guards against a window that ignores how many keys others leave to it, and against expired keys that still
// count after Expire.
func TestKeyRoom(t *testing.T) {
	now, held, room := time.Unix(0, 0), 0, 2
	w := New[int](Options{SlotWidth: time.Second, Slots: 3, Now: func() time.Time { return now }, KeyRoom: func(count int) int {
		held = count
		return room
	}})
	for i, want := range []int{1, 2, 2} {
		_, created, err := w.GetOrCreate(0, fmt.Sprint(i), func() int { return 1 })
		var full *FullError
		if held != want || created != (i < room) || errors.As(err, &full) == created {
			t.Errorf("key %d: created %v, error %v, %d held; want %d held", i, created, err, held, want)
		}
	}
	now = now.Add(4 * time.Second)
	if w.Expire(); held != 0 {
		t.Errorf("%d keys count after their slot has expired, want 0", held)
	}
}
