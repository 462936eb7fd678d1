package shelf

import (
	"testing"
	"testing/synctest"
	"time"
)

type fakeAnswer struct {
	size    int64
	dropped bool
}

func (k *fakeAnswer) Bytes() int64 { return k.size }
func (k *fakeAnswer) Drop()        { k.dropped = true }

func TestCacheEvictsOldestFirstWithinByteLimit(t *testing.T) {
	s := New(10_000, time.Hour)
	var all []*fakeAnswer
	for i := range 30 {
		k := &fakeAnswer{size: int64(500 + 10*i)}
		all = append(all, k)
		s.Put(k)
		if s.Bytes() > 10_000 {
			t.Fatalf("%d bytes are kept", s.Bytes())
		}
	}
	for i := 1; i < len(all); i++ {
		if all[i].dropped && !all[i-1].dropped {
			t.Fatalf("answer %d went before %d", i, i-1)
		}
	}
	if all[29].dropped || !all[0].dropped {
		t.Fatal("the newest went or the oldest stayed")
	}
}

// TestCacheEvictsAnswersAfterRetention puts an answer when the key of an earlier one is
// no longer known. The bound alone would keep both.
func TestCacheEvictsAnswersAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(10_000, time.Minute)
		old, young, last := &fakeAnswer{size: 100}, &fakeAnswer{size: 100}, &fakeAnswer{size: 100}
		s.Put(old)
		time.Sleep(40 * time.Second)
		s.Put(young)
		time.Sleep(21 * time.Second)
		s.Put(last)
		if !old.dropped || young.dropped || last.dropped || s.Bytes() != 2*(100+answerOverhead) {
			t.Errorf("dropped %v %v %v, %d bytes", old.dropped, young.dropped, last.dropped, s.Bytes())
		}
	})
}
