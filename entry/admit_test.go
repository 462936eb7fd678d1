package entry

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/refusal"
	"github.com/radishgate/radishgate/settings"
)

// TestAcceptedJobsAreBounded guards against an entry that keeps any number of accepted jobs, and against memory that stays
// reserved after the end of a job.
func TestAcceptedJobsAreBounded(t *testing.T) {
	text := "[entry]\nvm = a\nzone = z\nlisten = 127.0.0.1:0\npeers = 127.0.0.1:0\noperators = 127.0.0.1:0\n[ingress]\nheld = 1\n[platform]\naddress = 127.0.0.1:1\n[keys]\nsigners = x\n"
	s, err := settings.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	e, err := New(Options{Settings: s})
	if err != nil {
		t.Fatal(err)
	}
	defer e.cancel()
	for _, l := range []interface{ Close() error }{e.callerListener, e.peerListener, e.operatorListener} {
		defer l.Close()
	}
	b, err := bundle.Parse("test", 1, "[tenant t]\n[service s]\npath = /s\nlimit = 1m\n[upstream u]\nzone = z\naddress = 127.0.0.1:2\n")
	if err != nil {
		t.Fatal(err)
	}
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
