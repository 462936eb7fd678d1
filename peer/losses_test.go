package peer

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/peer/wire"
)

// TestLossesCrossTheWire guards against losses of a task's runs that get lost between entries, and
// against a job that goes on but counts as ended at an earlier build, which takes each of the
// outcomes for a result.
func TestLossesCrossTheWire(t *testing.T) {
	losses := []batch.Losses{{Task: "j.0.0.0", Crashes: 1, Suspicions: 2}}
	var request wire.PlaceRequest
	data, err := proto.Marshal(packBatch("a", &batch.Batch{ID: "j", Losses: losses}, nil, time.Now()))
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(data, &request); err != nil {
		t.Fatal(err)
	}
	if got := unpackBatch(&request).Losses; !slices.Equal(got, losses) {
		t.Errorf("placed with %+v, want %+v", got, losses)
	}
	handlers := JobHandlers{OnAwait: func(string, uint64, []string, time.Time) ([]batch.Result, []string, bool) {
		return []batch.Result{{ID: "j", State: batch.Running, Losses: losses}, {ID: "k", State: batch.Completed}}, nil, true
	}}
	reply, err := handlers.Await(t.Context(), &wire.AwaitRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if len(reply.Outcomes) != 1 || reply.Outcomes[0].Id != "k" || len(reply.Running) != 1 {
		t.Fatalf("outcomes %v, running %v, want one job each", reply.Outcomes, reply.Running)
	}
	if got := unpackOutcomes(reply.Running)[0]; got.State != batch.Running || !slices.Equal(got.Losses, losses) {
		t.Errorf("running job %+v, want one with losses %+v", got, losses)
	}
	moved := unpackOutcomes(packOutcomes([]batch.Result{{ID: "j", State: batch.Moved, Losses: losses}}))
	if !slices.Equal(moved[0].Losses, losses) {
		t.Errorf("moved job %+v, want losses %+v", moved[0], losses)
	}
}
