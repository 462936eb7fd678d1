package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/ingress"
	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/standin/worker"
)

// TestHeldJobsAreBounded guards against a holder that ignores [ingress] held: a client must be refused, with a time for its
// next try, once the jobs of the group take more, and the refusal must be counted.
func TestHeldJobsAreBounded(t *testing.T) {
	f := newFleet(t, 1, 2, worker.Options{})
	f.waitReady()
	n := f.nodes[0]
	limits := n.ingress.Limits()
	limits.Held = 1
	n.ingress.SetLimits(limits)
	number := 0
	f.waitFor("a refusal for lack of memory", func() bool {
		number++
		now := time.Now()
		// Jobs are admitted as long as leases of an earlier holder may be valid.
		r := n.submit(t.Context(), &batch.Batch{ID: fmt.Sprintf("%016x", number), Steps: []batch.Step{{Count: 1}}, ArrivedAt: now, ExpiresAt: now.Add(200 * time.Millisecond)})
		return r.State == batch.Refused && r.Reason == plan.ReasonMemory && r.RetryAt.After(now)
	})
	answer := httptest.NewRecorder()
	n.instruments.handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if !strings.Contains(answer.Body.String(), `refused_total{cause="`+ingress.CauseHeld+`"} `) {
		t.Error("the refusal was not counted")
	}
}
