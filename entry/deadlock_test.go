package entry

import (
	"sync"
	"testing"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/settings"
)

// newIdleEntry returns an entry that is not running, with further settings, and a bundle with one service that is not in
// force yet.
func newIdleEntry(t *testing.T, more string) (*Entry, *bundle.Bundle) {
	t.Helper()
	text := "[entry]\nvm = a\nzone = z\nlisten = 127.0.0.1:0\npeers = 127.0.0.1:0\noperators = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:1\n[keys]\nsigners = x\n"
	s, err := settings.Parse("test", []byte(text+more))
	if err != nil {
		t.Fatal(err)
	}
	e, err := New(Options{Settings: s})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		e.cancel()
		for _, l := range []interface{ Close() error }{e.callerListener, e.peerListener, e.operatorListener} {
			_ = l.Close()
		}
	})
	b, err := bundle.Parse("test", 1, "[tenant t]\n[service s]\npath = /s\n[upstream u]\nzone = z\naddress = 127.0.0.1:2\n")
	if err != nil {
		t.Fatal(err)
	}
	return e, b
}

// TestHeartbeatsAndHomeUpdatesDoNotDeadlock guards against a lock cycle between the
// member table, the entry and the dispatcher. Heartbeats, member changes, lending
// and status run concurrently and each takes locks of several components.
func TestHeartbeatsAndHomeUpdatesDoNotDeadlock(t *testing.T) {
	e, b := newIdleEntry(t, "")
	e.applyBundle(b)
	const rounds = 3000
	var group sync.WaitGroup
	for _, work := range []func(i int){
		func(int) { e.updateOwnRecord(9) },
		func(i int) {
			e.members.Merge([]member.Record{{ID: "b", Zone: "z", Incarnation: 1, Heartbeat: uint64(i + 1), Weight: float64(i)}})
			e.assignHomes(b)
		},
		func(int) { e.dispatcher.LoanOffers() },
		func(int) { e.Status() },
	} {
		group.Go(func() {
			for i := range rounds {
				work(i)
			}
		})
	}
	group.Wait()
}
