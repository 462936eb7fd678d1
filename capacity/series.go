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

// Series is one cost measured at several sizes, with the line fitted to it.
type Series struct {
	Name      string  `json:"name"`
	Role      string  `json:"role"`
	GrowsWith string  `json:"size"` // the size that varies
	Measured  string  `json:"cost"` // the cost, with its unit
	Points    []Point `json:"points"`
	Fit       Fit     `json:"fit"`
}

// measureSeries measures the cost at each size and fits a line.
func measureSeries(name, role, growsWith, measured string, sizes []int, measureCost func(size int) float64) Series {
	s := Series{Name: name, Role: role, GrowsWith: growsWith, Measured: measured}
	for _, n := range sizes {
		s.Points = append(s.Points, Point{Size: float64(n), Cost: measureCost(n)})
	}
	s.Fit = FitLine(s.Points)
	return s
}

// bestMicros returns the duration of one call of f in microseconds, averaged over a
// number of runs. It takes the best of three rounds, because other work on the machine can
// only slow a round down.
func bestMicros(runs int, f func()) float64 {
	best := time.Duration(1<<62 - 1)
	for range 3 {
		start := time.Now()
		for range runs {
			f()
		}
		best = min(best, time.Since(start)/time.Duration(runs))
	}
	return float64(best.Nanoseconds()) / 1000
}

// heapBytes returns the heap memory held by the value that build returns.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // a sync.Pool is emptied only by the second collection
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

const entriesPerZone = 8 // in the series that vary the number of entries

// newTables returns the member tables of a number of entries, each seeded with all
// entries.
func newTables(count int) []*member.Table {
	var tables []*member.Table
	var list []member.Record
	for i := range count {
		r := member.Record{
			ID: fmt.Sprintf("entry-%04d", i), Zone: fmt.Sprintf("zone-%02d", i/entriesPerZone), PeerAddress: "10.100.200.30:8081",
			Incarnation: rand.Uint64(), Weight: 4, Ready: true, FreeSlots: 40, BundleVersion: 15_000,
		}
		list = append(list, r)
		tables = append(tables, member.New(member.Options{Self: r}))
	}
	for _, t := range tables {
		t.SetSeeds(list)
	}
	return tables
}

// exchangeHeartbeats sends the heartbeats of one round from every table and returns the
// size of all messages and answers.
func exchangeHeartbeats(tables []*member.Table, byID map[string]*member.Table) int {
	bytes := 0
	for _, t := range tables {
		t.CheckTimeouts()
		records, targets := t.NextHeartbeat()
		heartbeat := packHeartbeat(records)
		for _, target := range targets {
			other := byID[target.ID]
			other.Merge(records)
			reply := other.ReplyRecords()
			t.Merge(reply)
			t.NoteContact(target.ID, true)
			bytes += proto.Size(heartbeat) + proto.Size(packHeartbeat(reply))
		}
	}
	return bytes
}

func packHeartbeat(records []member.Record) *wire.Beat {
	heartbeat := &wire.Beat{}
	for _, r := range records {
		heartbeat.Members = append(heartbeat.Members, peer.PackMember(r))
	}
	return heartbeat
}

// warmupRounds is the number of heartbeat rounds after which the tables agree; only later
// rounds are measured.
const warmupRounds = 60

// heartbeatCosts returns what one entry pays for a heartbeat round: the bytes sent and
// answered and the microseconds taken. The third value is the memory of one member table.
func heartbeatCosts(entries int) (float64, float64, float64) {
	tables := newTables(entries)
	byID := map[string]*member.Table{}
	for _, t := range tables {
		byID[t.Self().ID] = t
	}
	for range warmupRounds {
		exchangeHeartbeats(tables, byID)
	}
	const rounds = 20
	bytes := 0
	micros := bestMicros(rounds, func() { bytes += exchangeHeartbeats(tables, byID) })
	return float64(bytes) / float64(3*rounds*entries), micros / float64(entries), memberStateBytes(tables)
}

// memberStateBytes returns the memory of one member table that knows all entries.
func memberStateBytes(tables []*member.Table) float64 {
	const copies = 50
	defer runtime.KeepAlive(tables) // tables freed during the measurement would reduce the result
	return heapBytes(func() any {
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

// measureHTTPOverhead returns the bytes that HTTP adds to one message and its answer on
// loopback.
func measureHTTPOverhead() (float64, error) {
	counter := &counted.Counter{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	handler := (&peer.Server{OnHeartbeat: func(b *wire.Beat) *wire.Beat { return b }}).Handler()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := peer.NewClient(nil, counter, nil)
	defer client.Close()
	const calls = 50
	heartbeat := &wire.Beat{Members: []*wire.Member{{Id: "x"}}}
	for range calls {
		if _, err := client.SendHeartbeat(context.Background(), listener.Addr().String(), heartbeat); err != nil {
			return 0, err
		}
	}
	total := float64(counter.BytesRead.Load() + counter.BytesWritten.Load())
	return total/calls - float64(2*proto.Size(heartbeat)), nil
}

// homeMicros returns the microseconds it takes to find the home of one slot in a zone with
// the given number of entries.
func homeMicros(members int) float64 {
	memberSet := home.MemberSet{}
	for i := range members {
		memberSet.Members = append(memberSet.Members, home.Member{ID: fmt.Sprint("entry-", i), Weight: 4})
	}
	const upstreams, slots = 50, 8
	return bestMicros(3, func() {
		for i := range upstreams {
			memberSet.CountSlots("entry-0", fmt.Sprint("runner-", i), slots)
		}
	}) / (upstreams * slots)
}

// keyStateBytes returns the memory of a key window that holds count keys.
func keyStateBytes(count int) float64 {
	return heapBytes(func() any {
		keyWindow := window.New[*job.Job](window.Options{MaxKeys: 1 << 30})
		for i := range count {
			key := fmt.Sprintf("o1~zone-a~entry-12~0123456789abcdef~17.order-%09d", i)
			_, _, _ = keyWindow.GetOrCreate(0, key, func() *job.Job {
				return &job.Job{Key: key, Digest: "0123456789abcdef0123456789abcdef", Tenant: "t"}
			})
		}
		return keyWindow
	})
}

// claimBatchSize returns the average number of claims per append when the given number of
// callers claim keys concurrently on a log whose append takes 5 ms.
func claimBatchSize(callers int) float64 {
	logStore := store.New(store.Options{SyncTime: 5 * time.Millisecond})
	partition := claim.New[int](claim.Options{Log: logStore.Log("claims-0"), Owner: "a~1", Nonce: rand.Uint64, MaxKeys: 1 << 30})
	ctx := context.Background()
	if partition.Acquire(ctx) != nil {
		return 0
	}
	var group sync.WaitGroup
	until := time.Now().Add(400 * time.Millisecond)
	for c := range callers {
		group.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				_, _, _ = partition.Claim(ctx, fmt.Sprint(c, "-", i), "d", func() int { return i })
			}
		})
	}
	group.Wait()
	appends, total := partition.Counts()
	return float64(total) / float64(appends)
}

// bundleText returns a bundle with the given numbers of upstreams and tenants.
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

// foldMicros returns the microseconds it takes to apply a change of one section to a bundle
// with the given number of upstreams.
func foldMicros(upstreams int) float64 {
	text := bundleText(upstreams, 62)
	section := "[upstream runner-3]\nzone = zone-03\naddress = 10.0.0.3:9000\nslots = 8\nleaving = true\n"
	b, err := bundle.Parse("bundle", 1, text)
	if err != nil {
		return 0
	}
	return bestMicros(20, func() { _, _ = b.ApplyChange("bundle", 2, section) })
}

// bundleStateBytes returns the memory of a parsed bundle.
func bundleStateBytes(upstreams int) float64 {
	text := bundleText(upstreams, 62)
	return heapBytes(func() any {
		b, _ := bundle.Parse("bundle", 1, text)
		return b
	})
}

// dispatchMicros returns the CPU time in microseconds that the dispatcher spends on one task,
// for jobs of the given number of tasks. The upstreams are simulated without HTTP and
// answer after 5 ms.
func dispatchMicros(upstreams, tasks int) float64 {
	text := "[tenant t]\n[service fit]\npath = /fit\nlimit = 1h\n"
	ledger := loan.New(loan.Options{})
	for i := range upstreams {
		text += fmt.Sprintf("[upstream r%d]\nzone = z\naddress = 10.0.%d.%d:1\n", i, i>>8, i&255)
		ledger.SetHomeSlots(fmt.Sprint("r", i), 8)
		ledger.ActivateGained(fmt.Sprint("r", i))
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
	startCPU := usage.CPUTime()
	const rounds = 12
	for range rounds {
		j := &job.Job{Tenant: "t", Service: b.Services["fit"], Bundle: b, ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Minute)}
		for range tasks {
			j.Tasks = append(j.Tasks, job.Task{Body: []byte("1")})
		}
		j = job.New(context.Background(), j)
		if d.Submit(j) == nil {
			<-j.Done()
		}
	}
	return (usage.CPUTime() - startCPU).Seconds() * 1e6 / float64(rounds*tasks)
}

// shareMicros returns the microseconds it takes to recompute the quota shares of an entry
// in a system of 16 zones.
func shareMicros(tenants int) float64 {
	limiter := quota.New(time.Now)
	limits := map[string]float64{}
	demands := map[string]float64{}
	for i := range tenants {
		limits[fmt.Sprint("team-", i)] = 1000
		demands[fmt.Sprint("team-", i)] = 100
	}
	limiter.SetLimits(limits, 16)
	view := quota.DemandView{Zones: 16, AllZonesHeard: true, EntryDemands: map[string]map[string]float64{}, ZoneDemands: map[string]map[string]float64{}}
	for i := range 15 {
		view.ZoneDemands[fmt.Sprint(i)] = demands
		if i < entriesPerZone-1 {
			view.EntryDemands[fmt.Sprint(i)] = demands
		}
	}
	return bestMicros(50, func() { limiter.UpdateShares(view) })
}

// demandMessageBytes returns the size of the demands in one heartbeat: those of the entry,
// of its zone and of one other zone.
func demandMessageBytes(tenants int) float64 {
	demands := &wire.Demands{}
	for i := range tenants {
		demands.Tenants = append(demands.Tenants, uint32(i)*7919)
		demands.Rates = append(demands.Rates, 100)
	}
	heartbeat := &wire.Beat{Demands: demands}
	for z := range 2 {
		heartbeat.Zones = append(heartbeat.Zones, &wire.Zone{Name: fmt.Sprintf("zone-%02d", z), At: 1 << 40, Demands: demands})
	}
	return float64(proto.Size(heartbeat))
}

// changeRecordBytes returns the size of a log record that changes the given number of
// sections.
func changeRecordBytes(changed int) float64 {
	text := bundleText(1000, 62)
	next := text
	for i := range changed {
		next = strings.Replace(next, fmt.Sprintf("[upstream runner-%d]\n", i), fmt.Sprintf("[upstream runner-%d]\nleaving = true\n", i), 1)
	}
	record := bundle.Record{Version: 2, Parent: strings.Repeat("0", 64), IsChange: true, Text: bundle.Diff(text, next)}
	data, _ := json.Marshal(record)
	return float64(len(data)) + 200 // for the signature, signer and envelope
}
