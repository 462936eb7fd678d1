package entry

import (
	"sync"
	"testing"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/settings"
)

// TestHeartbeatsAndHomesDoNotBlockEachOther runs what heartbeats, news of
// members and the dispatcher do at the same time. Each takes locks of its own;
// no two may wait for each other.
func TestHeartbeatsAndHomesDoNotBlockEachOther(t *testing.T) {
	text := "[entry]\nvm = a\nzone = z\nlisten = 127.0.0.1:0\npeers = 127.0.0.1:0\noperators = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:1\n[keys]\nsigners = x\n"
	s, err := settings.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	e, err := New(Options{Settings: s})
	if err != nil {
		t.Fatal(err)
	}
	defer e.end()
	for _, l := range []interface{ Close() error }{e.callers, e.peers, e.operators} {
		defer l.Close()
	}
	b, err := bundle.Parse("test", 1, "[tenant t]\n[service s]\npath = /s\n[upstream u]\nzone = z\naddress = 127.0.0.1:2\n")
	if err != nil {
		t.Fatal(err)
	}
	e.apply(b)
	const rounds = 3000
	var group sync.WaitGroup
	for _, work := range []func(i int){
		func(int) { e.ramp(9) },
		func(i int) {
			e.members.Merge([]member.Record{{ID: "b", Zone: "z", Incarnation: 1, Heartbeat: uint64(i + 1), Weight: float64(i)}})
			e.place(b)
		},
		func(int) { e.dispatcher.Lendable() },
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
