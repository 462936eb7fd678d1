package remote

import (
	"testing"
	"time"
)

// TestJobsAreRememberedForTheRetention guards against a job that is forgotten while its client may send
// it again, and against a memory that grows without bound.
func TestJobsAreRememberedForTheRetention(t *testing.T) {
	start := time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name   string
		notes  []time.Duration // when the holder tells of the job
		asked  time.Duration
		wanted bool
	}{
		{"never told", nil, 0, false},
		{"told just now", []time.Duration{0}, 0, true},
		{"for the retention", []time.Duration{0}, retention, true},
		{"told late in a span", []time.Duration{retention - 1}, 2*retention - 1, true},
		{"after two spans", []time.Duration{0}, 2*retention + 1, false},
		{"told again", []time.Duration{0, 2 * retention}, 3 * retention, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var jobs Jobs
			for _, at := range append([]time.Duration{0}, c.notes...) {
				var hashes []uint64
				if len(c.notes) > 0 && at >= c.notes[0] {
					hashes = []uint64{Hash("0000000000000001")}
				}
				jobs.Note("b/0", hashes, start.Add(at))
			}
			group, _, found := jobs.Find("0000000000000001", start.Add(c.asked))
			if found != c.wanted || found && group != "b/0" {
				t.Errorf("group %q, found: %t; want %t", group, found, c.wanted)
			}
			if _, _, found := jobs.Find("0000000000000002", start.Add(c.asked)); found {
				t.Error("a job is found that no holder has told of")
			}
		})
	}
}

// TestGroupIsKnownToBeSilent guards against jobs that go to a group whose zone has long been lost.
func TestGroupIsKnownToBeSilent(t *testing.T) {
	start := time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)
	var jobs Jobs
	jobs.Note("b/0", []uint64{Hash("0000000000000001")}, start)
	jobs.Note("b/0", nil, start.Add(time.Second))
	jobs.Note("c/0", nil, start.Add(2*time.Second))
	if _, heardAt, _ := jobs.Find("0000000000000001", start.Add(3*time.Second)); !heardAt.Equal(start.Add(time.Second)) {
		t.Errorf("heard at %s, want %s", heardAt, start.Add(time.Second))
	}
}
