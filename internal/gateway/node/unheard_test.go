package node

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/isolation"
)

// TestSilentEntriesMayHaveReplacedTheHolder guards against a second start of a task whose run the
// next holder keeps alive: in a zone of many entries it takes longer until a single one is
// suspected than until a lease expires, although none of them is heard.
func TestSilentEntriesMayHaveReplacedTheHolder(t *testing.T) {
	n := newLargeNode(t, 90)
	n.contacts.add("127.0.0.1:1001")
	n.isolation.NoteHeard()
	n.isolation.Beat(isolation.View{}, time.Now())
	if n.mayBeReplaced() {
		t.Fatal("replaced although the others are heard")
	}
	for range suspectHeartbeats {
		n.isolation.Beat(isolation.View{}, time.Now())
	}
	if !n.mayBeReplaced() {
		t.Fatal("not replaced although no other entry has been heard for four heartbeats")
	}
	n.contacts.noteAttempt("127.0.0.1:1001", true)
	if n.mayBeReplaced() {
		t.Fatal("replaced although nothing listens at the address of any other entry")
	}
}
