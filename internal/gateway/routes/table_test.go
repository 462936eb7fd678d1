package routes

import (
	"testing"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/platform"
)

func queue(name, host, prefix string) platform.Queue {
	return platform.Queue{QueueSettings: batch.QueueSettings{Queue: name}, Host: host, Prefix: prefix}
}

// TestFind checks that the longest matching prefix wins, also when a shorter one is
// configured first, and that the case of a configured host does not matter.
func TestFind(t *testing.T) {
	table := New()
	if _, _, status := table.Find("a", "/"); status != platform.NoConfiguration {
		t.Fatal("a table without a configuration found a queue")
	}
	table.Apply(platform.Configuration{Version: 3, Queues: []platform.Queue{
		queue("short", "A.example", "/q/"), queue("long", "a.example", "/q/deep/"), queue("other", "b.example", "/q/"),
	}})
	tests := []struct {
		host, path, queue, rest string
	}{
		{"a.example", "/q/1", "short", "1"},
		{"a.example", "/q/deep/1", "long", "1"},
		{"a.example", "/q/", "short", ""},
		{"b.example", "/q/deep/1", "other", "deep/1"},
		{"a.example", "/other/1", "", ""},
		{"c.example", "/q/1", "", ""},
	}
	for _, c := range tests {
		settings, rest, status := table.Find(c.host, c.path)
		if settings.Queue != c.queue || rest != c.rest || (status == platform.Found) != (c.queue != "") {
			t.Errorf("%s%s: queue %q, rest %q, status %d", c.host, c.path, settings.Queue, rest, status)
		}
	}
}

// TestVersionNeverFalls applies older configurations after newer ones, as happens
// when the store has lost its history.
func TestVersionNeverFalls(t *testing.T) {
	table := New()
	for _, c := range []struct {
		version int64
		applied bool
		now     int64
	}{{3, true, 3}, {3, false, 3}, {2, false, 3}, {9, true, 9}, {8, false, 9}} {
		if got := table.Apply(platform.Configuration{Version: c.version}); got != c.applied || table.Version() != c.now {
			t.Errorf("version %d: applied %v, current version %d", c.version, got, table.Version())
		}
	}
}
