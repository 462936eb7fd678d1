package eligibility

import "testing"

// TestOneFactIsEnough guards against a fact that keeps no worker from getting tasks, or whose reason is
// hidden behind one of less weight.
func TestOneFactIsEnough(t *testing.T) {
	all := Worker{Ready, true, true, true, true, true, true, true, 0.5, 0.6}
	tests := []struct {
		name   string
		worker Worker
		want   Verdict
	}{
		{"ready", Worker{State: Ready}, Eligible},
		{"just added", Worker{}, Unfenced},
		{"silent", Worker{State: Unresponsive}, Silent},
		{"refusing", Worker{State: Unresponsive, Refusing: true}, Refusing},
		{"evacuations unknown", Worker{State: Ready, EvacuationsUnknown: true}, Unknown},
		{"evacuated", Worker{State: Ready, Evacuated: true}, Evacuated},
		{"draining", Worker{State: Ready, Draining: true}, Draining},
		{"unregistered", Worker{State: Ready, Unregistered: true}, Unregistered},
		{"runs unknown", Worker{State: Ready, RunsUnknown: true}, Unlisted},
		{"ejected", Worker{State: Ready, Ejected: true}, Ejected},
		{"cold with a task more than it may have", Worker{State: Ready, ColdShare: 0.25, UsedShare: 0.3}, Cold},
		{"cold with room", Worker{State: Ready, ColdShare: 0.25, UsedShare: 0.25}, Eligible},
		{"cold and empty", Worker{State: Ready, ColdShare: 0.25}, Eligible},
		{"full and warm", Worker{State: Ready, UsedShare: 1}, Eligible},
		{"everything", all, Unknown},
	}
	for _, c := range tests {
		if got := Judge(c.worker); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
