package batch

import (
	"strings"
	"testing"
)

// TestBytesCountsWhatClientsChoose guards against jobs that take much more memory than they are counted with, because
// their texts or lists are long.
func TestBytesCountsWhatClientsChoose(t *testing.T) {
	const length = 100_000
	text := strings.Repeat("a", length)
	for _, c := range []struct {
		name string
		job  Batch
		want int64
	}{
		{"spec", Batch{Spec: text}, length},
		{"label", Batch{Steps: []Step{{RequiredLabel: text}}}, length},
		{"rack", Batch{Steps: []Step{{DataRack: text}}}, length},
		{"dependencies", Batch{Steps: []Step{{DependsOn: make([]int, 1, length)}}}, 8 * length},
		{"steps", Batch{Steps: make([]Step, 1000)}, 100 * 1000},
		{"tasks", Batch{Steps: []Step{{Count: 1000}}}, 100 * 1000},
	} {
		if got := c.job.Bytes(); got < c.want {
			t.Errorf("%s: counted with %d bytes, want %d at least", c.name, got, c.want)
		}
	}
}
