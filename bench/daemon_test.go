package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/radishgate/radishgate/caller"
	"github.com/radishgate/radishgate/capacity"
	"github.com/radishgate/radishgate/client"
	"github.com/radishgate/radishgate/demo"
	"github.com/radishgate/radishgate/load"
	"github.com/radishgate/radishgate/standin/fleet"
	"github.com/radishgate/radishgate/standin/store"
)

var soak = flag.Duration("soak", time.Minute, "length of BenchmarkSoak")

// daemon is an entry in a process of its own, beside stand-ins in this one.
type daemon struct {
	*fleet.Fleet
	b         *testing.B
	callers   string
	operators string
}

// newDaemon builds the program and starts one entry with the stand-ins.
func newDaemon(b *testing.B, upstreams int, text, more string) *daemon {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := fleet.New(ctx, fleet.Options{
		Zones: []string{"z"}, UpstreamsPerZone: upstreams, SlotsPerUpstream: 8, Speeds: speeds, BundleText: text,
		Store: store.Options{AppendRate: 400, SyncTime: 4 * time.Millisecond},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Stop)
	d := &daemon{Fleet: f, b: b, callers: freeAddress(b), operators: freeAddress(b)}
	name := filepath.Join(b.TempDir(), "entry.ini")
	settings := fmt.Sprintf("[entry]\nvm = e1\nzone = z\nlisten = %s\npeers = %s\noperators = %s\n[platform]\naddress = %s\n[keys]\nsigners = %s\n%s",
		d.callers, freeAddress(b), d.operators, f.PlatformAddress, f.Signer(), more)
	if err := os.WriteFile(name, []byte(settings), 0o600); err != nil {
		b.Fatal(err)
	}
	program := filepath.Join(b.TempDir(), "radishgate")
	if out, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	command := exec.Command(program, "serve", "--settings", name)
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGTERM)
		_ = command.Wait()
	})
	for ctx.Err() == nil && !d.ready() {
		time.Sleep(20 * time.Millisecond)
	}
	if !d.ready() {
		b.Fatal("the entry did not become ready")
	}
	return d
}

func freeAddress(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (d *daemon) ready() bool {
	response, err := http.Get("http://" + d.operators + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// metric reads one value without labels from the entry's metrics.
func (d *daemon) metric(name string) float64 {
	d.b.Helper()
	response, err := http.Get("http://" + d.operators + "/metrics")
	if err != nil {
		d.b.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), name+" ")
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			d.b.Fatal(err)
		}
		return value
	}
	d.b.Fatalf("no metric %s", name)
	return 0
}

// Metrics of the process.
const (
	metricProcessor = "process_cpu_seconds_total"
	metricMemory    = "process_resident_memory_bytes"
	metricAllocs    = "go_memstats_mallocs_total"
)

// submit sends jobs of a size, four at a time, and counts their tasks.
func (d *daemon) submit(size, tasks int) {
	d.b.Helper()
	cl := client.New("vakuumtrak", d.callers)
	defer cl.Close()
	var group sync.WaitGroup
	const workers = 4
	for worker := range workers {
		group.Go(func() {
			for number := range tasks / size / workers {
				body := caller.Body{Service: "fit"}
				for range size {
					body.Tasks = append(body.Tasks, caller.BodyTask{Body: json.RawMessage(`{"run":"1us"}`)})
				}
				_, key, err := cl.Origin(context.Background(), fmt.Sprintf("%d-%d-%d", size, worker, number))
				if err != nil {
					d.b.Error(err)
					return
				}
				if _, err := cl.Submit(context.Background(), d.callers, key, body, time.Minute); err != nil {
					d.b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
}

// Targets of one entry's process.
const (
	perCoreLeast = 10_000.0 // tasks a second
	flatMost     = 1.1      // allocations a task of the largest jobs by those of the smallest
	idleCallers  = 10_000
	memoryMost   = 128 << 20 // bytes, with that many idle callers
	growthMost   = 1.05      // memory at the end of a soak by that of its middle
)

// BenchmarkDaemonTasks measures what a task costs the process of an entry, for
// jobs of several sizes.
func BenchmarkDaemonTasks(b *testing.B) {
	d := newDaemon(b, 17, demo.Bundle, "")
	const tasks = 60_000
	d.submit(60, tasks/10)
	for range b.N {
		var allocs []float64
		for _, size := range []int{60, 240, 660} {
			used, made, began := d.metric(metricProcessor), d.metric(metricAllocs), time.Now()
			count := float64(tasks / size / 4 * 4 * size)
			d.submit(size, tasks)
			rate := count / time.Since(began).Seconds()
			perCore := count / (d.metric(metricProcessor) - used)
			each := (d.metric(metricAllocs) - made) / count
			allocs = append(allocs, each)
			b.ReportMetric(rate, fmt.Sprintf("tasks/s-of-%d", size))
			b.ReportMetric(perCore, fmt.Sprintf("tasks/core-s-of-%d", size))
			b.ReportMetric(each, fmt.Sprintf("allocs/task-of-%d", size))
			if perCore < perCoreLeast {
				b.Errorf("jobs of %d: %.0f tasks a second and core, the target is %.0f", size, perCore, perCoreLeast)
			}
		}
		if grown := allocs[len(allocs)-1] / allocs[0]; grown > flatMost {
			b.Errorf("allocations a task grow %.2f times with the size of a job, the target is %.2f", grown, flatMost)
		}
	}
}

// BenchmarkIdleCallers opens connections that each have brought one request and
// then stay, and measures the memory of the entry.
func BenchmarkIdleCallers(b *testing.B) {
	d := newDaemon(b, 17, demo.Bundle, "")
	for range b.N {
		before := d.metric(metricMemory)
		conns := d.open(idleCallers)
		after := d.metric(metricMemory)
		b.ReportMetric(before/(1<<20), "MB-before")
		b.ReportMetric(after/(1<<20), "MB-with-callers")
		if after > memoryMost {
			b.Errorf("%.0f MB with %d idle callers, the target is %d MB", after/(1<<20), len(conns), memoryMost>>20)
		}
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// open makes connections of one request each.
func (d *daemon) open(count int) []net.Conn {
	d.b.Helper()
	conns := make([]net.Conn, 0, count)
	for range count {
		c, err := net.Dial("tcp", d.callers)
		if err != nil {
			d.b.Fatal(err)
		}
		conns = append(conns, c)
		fmt.Fprintf(c, "GET /v1/origin HTTP/1.1\r\nHost: %s\r\n%s: lullaby\r\n\r\n", d.callers, caller.HeaderTenant)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			d.b.Fatalf("caller %d: %v %v", len(conns), response, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
	return conns
}

// BenchmarkSoak sends both firms' mix of one zone to one entry, three times its
// share, and holds the memory of its second half to be flat. Keys are
// remembered for a quarter of the run, so that their table is full by then.
func BenchmarkSoak(b *testing.B) {
	window := *soak / 4
	d := newDaemon(b, 17, demo.Bundle, fmt.Sprintf("[limits]\nwindow = %s\n", window))
	scenario := shipped(b, "mixed")
	scenario.Span = *soak
	for i := range scenario.Flows {
		scenario.Flows[i].Rate /= 3
	}
	for range b.N {
		sampling, stop := context.WithCancel(context.Background())
		var points []capacity.Point
		done := make(chan struct{})
		go func() {
			defer close(done)
			points = d.sample(sampling, *soak)
		}()
		run := load.New(load.Options{Scenario: scenario, Entries: func() []string { return []string{d.callers} }})
		run.Do(context.Background())
		stop()
		<-done
		report := run.Report(d.StartedTasks())
		fit := capacity.Line(points)
		first, last := fit.At(points[0].Size), fit.At(points[len(points)-1].Size)
		b.ReportMetric(float64(report.Tasks), "tasks")
		b.ReportMetric(first/(1<<20), "MB-middle")
		b.ReportMetric(last/(1<<20), "MB-end")
		if report.Broken() {
			b.Errorf("promises broken: %+v", report.Check)
		}
		if last/first > growthMost {
			b.Errorf("memory grows from %.1f to %.1f MB in the second half, the target is %.2f times", first/(1<<20), last/(1<<20), growthMost)
		}
	}
}

// sample takes the memory every second of the second half.
func (d *daemon) sample(ctx context.Context, span time.Duration) []capacity.Point {
	var points []capacity.Point
	began := time.Now()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return points
		case <-ticker.C:
			if at := time.Since(began); at > span/2 {
				points = append(points, capacity.Point{Size: at.Seconds(), Cost: d.metric(metricMemory)})
			}
		}
	}
}
