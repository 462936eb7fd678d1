package outlier

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestAsideAndBackByOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Options{})
		b.Limit(1)
		for range 5 {
			b.Observe("u", false)
		}
		if !b.Aside("u") {
			t.Fatal("five failures in a row change nothing")
		}
		for range 5 {
			b.Observe("v", false)
		}
		if b.Aside("v") {
			t.Fatal("more than the limit is aside")
		}
		time.Sleep(2*time.Second + time.Millisecond)
		if b.Aside("u") {
			t.Fatal("no trial after the time aside")
		}
		b.Begin("u", time.Now().Add(time.Second))
		if !b.Aside("u") {
			t.Fatal("a second task besides the trial")
		}
		b.Observe("u", false)
		time.Sleep(3 * time.Second)
		if !b.Aside("u") {
			t.Fatal("the time aside does not grow after a failed trial")
		}
		time.Sleep(2 * time.Second)
		b.Begin("u", time.Now().Add(time.Second))
		b.Observe("u", true)
		if b.Aside("u") {
			t.Fatal("a good trial does not bring it back")
		}
	})
}
