package bench

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/radishgate/radishgate/caller"
	"github.com/radishgate/radishgate/common/usage"
	"github.com/radishgate/radishgate/standin/fleet"
)

const recallBundle = "[tenant shop]\n[service recall]\npath = /recall\nrepeatable = true\nhint = 1ms\n"

// startOneEntry starts a fleet of one entry and four upstreams.
func startOneEntry(b *testing.B) *fleet.Fleet {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := fleet.New(ctx, fleet.Options{Zones: []string{"z"}, EntriesPerZone: 1, UpstreamsPerZone: 4, SlotsPerUpstream: 32, BundleText: recallBundle})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Stop)
	return f
}

// startRelay starts the baseline, a bare net/http proxy that sends requests to the
// upstreams in turn, and returns its address.
func startRelay(b *testing.B, f *fleet.Fleet) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	next := 0
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next++
		body, _ := io.ReadAll(r.Body)
		response, err := client.Post("http://"+f.Upstreams[next%4].Address+"/recall", "application/json", bytes.NewReader(body))
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		_, _ = io.Copy(w, response.Body)
	})}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() {
		_ = server.Close()
		client.CloseIdleConnections()
	})
	return listener.Addr().String()
}

// measurePosts sends count requests for tasks of 1 µs, one after the other. It returns
// their sorted response times and the CPU time of this process per request.
func measurePosts(b *testing.B, client *http.Client, url string, count int) ([]time.Duration, time.Duration) {
	b.Helper()
	var times []time.Duration
	cpuBefore := usage.CPUTime()
	for range count {
		request, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"run":"1us","tag":"x"}`)))
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(caller.HeaderTenant, "shop")
		startedAt := time.Now()
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatalf("response status %d, want 200", response.StatusCode)
		}
		times = append(times, time.Since(startedAt))
	}
	cpuEach := (usage.CPUTime() - cpuBefore) / time.Duration(count)
	slices.Sort(times)
	return times, cpuEach
}

// Targets for the response time that an entry adds, and for the CPU time that it adds,
// relative to a bare relay.
const (
	maxAddedP50 = 300 * time.Microsecond
	maxAddedP99 = time.Millisecond
	maxCPURatio = 2.0
)

// BenchmarkAddedTime compares requests through an entry with direct calls and with
// requests through a bare relay in the same run. It fails if the response time or the
// CPU time that the entry adds exceeds the targets.
func BenchmarkAddedTime(b *testing.B) {
	f := startOneEntry(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	direct := "http://" + f.Upstreams[0].Address + "/recall"
	viaEntry := "http://" + f.CallerAddresses()[0] + "/v1/requests/recall"
	viaRelay := "http://" + startRelay(b, f)
	const count = 3000
	for range b.N {
		for _, url := range []string{direct, viaRelay, viaEntry} {
			measurePosts(b, client, url, 300)
		}
		directTimes, directCPU := measurePosts(b, client, direct, count)
		relayTimes, relayCPU := measurePosts(b, client, viaRelay, count)
		entryTimes, entryCPU := measurePosts(b, client, viaEntry, count)
		addedP50, addedP99 := entryTimes[count/2]-directTimes[count/2], entryTimes[count*99/100]-directTimes[count*99/100]
		ratio := float64(entryCPU-directCPU) / float64(relayCPU-directCPU)
		b.ReportMetric(float64(addedP50.Microseconds()), "added-p50-µs")
		b.ReportMetric(float64(addedP99.Microseconds()), "added-p99-µs")
		b.ReportMetric(float64((relayTimes[count/2] - directTimes[count/2]).Microseconds()), "relay-added-p50-µs")
		b.ReportMetric(ratio, "cpu-by-relay")
		if addedP50 > maxAddedP50 || addedP99 > maxAddedP99 || ratio > maxCPURatio {
			b.Errorf("added p50 %s (target %s), added p99 %s (target %s), added CPU time relative to a relay %.2f (target %.0f)", addedP50, maxAddedP50, addedP99, maxAddedP99, ratio, maxCPURatio)
		}
	}
}
