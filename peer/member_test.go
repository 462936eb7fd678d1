package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer/wire"
)

// TestWorkersCrossTheWire guards against a list of workers that no other entry can confirm.
func TestWorkersCrossTheWire(t *testing.T) {
	const fingerprint = 1<<63 | 5
	data, err := proto.Marshal(PackMember(member.Record{ID: "e1", Workers: fingerprint}))
	if err != nil {
		t.Fatal(err)
	}
	var m wire.Member
	if err := proto.Unmarshal(data, &m); err != nil {
		t.Fatal(err)
	}
	if got := UnpackMember(&m).Workers; got != fingerprint {
		t.Fatalf("workers %x, want %x", got, uint64(fingerprint))
	}
}
