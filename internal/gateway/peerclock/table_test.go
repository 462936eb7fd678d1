package peerclock

import (
	"testing"
	"time"
)

// TestEstimateIsNeverAheadOfTheClock guards against a message that looks younger than it is.
func TestEstimateIsNeverAheadOfTheClock(t *testing.T) {
	var table Table
	if _, known := table.Estimate("e1"); known {
		t.Error("the clock of an entry is known that has not answered")
	}
	stated := Now()
	time.Sleep(5 * time.Millisecond) // the answer is on its way
	table.Note("e1", stated)
	time.Sleep(5 * time.Millisecond)
	clock, known := table.Estimate("e1")
	if now := Now(); !known || clock < stated || clock > now {
		t.Errorf("clock %d, known: %t; want one from %d to %d", clock, known, stated, now)
	}
	table.Note("e2", 0)
	if clock, known := table.Estimate("e2"); !known || clock != 0 {
		t.Errorf("clock %d, known: %t of an entry that states none, want 0, true", clock, known)
	}
}

// TestOldReadingIsNotUsed guards against a drift of clocks that adds up.
func TestOldReadingIsNotUsed(t *testing.T) {
	table := Table{readings: map[string]reading{"e1": {clock: 1, readAt: Now() - uint64(maxReadingAge.Milliseconds()) - 1}}}
	if clock, known := table.Estimate("e1"); known {
		t.Errorf("clock %d by a reading that is older than %s", clock, maxReadingAge)
	}
}

func TestAge(t *testing.T) {
	now := Now()
	tests := []struct {
		name  string
		clock uint64
		least time.Duration
	}{
		{"unknown", 0, 0},
		{"ahead", now + 60_000, 0},
		{"a second ago", now - min(now-1, 1000), time.Duration(min(now-1, 1000)) * time.Millisecond},
	}
	for _, c := range tests {
		if age := Age(c.clock); age < c.least || c.least == 0 && age != 0 {
			t.Errorf("%s: age %s, want at least %s", c.name, age, c.least)
		}
	}
}
