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

// daemon is an entry that runs in its own process, with stand-ins in the process of the
// benchmark.
type daemon struct {
	*fleet.Fleet
	b               *testing.B
	callerAddress   string
	operatorAddress string
}

// startDaemon builds the program, starts the stand-ins and one entry, and waits until
// the entry is ready.
func startDaemon(b *testing.B, upstreams int, bundleText, extraSettings string) *daemon {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := fleet.New(ctx, fleet.Options{
		Zones: []string{"z"}, UpstreamsPerZone: upstreams, SlotsPerUpstream: 8, Speeds: upstreamSpeeds, BundleText: bundleText,
		Store: store.Options{AppendRate: 400, SyncTime: 4 * time.Millisecond},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Stop)
	d := &daemon{Fleet: f, b: b, callerAddress: freeAddress(b), operatorAddress: freeAddress(b)}
	name := filepath.Join(b.TempDir(), "entry.ini")
	settings := fmt.Sprintf("[entry]\nvm = e1\nzone = z\nlisten = %s\npeers = %s\noperators = %s\n[platform]\naddress = %s\n[keys]\nsigners = %s\n%s",
		d.callerAddress, freeAddress(b), d.operatorAddress, f.PlatformAddress, f.Signer(), extraSettings)
	if err := os.WriteFile(name, []byte(settings), 0o600); err != nil {
		b.Fatal(err)
	}
	program := filepath.Join(b.TempDir(), "radishgate")
	if out, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput(); err != nil {
		b.Fatalf("building the program failed: %v: %s", err, out)
	}
	command := exec.Command(program, "serve", "--settings", name)
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGTERM)
		_ = command.Wait()
	})
	for ctx.Err() == nil && !d.isReady() {
		time.Sleep(20 * time.Millisecond)
	}
	if !d.isReady() {
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

func (d *daemon) isReady() bool {
	response, err := http.Get("http://" + d.operatorAddress + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// metric returns the value of a metric without labels from the entry.
func (d *daemon) metric(name string) float64 {
	d.b.Helper()
	response, err := http.Get("http://" + d.operatorAddress + "/metrics")
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
	d.b.Fatalf("the entry has no metric %s", name)
	return 0
}

// Names of metrics of the entry's process.
const (
	metricCPU    = "process_cpu_seconds_total"
	metricMemory = "process_resident_memory_bytes"
	metricAllocs = "go_memstats_mallocs_total"
)

// submit submits jobs of jobSize tasks, at most the given number of tasks in all, from
// four goroutines. Each goroutine rounds its quarter down to whole jobs.
func (d *daemon) submit(jobSize, tasks int) {
	d.b.Helper()
	cl := client.New("vakuumtrak", d.callerAddress)
	defer cl.Close()
	var group sync.WaitGroup
	const workers = 4
	for worker := range workers {
		group.Go(func() {
			for number := range tasks / jobSize / workers {
				request := caller.Body{Service: "fit"}
				for range jobSize {
					request.Tasks = append(request.Tasks, caller.BodyTask{Body: json.RawMessage(`{"run":"1us"}`)})
				}
				_, key, err := cl.NewKey(context.Background(), fmt.Sprintf("%d-%d-%d", jobSize, worker, number))
				if err != nil {
					d.b.Error(err)
					return
				}
				if _, err := cl.Submit(context.Background(), d.callerAddress, key, request, time.Minute); err != nil {
					d.b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
}

// Targets for the process of one entry.
const (
	minTasksPerCore = 10_000.0 // tasks per second of CPU time
	maxAllocGrowth  = 1.1      // allocations per task of the largest jobs, relative to the smallest jobs
	idleConnections = 10_000
	maxIdleMemory   = 128 << 20 // bytes of resident memory with idleConnections open
	maxMemoryGrowth = 1.05      // memory at the end of the soak, relative to its middle
)

// BenchmarkDaemonTasks measures the throughput, the CPU time and the allocations of an
// entry's process per task, for jobs of several sizes. It fails if an entry handles too
// few tasks per second of CPU time, or if the allocations per task grow with the job.
func BenchmarkDaemonTasks(b *testing.B) {
	d := startDaemon(b, 17, demo.BundleText, "")
	const tasks = 60_000
	d.submit(60, tasks/10)
	for range b.N {
		var allocs []float64
		for _, size := range []int{60, 240, 660} {
			cpuBefore, allocsBefore, startedAt := d.metric(metricCPU), d.metric(metricAllocs), time.Now()
			count := float64(tasks / size / 4 * 4 * size)
			d.submit(size, tasks)
			rate := count / time.Since(startedAt).Seconds()
			perCore := count / (d.metric(metricCPU) - cpuBefore)
			perTask := (d.metric(metricAllocs) - allocsBefore) / count
			allocs = append(allocs, perTask)
			b.ReportMetric(rate, fmt.Sprintf("tasks/s-of-%d", size))
			b.ReportMetric(perCore, fmt.Sprintf("tasks/core-s-of-%d", size))
			b.ReportMetric(perTask, fmt.Sprintf("allocs/task-of-%d", size))
			if perCore < minTasksPerCore {
				b.Errorf("jobs of %d tasks: %.0f tasks per second of CPU time, the target is %.0f", size, perCore, minTasksPerCore)
			}
		}
		if growth := allocs[len(allocs)-1] / allocs[0]; growth > maxAllocGrowth {
			b.Errorf("allocations per task grow %.2f times with the size of a job, the target is %.2f", growth, maxAllocGrowth)
		}
	}
}

// BenchmarkIdleCallers opens connections that stay open after one request each, and
// fails if the entry's memory with all of them open exceeds the target.
func BenchmarkIdleCallers(b *testing.B) {
	d := startDaemon(b, 17, demo.BundleText, "")
	for range b.N {
		before := d.metric(metricMemory)
		conns := d.openIdleConnections(idleConnections)
		after := d.metric(metricMemory)
		b.ReportMetric(before/(1<<20), "MB-before")
		b.ReportMetric(after/(1<<20), "MB-with-callers")
		if after > maxIdleMemory {
			b.Errorf("%.0f MB with %d idle connections, the target is %d MB", after/(1<<20), len(conns), maxIdleMemory>>20)
		}
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// openIdleConnections opens connections, sends one request on each and leaves them open.
func (d *daemon) openIdleConnections(count int) []net.Conn {
	d.b.Helper()
	conns := make([]net.Conn, 0, count)
	for range count {
		c, err := net.Dial("tcp", d.callerAddress)
		if err != nil {
			d.b.Fatal(err)
		}
		conns = append(conns, c)
		fmt.Fprintf(c, "GET /v1/origin HTTP/1.1\r\nHost: %s\r\n%s: lullaby\r\n\r\n", d.callerAddress, caller.HeaderTenant)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			d.b.Fatalf("connection %d: response %v, want status 200; error: %v", len(conns), response, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
	return conns
}

// BenchmarkSoak sends the load of both firms for one zone, which three entries normally
// share, to one entry. It fails if the memory grows in the second half of the run. Keys
// are remembered for a quarter of the run, so that their table no longer grows by then.
func BenchmarkSoak(b *testing.B) {
	keyRetention := *soak / 4
	d := startDaemon(b, 17, demo.BundleText, fmt.Sprintf("[limits]\nwindow = %s\n", keyRetention))
	scenario := builtinScenario(b, "mixed")
	scenario.Duration = *soak
	for i := range scenario.Flows {
		scenario.Flows[i].Rate /= 3
	}
	for range b.N {
		sampleCtx, stop := context.WithCancel(context.Background())
		var points []capacity.Point
		done := make(chan struct{})
		go func() {
			defer close(done)
			points = d.sampleMemory(sampleCtx, *soak)
		}()
		generator := load.New(load.Options{Scenario: scenario, Entries: func() []string { return []string{d.callerAddress} }})
		generator.Run(context.Background())
		stop()
		<-done
		report := generator.Report(d.StartedTasks())
		fit := capacity.FitLine(points)
		first, last := fit.At(points[0].Size), fit.At(points[len(points)-1].Size)
		b.ReportMetric(float64(report.Tasks), "tasks")
		b.ReportMetric(first/(1<<20), "MB-middle")
		b.ReportMetric(last/(1<<20), "MB-end")
		if report.HasViolations() {
			b.Errorf("guarantees violated: %+v", report.Check)
		}
		if last/first > maxMemoryGrowth {
			b.Errorf("memory grows from %.1f to %.1f MB in the second half, more than the target factor of %.2f", first/(1<<20), last/(1<<20), maxMemoryGrowth)
		}
	}
}

// sampleMemory samples the resident memory every second in the second half of the run.
func (d *daemon) sampleMemory(ctx context.Context, duration time.Duration) []capacity.Point {
	var points []capacity.Point
	startedAt := time.Now()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return points
		case <-ticker.C:
			if at := time.Since(startedAt); at > duration/2 {
				points = append(points, capacity.Point{Size: at.Seconds(), Cost: d.metric(metricMemory)})
			}
		}
	}
}
