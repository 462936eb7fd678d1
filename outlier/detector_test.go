package outlier

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestEjectionAndRecoveryByTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{})
		d.SetMaxEjected(1)
		for range 5 {
			d.Observe("u", false)
		}
		if !d.IsEjected("u") {
			t.Fatal("five failures in a row change nothing")
		}
		for range 5 {
			d.Observe("v", false)
		}
		if d.IsEjected("v") {
			t.Fatal("more than the limit is aside")
		}
		time.Sleep(2*time.Second + time.Millisecond)
		if d.IsEjected("u") {
			t.Fatal("no trial after the time aside")
		}
		d.RecordStart("u", time.Now().Add(time.Second))
		if !d.IsEjected("u") {
			t.Fatal("a second task besides the trial")
		}
		d.Observe("u", false)
		time.Sleep(3 * time.Second)
		if !d.IsEjected("u") {
			t.Fatal("the time aside does not grow after a failed trial")
		}
		time.Sleep(2 * time.Second)
		d.RecordStart("u", time.Now().Add(time.Second))
		d.Observe("u", true)
		if d.IsEjected("u") {
			t.Fatal("a good trial does not bring it back")
		}
	})
}
