package occupancy

import "testing"

// TestRoom guards against owners that get more than the others leave of a limit, and against memory that stays counted
// after its owner has gone.
func TestRoom(t *testing.T) {
	var table Table[string]
	for _, c := range []struct {
		change func()
		want   int64 // room for a
	}{
		{func() {}, 100},
		{func() { table.Set("a", 70) }, 100},
		{func() { table.Set("b", 50) }, 50},
		{func() { table.Set("b", 120) }, -20},
		{func() { table.Set("b", 30); table.Set("c", 10) }, 60},
		{func() { table.Remove("b"); table.Remove("b") }, 90},
		{func() { table.Remove("a"); table.Remove("c") }, 100},
	} {
		c.change()
		if got := table.Room("a", 100); got != c.want {
			t.Errorf("room for a: %d of 100, want %d", got, c.want)
		}
	}
}
