package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/claim"
	"github.com/radishgate/radishgate/common/counted"
	"github.com/radishgate/radishgate/common/usage"
	"github.com/radishgate/radishgate/dispatch"
	"github.com/radishgate/radishgate/estimate"
	"github.com/radishgate/radishgate/home"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/loan"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer"
	"github.com/radishgate/radishgate/peer/wire"
	"github.com/radishgate/radishgate/quota"
	"github.com/radishgate/radishgate/standin/store"
	"github.com/radishgate/radishgate/upstream"
	"github.com/radishgate/radishgate/window"
)

// Series is one slope: what was measured over which sizes.
type Series struct {
	Name   string  `json:"name"`
	Role   string  `json:"role"`
	Size   string  `json:"size"` // what grows
	Cost   string  `json:"cost"` // what was measured, with its unit
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// measure fills in one series.
func measure(name, role, size, cost string, sizes []int, one func(size int) float64) Series {
	s := Series{Name: name, Role: role, Size: size, Cost: cost}
	for _, n := range sizes {
		s.Points = append(s.Points, Point{Size: float64(n), Cost: one(n)})
	}
	s.Fit = Line(s.Points)
	return s
}

// times runs a function often and gives the microseconds of one run, the best
// of three rounds, since other work on the machine only ever adds.
func times(runs int, f func()) float64 {
	best := time.Duration(1<<62 - 1)
	for range 3 {
		began := time.Now()
		for range runs {
			f()
		}
		best = min(best, time.Since(began)/time.Duration(runs))
	}
	return float64(best.Nanoseconds()) / 1000
}

// heap gives the bytes that building something keeps.
func heap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // pools are emptied by the second one
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

const zoneMembers = 8 // entries of one zone in the series of members

func members(size int) []*member.Table {
	var tables []*member.Table
	var list []member.Record
	for i := range size {
		r := member.Record{
			ID: fmt.Sprintf("entry-%04d", i), Zone: fmt.Sprintf("zone-%02d", i/zoneMembers), Peer: "10.100.200.30:8081",
			Incarnation: rand.Uint64(), Weight: 4, Ready: true, Free: 40, Version: 15_000,
		}
		list = append(list, r)
		tables = append(tables, member.New(member.Options{Self: r}))
	}
	for _, t := range tables {
		t.Seed(list)
	}
	return tables
}

// exchange sends one heartbeat from every table and gives the bytes of all
// messages and answers.
func exchange(tables []*member.Table, byID map[string]*member.Table) int {
	bytes := 0
	for _, t := range tables {
		t.Sweep()
		records, targets := t.Beat()
		beat := pack(records)
		for _, target := range targets {
			other := byID[target.ID]
			other.Merge(records)
			answer := other.Digest()
			t.Merge(answer)
			t.Reached(target.ID, true)
			bytes += proto.Size(beat) + proto.Size(pack(answer))
		}
	}
	return bytes
}

func pack(records []member.Record) *wire.Beat {
	beat := &wire.Beat{}
	for _, r := range records {
		beat.Members = append(beat.Members, peer.Pack(r))
	}
	return beat
}

// warmTicks lets views agree before anything is measured.
const warmTicks = 60

func beats(size int) (float64, float64, float64) {
	tables := members(size)
	byID := map[string]*member.Table{}
	for _, t := range tables {
		byID[t.Self().ID] = t
	}
	for range warmTicks {
		exchange(tables, byID)
	}
	const rounds = 20
	bytes := 0
	micros := times(rounds, func() { bytes += exchange(tables, byID) })
	return float64(bytes) / float64(3*rounds*size), micros / float64(size), memberState(tables)
}

// memberState is the memory of one view of all members.
func memberState(tables []*member.Table) float64 {
	const copies = 50
	defer runtime.KeepAlive(tables) // what is freed meanwhile would count as less
	return heap(func() any {
		views := make([]*member.Table, copies)
		for i := range views {
			views[i] = member.New(member.Options{Self: member.Record{ID: "x", Zone: "zone-00"}})
			for _, t := range tables {
				views[i].Merge([]member.Record{t.Self()})
			}
		}
		return views
	}) / copies
}

// overhead is the bytes of HTTP around one message and its answer on loopback.
func overhead() (float64, error) {
	counter := &counted.Counter{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	handler := (&peer.Server{OnBeat: func(b *wire.Beat) *wire.Beat { return b }}).Handler()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := peer.NewClient(nil, counter, nil)
	defer client.Close()
	const calls = 50
	beat := &wire.Beat{Members: []*wire.Member{{Id: "x"}}}
	for range calls {
		if _, err := client.Gossip(context.Background(), listener.Addr().String(), beat); err != nil {
			return 0, err
		}
	}
	total := float64(counter.Read.Load() + counter.Written.Load())
	return total/calls - float64(2*proto.Size(beat)), nil
}

func place(members int) float64 {
	ring := home.Ring{}
	for i := range members {
		ring.Members = append(ring.Members, home.Member{ID: fmt.Sprint("entry-", i), Weight: 4})
	}
	const upstreams, slots = 50, 8
	return times(3, func() {
		for i := range upstreams {
			ring.Slots("entry-0", fmt.Sprint("runner-", i), slots)
		}
	}) / (upstreams * slots)
}

func keys(count int) float64 {
	return heap(func() any {
		w := window.New[*job.Job](window.Options{Entries: 1 << 30})
		for i := range count {
			key := fmt.Sprintf("o1~zone-a~entry-12~0123456789abcdef~17.order-%09d", i)
			_, _, _ = w.Claim(0, key, func() *job.Job {
				return &job.Job{Key: key, Digest: "0123456789abcdef0123456789abcdef", Tenant: "t"}
			})
		}
		return w
	})
}

// claims gives the appends a second and the claims in each that so many callers
// at once reach on a log whose append takes 5 ms.
func claims(callers int) float64 {
	s := store.New(store.Options{SyncTime: 5 * time.Millisecond})
	p := claim.New[int](claim.Options{Log: s.Log("claims-0"), Owner: "a~1", Nonce: rand.Uint64, Keys: 1 << 30})
	ctx := context.Background()
	if p.Acquire(ctx) != nil {
		return 0
	}
	var group sync.WaitGroup
	until := time.Now().Add(400 * time.Millisecond)
	for c := range callers {
		group.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				_, _, _ = p.Claim(ctx, fmt.Sprint(c, "-", i), "d", func() int { return i })
			}
		})
	}
	group.Wait()
	appends, total := p.Counts()
	return float64(total) / float64(appends)
}

func bundleText(upstreams, tenants int) string {
	var text strings.Builder
	text.WriteString("[rules]\n[service fit]\npath = /fit\n")
	for i := range tenants {
		fmt.Fprintf(&text, "[tenant team-%d]\nweight = 2\nquota = 1000\n", i)
	}
	for i := range upstreams {
		fmt.Fprintf(&text, "[upstream runner-%d]\nzone = zone-%02d\naddress = 10.%d.%d.%d:9000\nslots = 8\nlabels = a100\n", i, i%16, i>>16, i>>8&255, i&255)
	}
	return text.String()
}

// change gives the microseconds of folding one change of a section into a
// bundle of so many upstreams.
func change(upstreams int) float64 {
	text := bundleText(upstreams, 62)
	section := "[upstream runner-3]\nzone = zone-03\naddress = 10.0.0.3:9000\nslots = 8\nleaving = true\n"
	b, err := bundle.Parse("bundle", 1, text)
	if err != nil {
		return 0
	}
	return times(20, func() { _, _ = b.Change("bundle", 2, section) })
}

func bundleBytes(upstreams int) float64 {
	text := bundleText(upstreams, 62)
	return heap(func() any {
		b, _ := bundle.Parse("bundle", 1, text)
		return b
	})
}

// dispatches gives the microseconds of processor time that one task costs the
// dispatcher, in jobs of so many tasks on so many upstreams that answer at once.
func dispatches(upstreams, tasks int) float64 {
	text := "[tenant t]\n[service fit]\npath = /fit\nlimit = 1h\n"
	ledger := loan.New(loan.Options{})
	for i := range upstreams {
		text += fmt.Sprintf("[upstream r%d]\nzone = z\naddress = 10.0.%d.%d:1\n", i, i>>8, i&255)
		ledger.Set(fmt.Sprint("r", i), 8)
		ledger.Settle(fmt.Sprint("r", i))
	}
	b, err := bundle.Parse("bundle", 1, text)
	if err != nil {
		return 0
	}
	d := dispatch.New(dispatch.Options{
		Zone: "z", Ledger: ledger, Estimator: estimate.New(time.Now),
		Send: func(context.Context, string, upstream.Call) (upstream.Answer, error) {
			time.Sleep(5 * time.Millisecond)
			return upstream.Answer{Status: http.StatusOK, Body: []byte("1")}, nil
		},
	})
	d.Apply(b)
	began := usage.Processor()
	const rounds = 12
	for range rounds {
		j := &job.Job{Tenant: "t", Service: b.Services["fit"], Bundle: b, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
		for range tasks {
			j.Tasks = append(j.Tasks, job.Task{Body: []byte("1")})
		}
		j = job.New(context.Background(), j)
		if d.Submit(j) == nil {
			<-j.Done()
		}
	}
	return (usage.Processor() - began).Seconds() * 1e6 / float64(rounds*tasks)
}

func shares(tenants int) float64 {
	q := quota.New(time.Now)
	limits := map[string]float64{}
	demands := map[string]float64{}
	for i := range tenants {
		limits[fmt.Sprint("team-", i)] = 1000
		demands[fmt.Sprint("team-", i)] = 100
	}
	q.Set(limits, 16)
	v := quota.View{Zones: 16, Whole: true, Members: map[string]map[string]float64{}, Others: map[string]map[string]float64{}}
	for i := range 15 {
		v.Others[fmt.Sprint(i)] = demands
		if i < zoneMembers-1 {
			v.Members[fmt.Sprint(i)] = demands
		}
	}
	return times(50, func() { q.Share(v) })
}

func demandBytes(tenants int) float64 {
	demands := &wire.Demands{}
	for i := range tenants {
		demands.Tenants = append(demands.Tenants, uint32(i)*7919)
		demands.Rates = append(demands.Rates, 100)
	}
	beat := &wire.Beat{Demands: demands}
	for z := range 2 {
		beat.Zones = append(beat.Zones, &wire.Zone{Name: fmt.Sprintf("zone-%02d", z), At: 1 << 40, Demands: demands})
	}
	return float64(proto.Size(beat))
}

func recordBytes(changed int) float64 {
	text := bundleText(1000, 62)
	next := text
	for i := range changed {
		next = strings.Replace(next, fmt.Sprintf("[upstream runner-%d]\n", i), fmt.Sprintf("[upstream runner-%d]\nleaving = true\n", i), 1)
	}
	record := bundle.Record{Version: 2, Parent: strings.Repeat("0", 64), Change: true, Text: bundle.Diff(text, next)}
	data, _ := json.Marshal(record)
	return float64(len(data)) + 200 // signature, signer and envelope
}
