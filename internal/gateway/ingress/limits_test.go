package ingress

import "testing"

// TestMaxBodyBytes guards against bodies that are accepted although the budget never has room for them, and against a
// limit below the default of `dispatch`, 1 MB.
func TestMaxBodyBytes(t *testing.T) {
	for _, memory := range []int64{32, 96, 144, 284, 536} {
		l := DefaultLimits(memory<<20, 3075)
		largest := l.MaxBodyBytes()
		g := New(Options{Limits: l})
		c := &conn{guard: g, pool: g.Clients(nil).(*listener).pool}
		c.phase.Store(body)
		c.bodyBytes.Store(largest)
		if err := g.charge(c, bodyCost*largest); err != nil || largest < 1<<20 {
			t.Errorf("with %d MB a body of %d bytes gets %v, want memory for one of 1 MB at least", memory, largest, err)
		}
	}
}
