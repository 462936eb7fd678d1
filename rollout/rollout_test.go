package rollout

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/internal/mutate"
	"github.com/radishgate/radishgate/standin/store"
)

const text = "[tenant a]\nweight = %d\n[service s]\npath = /s\n"

// operator signs and publishes.
type operator struct {
	*Rollout
	key ed25519.PrivateKey
}

var private = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

var signers = []string{base64.StdEncoding.EncodeToString(private.Public().(ed25519.PublicKey))}

func reader(s *store.Store) *Rollout {
	return New(Options{Log: s.Log(Stream), Signers: signers, Pause: time.Millisecond})
}

func (o operator) publish(ctx context.Context, weight int) error {
	if err := o.Step(ctx, 0); err != nil {
		return err
	}
	record := o.Draft(fmt.Sprintf(text, weight))
	record.Seal(o.key)
	return o.Publish(ctx, record)
}

func TestTwoOperatorsRace(t *testing.T) {
	s := store.New(store.Options{})
	ctx := t.Context()
	a, b := operator{reader(s), private}, operator{reader(s), private}
	first, second := a.Draft(fmt.Sprintf(text, 1)), b.Draft(fmt.Sprintf(text, 2))
	first.Seal(private)
	second.Seal(private)
	if err := a.Publish(ctx, first); err != nil {
		t.Fatal(err)
	}
	var conflict *ConflictError
	if err := b.Publish(ctx, second); !errors.As(err, &conflict) || conflict.Winner != first.ID {
		t.Fatalf("the loser is told %v", err)
	}
	if b.Bundle().Tenants["a"].Weight != 1 {
		t.Fatal("the loser's text is in force")
	}
}

func TestLostReplyIsReadBack(t *testing.T) {
	s := store.New(store.Options{})
	s.SetFaults(store.Faults{LostReplies: 1})
	o := operator{reader(s), private}
	if err := o.publish(t.Context(), 3); err != nil {
		t.Fatal(err)
	}
	if s.AppendCount() != 1 || o.Bundle().Version != 1 {
		t.Fatalf("%d appends, version %d", s.AppendCount(), o.Bundle().Version)
	}
}

func TestUntrustedSignerChangesNothing(t *testing.T) {
	s := store.New(store.Options{})
	_, other, _ := ed25519.GenerateKey(rand.Reader)
	o := operator{reader(s), private}
	record := o.Draft(fmt.Sprintf(text, 1))
	record.Seal(other)
	data, _ := json.Marshal(Envelope{Kind: kindVersion, Chain: []bundle.Record{record}})
	if _, err := s.Log(Stream).Append(t.Context(), data); err != nil {
		t.Fatal(err)
	}
	if err := o.Step(t.Context(), 0); err != nil || o.Bundle() != nil {
		t.Fatalf("bundle %v, error %v", o.Bundle(), err)
	}
}

// TestFreshReaderNeedsAWholeCheckpoint lets the first records expire. A reader
// that starts then may begin only at a checkpoint behind which all is readable.
func TestFreshReaderNeedsAWholeCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{Retention: time.Minute})
		ctx := t.Context()
		o := operator{reader(s), private}
		must(t, o.publish(ctx, 1))
		stale := Envelope{Kind: kindCheckpoint, Through: 0, Chain: o.Chain()}
		must(t, o.publish(ctx, 2))
		time.Sleep(40 * time.Second)
		// A slow entry appends what it had folded long ago.
		data, _ := json.Marshal(stale)
		_, err := s.Log(Stream).Append(ctx, data)
		must(t, err)
		time.Sleep(30 * time.Second)
		fresh := reader(s)
		var none *NoCheckpointError
		if err := fresh.Step(ctx, 0); !errors.As(err, &none) || fresh.Bundle() != nil {
			t.Fatalf("a fresh reader trusts a stale checkpoint: %v, bundle %v", err, fresh.Bundle())
		}
		if err := fresh.Adopt(o.Chain()); err != nil || fresh.Bundle().Version != 2 {
			t.Fatalf("a peer's chain is not taken: %v", err)
		}
	})
}

func TestCheckpointKeepsTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{Retention: time.Minute})
		ctx, cancel := context.WithCancel(t.Context())
		o := operator{reader(s), private}
		must(t, o.publish(ctx, 1))
		must(t, o.publish(ctx, 2))
		keeper := New(Options{Log: s.Log(Stream), Signers: signers, Refresh: 10 * time.Second})
		done := make(chan struct{})
		go func() {
			defer close(done)
			keeper.Run(ctx)
		}()
		time.Sleep(10 * time.Minute)
		fresh := reader(s)
		must(t, fresh.Step(ctx, 0))
		if fresh.Bundle() == nil || fresh.Bundle().Version != 2 {
			t.Fatalf("after ten retentions the version is lost: %v", fresh.Bundle())
		}
		must(t, operator{fresh, private}.publish(ctx, 3))
		cancel()
		<-done
	})
}

// TestCheckpointIsNotLeftToChance gives the only entry draws that never choose
// it. The stream must not drop the last checkpoint all the same.
func TestCheckpointIsNotLeftToChance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{Retention: time.Minute})
		ctx, cancel := context.WithCancel(t.Context())
		must(t, operator{reader(s), private}.publish(ctx, 1))
		keeper := New(Options{
			Log: s.Log(Stream), Signers: signers, Refresh: 10 * time.Second,
			Draw: func() float64 { return 0.999 },
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			keeper.Run(ctx)
		}()
		for range 10 {
			time.Sleep(time.Minute)
			fresh := reader(s)
			must(t, fresh.Step(ctx, 0))
			if fresh.Bundle() == nil {
				t.Fatal("the stream has lost the version in force")
			}
		}
		cancel()
		<-done
	})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestAdoptNeverGoesBack(t *testing.T) {
	s := store.New(store.Options{})
	o := operator{reader(s), private}
	must(t, o.publish(t.Context(), 1))
	old := o.Chain()
	must(t, o.publish(t.Context(), 2))
	if err := o.Adopt(old); err != nil || o.Bundle().Version != 2 {
		t.Fatalf("version %d, error %v", o.Bundle().Version, err)
	}
	broken := append([]bundle.Record(nil), o.Chain()...)
	broken[len(broken)-1].Version = 9
	if o.Adopt(broken) == nil || o.Bundle().Version != 2 {
		t.Fatal("a forged chain passes")
	}
}

func TestPartitionsMayNotChange(t *testing.T) {
	s := store.New(store.Options{})
	o := operator{reader(s), private}
	must(t, o.publish(t.Context(), 1))
	record := o.Draft("[rules]\npartitions = 9\n" + fmt.Sprintf(text, 1))
	record.Seal(private)
	var void *VoidError
	if err := o.Publish(t.Context(), record); !errors.As(err, &void) || o.Bundle().Version != 1 {
		t.Fatalf("a bundle that moves claimed keys to other partitions: %v", err)
	}
	if s.AppendCount() != 2 {
		t.Fatalf("a void record was appended again: %d appends", s.AppendCount())
	}
}

// TestFoldIsTheSameForAll draws races of operators, lost replies and outages,
// and lets readers fold at different moments: all agree, versions only rise,
// and what one was told is accepted stays in its history.
func TestFoldIsTheSameForAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := store.New(store.Options{})
		ctx := context.Background()
		operators := []operator{{reader(s), private}, {reader(s), private}, {reader(s), private}}
		readers := []*Rollout{reader(s), reader(s)}
		won := map[int64]string{}
		highest := make([]int64, len(readers))
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			o := operators[rapid.IntRange(0, 2).Draw(t, "operator")]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				s.SetFaults(store.Faults{LostReplies: 1})
			case 1:
				_ = o.Step(ctx, 0)
			case 2:
				i := rapid.IntRange(0, 1).Draw(t, "reader")
				_ = readers[i].Step(ctx, 0)
				if v := readers[i].version(); v < highest[i] {
					t.Fatalf("version goes back from %d to %d", highest[i], v)
				}
				highest[i] = readers[i].version()
			default:
				record := o.Draft(fmt.Sprintf(text, rapid.IntRange(1, 9).Draw(t, "weight")))
				record.Seal(private)
				if err := o.Publish(ctx, record); err == nil {
					if other, ok := won[record.Version]; ok && other != record.ID {
						t.Fatalf("version %d was won by two", record.Version)
					}
					won[record.Version] = record.ID
				}
			}
		}
		for _, r := range readers {
			if err := r.Step(ctx, 0); err != nil {
				t.Fatal(err)
			}
			if r.ID() != readers[0].ID() {
				t.Fatal("readers disagree")
			}
			if v := r.version(); v > 0 && won[v] != "" && won[v] != r.ID() {
				t.Fatal("the version in force is not the one that won")
			}
		}
	})
}

// version is that of the bundle in force.
func (r *Rollout) version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.force.version()
}

func FuzzFold(f *testing.F) {
	const record = `{"kind":"checkpoint","through":-5,"chain":[{"id":"x","version":1}]}`
	f.Add([]byte(record))
	for _, text := range mutate.Variants(record, 1000) {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := store.New(store.Options{})
		_, _ = s.Log(Stream).Append(context.Background(), data)
		r := reader(s)
		if err := r.Step(context.Background(), 0); err != nil || r.Bundle() != nil {
			t.Fatalf("bundle %v, error %v", r.Bundle(), err)
		}
	})
}
