package entry

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/refusal"
)

// TestAcceptedJobsAreBounded guards against an entry that keeps any number of accepted jobs, and against memory that stays
// reserved after the end of a job.
func TestAcceptedJobsAreBounded(t *testing.T) {
	e, b := newIdleEntry(t, "[ingress]\nheld = 1\n")
	e.applyBundle(b)
	submit := func(bytes int) (*job.Job, *refusal.Refusal) {
		j := job.New(t.Context(), &job.Job{
			Tenant: "t", Service: b.Services["s"], Bundle: b, Tasks: []job.Task{{Body: make([]byte, bytes)}}, ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Minute),
		})
		return j, e.admit(j)
	}
	first, refused := submit(600 << 10)
	if refused != nil {
		t.Fatalf("the first job was refused: %v", refused)
	}
	if _, refused := submit(600 << 10); refused == nil || refused.Kind != refusal.Overloaded || refused.Outcome != refusal.NotRun || !refused.RetryAt.After(time.Now()) {
		t.Errorf("refusal of a job beyond the limit: %v, want one of the kind overloaded that has not run, with a time for the next try", refused)
	}
	first.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "its caller has cancelled it"))
	e.admittedJobs.Wait()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		next, refused := submit(600 << 10)
		if refused == nil {
			next.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "its caller has cancelled it"))
			e.admittedJobs.Wait()
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("a job is refused after the end of the first one: %v", refused)
		}
	}
}
