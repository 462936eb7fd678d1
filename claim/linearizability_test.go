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

// outcome is the result of one claim as its caller sees it.
type outcome int

const (
	started  outcome = iota // this claim built the job
	attached                // the same process built the job before
	lost                    // an earlier owner claimed the key
	refused                 // this call started nothing
)

// startOnceModel allows one start of each key. After the outcome lost the key may or
// may not have been started; refused changes nothing.
var startOnceModel = porcupine.Model{
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
		startedBefore := state.(bool)
		switch output.(outcome) {
		case started:
			return !startedBefore, true
		case attached:
			return startedBefore, true
		default:
			return true, startedBefore
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// runConcurrentClaims lets several processes compete for one partition while the log
// loses replies and has outages. It returns the history of their claims.
func runConcurrentClaims(seed uint64, processes, keys, rounds int) []porcupine.Operation {
	s := store.New(store.Options{})
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var group sync.WaitGroup
	for id := range processes {
		random := rand.New(rand.NewPCG(seed, uint64(id)))
		p := New[int](Options{
			Log: s.Log("claims-0"), Owner: fmt.Sprintf("vm-%d~1", id), Nonce: rand.Uint64, ReadBackTries: 1, ReadBackInterval: time.Microsecond, FailureBackoff: time.Nanosecond,
		})
		group.Go(func() {
			for range rounds {
				injectFault(s, p, random)
				key := fmt.Sprint("key-", random.IntN(keys))
				called := time.Since(start).Nanoseconds()
				out := claimOnce(p, key)
				returned := time.Since(start).Nanoseconds()
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: id, Input: key, Call: called, Output: out, Return: returned})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return history
}

// injectFault randomly starts or ends a fault of the log, releases the partition,
// pauses, or does nothing.
func injectFault(s *store.Store, p *Partition[int], random *rand.Rand) {
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

// claimOnce acquires the partition if necessary and claims a key.
func claimOnce(p *Partition[int], key string) outcome {
	ctx := context.Background()
	if p.Acquire(ctx) != nil {
		return refused
	}
	_, claimed, err := p.Claim(ctx, key, "digest", func() int { return 1 })
	var claimedByOther *ClaimedByOtherError
	switch {
	case err == nil && claimed:
		return started
	case err == nil:
		return attached
	case errors.As(err, &claimedByOther):
		return lost
	}
	return refused
}

// TestKeysStartAtMostOnceUnderConcurrentFaults guards against a key that two
// processes start, or that is attached to before it is started, while ownership
// changes, replies of the log are lost and the log fails.
func TestKeysStartAtMostOnceUnderConcurrentFaults(t *testing.T) {
	for seed := range uint64(40) {
		history := runConcurrentClaims(seed, 4, 6, 40)
		starts := 0
		for _, o := range history {
			if o.Output.(outcome) == started {
				starts++
			}
		}
		if !porcupine.CheckOperations(startOnceModel, history) {
			t.Fatalf("seed %d: a key started twice, or was attached to before its start", seed)
		}
		if starts == 0 && seed == 0 {
			t.Fatal("no key was started, so the run checks nothing")
		}
	}
}

// TestModelRejectsDoubleStart guards against a model that accepts every history.
func TestModelRejectsDoubleStart(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: "k", Call: 0, Output: started, Return: 10},
		{ClientId: 1, Input: "k", Call: 20, Output: started, Return: 30},
	}
	if porcupine.CheckOperations(startOnceModel, history) {
		t.Fatal("the model allows two starts")
	}
}

// TestConcurrentClaimsShareRecords guards against an append for each claim when many
// claims are made at once.
func TestConcurrentClaimsShareRecords(t *testing.T) {
	s := store.New(store.Options{SyncTime: 5 * time.Millisecond})
	p := New[int](Options{Log: s.Log("claims-0"), Owner: "a~1", Nonce: rand.Uint64})
	if err := p.Acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			if _, claimed, err := p.Claim(t.Context(), fmt.Sprint(i), "d", func() int { return i }); err != nil || !claimed {
				t.Errorf("claim %d: claimed %v, error %v", i, claimed, err)
			}
		})
	}
	group.Wait()
	appendCount, claimCount := p.Counts()
	if claimCount != 200 || appendCount > 100 {
		t.Fatalf("%d claims in %d appends", claimCount, appendCount)
	}
}

// TestUnresolvedAppendIsNotStartedByLaterOwner guards against a second start after a
// lost reply: the claim is in the log, but reading it back fails, so its caller gets
// an error. The same owner may then start the key, a later owner may not.
func TestUnresolvedAppendIsNotStartedByLaterOwner(t *testing.T) {
	s := store.New(store.Options{})
	a, b := newPair(s)
	ctx := t.Context()
	if err := a.Acquire(ctx); err != nil {
		t.Fatal(err)
	}
	log := a.options.Log
	unreadable := log
	unreadable.Read = func(context.Context, int64, time.Duration) (platform.Page, error) {
		return platform.Page{}, &store.FaultError{Fault: "blind"}
	}
	a.options.Log, a.options.ReadBackTries, a.options.ReadBackInterval = unreadable, 1, time.Microsecond
	s.SetFaults(store.Faults{LostReplies: 1})
	var unconfirmed *LogError
	if _, _, err := a.Claim(ctx, "x", "d", func() int { return 1 }); !errors.As(err, &unconfirmed) {
		t.Fatalf("claim without a reply: %v", err)
	}
	a.options.Log = log
	if _, claimed, err := a.Claim(ctx, "x", "d", func() int { return 1 }); err != nil || !claimed {
		t.Fatalf("second claim of the same owner: claimed %v, error %v", claimed, err)
	}
	var claimedByOther *ClaimedByOtherError
	if err := b.Acquire(ctx); err != nil {
		t.Fatal(err)
	}
	if _, _, err := b.Claim(ctx, "x", "d", func() int { return 2 }); !errors.As(err, &claimedByOther) {
		t.Fatalf("a later owner claims: %v", err)
	}
}

// FuzzReplay guards against records in the log that keep a process from becoming
// the owner.
func FuzzReplay(f *testing.F) {
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
