package plan

import "testing"

// TestUnknownRunEndsSoonBesideOthers guards against runs that lapse after a takeover although their entries ask for
// them: the lease of their worker can't be renewed while it has a run that no entry asks for.
func TestUnknownRunEndsSoonBesideOthers(t *testing.T) {
	tests := []struct {
		name    string
		others  bool // an entry asks for another run of the worker
		stopped int  // ms after the run was listed
	}{
		{"alone", false, 400},
		{"beside a run that is asked for", true, 200},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := New(Options{}, start)
			p.AddWorker(testWorker("w1", 4), start)
			listed := []RunProgress{{"00000000000000aa.0.0.0", 1, 10}}
			if c.others {
				listed = append(listed, RunProgress{"00000000000000bb.0.0.0", 1, 10})
				b := testJob("00000000000000bb", 1, after(90))
				b.MaybeStarted = true
				p.Admit(b, nil, after(90))
			}
			p.HandleReport(Report{Worker: "w1", Sent: after(99), Fenced: true, Running: listed}, after(100))
			stoppedAt := 0
			for ms := 100; ms <= 600 && stoppedAt == 0; ms += 10 {
				p.Tick(after(ms))
				for _, o := range ordersOfKind(p.Orders(), Stop) {
					if o.Task != "00000000000000aa.0.0.0" {
						t.Fatalf("%s is stopped, %s", o.Task, o.Reason)
					}
					stoppedAt = ms - 100
				}
			}
			if stoppedAt < c.stopped || stoppedAt > c.stopped+20 {
				t.Errorf("stopped after %d ms, want %d", stoppedAt, c.stopped)
			}
		})
	}
}
