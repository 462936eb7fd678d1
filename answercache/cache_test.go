package answercache

import (
	"testing"
	"testing/synctest"
	"time"
)

type fakeAnswer struct {
	size    int64
	dropped bool
}

func (a *fakeAnswer) Bytes() int64 { return a.size }
func (a *fakeAnswer) Drop()        { a.dropped = true }

// TestCacheEvictsOldestFirstWithinByteLimit guards against a cache that exceeds its
// size, or that evicts a younger answer before an older one, as answers are added.
func TestCacheEvictsOldestFirstWithinByteLimit(t *testing.T) {
	c := New(10_000, time.Hour)
	var all []*fakeAnswer
	for i := range 30 {
		a := &fakeAnswer{size: int64(500 + 10*i)}
		all = append(all, a)
		c.Put(a)
		if c.Bytes() > 10_000 {
			t.Fatalf("cache holds %d bytes, want at most 10000", c.Bytes())
		}
	}
	for i := 1; i < len(all); i++ {
		if all[i].dropped && !all[i-1].dropped {
			t.Fatalf("answer %d was evicted before %d", i, i-1)
		}
	}
	if all[29].dropped || !all[0].dropped {
		t.Fatal("the newest answer was evicted or the oldest was not")
	}
}

// TestCacheEvictsAnswersAfterRetention guards against answers that stay in memory
// after their key has expired because the cache is below its size limit.
func TestCacheEvictsAnswersAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(10_000, time.Minute)
		old, young, last := &fakeAnswer{size: 100}, &fakeAnswer{size: 100}, &fakeAnswer{size: 100}
		c.Put(old)
		time.Sleep(40 * time.Second)
		c.Put(young)
		time.Sleep(21 * time.Second)
		c.Put(last)
		if !old.dropped || young.dropped || last.dropped || c.Bytes() != 2*(100+answerOverhead) {
			t.Errorf("dropped %v %v %v, %d bytes", old.dropped, young.dropped, last.dropped, c.Bytes())
		}
	})
}
