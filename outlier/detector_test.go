package outlier

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestEjectionAndRecoveryByTrial follows an upstream through ejection, a failed trial
// with a longer ejection, and its return after a successful trial. A second failing
// upstream stays in service, since only one may be ejected.
func TestEjectionAndRecoveryByTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{})
		d.SetMaxEjected(1)
		for range 5 {
			d.Observe("u", false)
		}
		if !d.IsEjected("u") {
			t.Fatal("not ejected after five consecutive failures")
		}
		for range 5 {
			d.Observe("v", false)
		}
		if d.IsEjected("v") {
			t.Fatal("more upstreams are ejected than allowed")
		}
		time.Sleep(2*time.Second + time.Millisecond)
		if d.IsEjected("u") {
			t.Fatal("no trial is due after the ejection time")
		}
		d.RecordStart("u", time.Now().Add(time.Second))
		if !d.IsEjected("u") {
			t.Fatal("a second task is allowed during the trial")
		}
		d.Observe("u", false)
		time.Sleep(3 * time.Second)
		if !d.IsEjected("u") {
			t.Fatal("the ejection time does not grow after a failed trial")
		}
		time.Sleep(2 * time.Second)
		d.RecordStart("u", time.Now().Add(time.Second))
		d.Observe("u", true)
		if d.IsEjected("u") {
			t.Fatal("still ejected after a successful trial")
		}
	})
}
