package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/radishgate/radishgate/internal/mutate"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/store"
)

// outcome is what one claim told its caller.
type outcome int

const (
	started  outcome = iota // the job was built by this claim
	attached                // the job was built before, here
	lost                    // an earlier owner claimed the key
	refused                 // nothing was started by this call
)

// model allows one start of each key. A key that was told lost may or may not
// have been started, and a refusal changes nothing.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(string)
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		was := state.(bool)
		switch output.(outcome) {
		case started:
			return !was, true
		case attached:
			return was, true
		default:
			return true, was
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// run has several processes fight over one partition while the log loses
// replies and has outages, and gives the history.
func run(seed uint64, processes, keys, rounds int) []porcupine.Operation {
	s := store.New(store.Options{})
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	var group sync.WaitGroup
	for id := range processes {
		random := rand.New(rand.NewPCG(seed, uint64(id)))
		p := New[int](Options{
			Log: s.Log("claims-0"), Owner: fmt.Sprintf("vm-%d~1", id), Nonce: rand.Uint64, Tries: 1, Pause: time.Microsecond, Breath: time.Nanosecond,
		})
		group.Go(func() {
			for range rounds {
				disturb(s, p, random)
				key := fmt.Sprint("key-", random.IntN(keys))
				call := time.Since(began).Nanoseconds()
				out := claimOnce(p, key)
				back := time.Since(began).Nanoseconds()
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: id, Input: key, Call: call, Output: out, Return: back})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return history
}

func disturb(s *store.Store, p *Partition[int], random *rand.Rand) {
	switch random.IntN(12) {
	case 0:
		s.SetFaults(store.Faults{LostReplies: 1 + random.IntN(2)})
	case 1:
		s.SetFaults(store.Faults{Outage: true})
	case 2, 3:
		s.SetFaults(store.Faults{})
	case 4:
		p.Release()
	case 5, 6:
		time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
	}
}

func claimOnce(p *Partition[int], key string) outcome {
	ctx := context.Background()
	if p.Acquire(ctx) != nil {
		return refused
	}
	_, made, err := p.Claim(ctx, key, "digest", func() int { return 1 })
	var gone *LostError
	switch {
	case err == nil && made:
		return started
	case err == nil:
		return attached
	case errors.As(err, &gone):
		return lost
	}
	return refused
}

func TestKeysStartAtMostOnceInAnyHistory(t *testing.T) {
	for seed := range uint64(40) {
		history := run(seed, 4, 6, 40)
		starts := 0
		for _, o := range history {
			if o.Output.(outcome) == started {
				starts++
			}
		}
		if !porcupine.CheckOperations(model, history) {
			t.Fatalf("seed %d: a key started twice, or was attached to before its start", seed)
		}
		if starts == 0 && seed == 0 {
			t.Fatal("no key started, the run proves nothing")
		}
	}
}

// TestModelFindsADoubleStart shows that the check can fail.
func TestModelFindsADoubleStart(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: "k", Call: 0, Output: started, Return: 10},
		{ClientId: 1, Input: "k", Call: 20, Output: started, Return: 30},
	}
	if porcupine.CheckOperations(model, history) {
		t.Fatal("the model allows two starts")
	}
}

func TestClaimsShareRecords(t *testing.T) {
	s := store.New(store.Options{SyncTime: 5 * time.Millisecond})
	p := New[int](Options{Log: s.Log("claims-0"), Owner: "a~1", Nonce: rand.Uint64})
	if err := p.Acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			if _, made, err := p.Claim(t.Context(), fmt.Sprint(i), "d", func() int { return i }); err != nil || !made {
				t.Errorf("claim %d: made %v, error %v", i, made, err)
			}
		})
	}
	group.Wait()
	appends, claims := p.Counts()
	if claims != 200 || appends > 100 {
		t.Fatalf("%d claims in %d appends", claims, appends)
	}
}

// TestLateRecordOfALostReply has the record of an unresolved append arrive
// after its caller was told that nothing started. Its owner may then start the
// key, a later owner may not.
func TestLateRecordOfALostReply(t *testing.T) {
	s := store.New(store.Options{})
	a, b := pair(s)
	ctx := t.Context()
	if err := a.Acquire(ctx); err != nil {
		t.Fatal(err)
	}
	log := a.options.Log
	blind := log
	blind.Read = func(context.Context, int64, time.Duration) (platform.Page, error) {
		return platform.Page{}, &store.FaultError{Fault: "blind"}
	}
	a.options.Log, a.options.Tries, a.options.Pause = blind, 1, time.Microsecond
	s.SetFaults(store.Faults{LostReplies: 1})
	var unconfirmed *LogError
	if _, _, err := a.Claim(ctx, "x", "d", func() int { return 1 }); !errors.As(err, &unconfirmed) {
		t.Fatalf("claim without a reply: %v", err)
	}
	a.options.Log = log
	if _, made, err := a.Claim(ctx, "x", "d", func() int { return 1 }); err != nil || !made {
		t.Fatalf("the owner itself: made %v, error %v", made, err)
	}
	var gone *LostError
	if err := b.Acquire(ctx); err != nil {
		t.Fatal(err)
	}
	if _, _, err := b.Claim(ctx, "x", "d", func() int { return 2 }); !errors.As(err, &gone) {
		t.Fatalf("a later owner: %v", err)
	}
}

func FuzzFold(f *testing.F) {
	f.Add([]byte(`{"kind":"own","owner":"x~1"}`))
	const claims = `{"kind":"claims","own":-3,"keys":[{"key":"k"}]}`
	f.Add([]byte(claims))
	for _, text := range mutate.Variants(claims, 1000) {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := store.New(store.Options{})
		ctx := context.Background()
		_, _ = s.Log("claims-0").Append(ctx, data)
		p := New[int](Options{Log: s.Log("claims-0"), Owner: "a~1", Nonce: rand.Uint64})
		if err := p.Acquire(ctx); err != nil || !p.Owned() {
			t.Fatalf("owned %v, error %v", p.Owned(), err)
		}
	})
}
