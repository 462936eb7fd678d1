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

// oneEntry is a fleet of one entry and four upstreams whose tasks take no time.
func oneEntry(b *testing.B) *fleet.Fleet {
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

// relay is the baseline: a bare net/http relay to the upstreams in turn.
func relay(b *testing.B, f *fleet.Fleet) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	turn := 0
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		turn++
		body, _ := io.ReadAll(r.Body)
		response, err := client.Post("http://"+f.Upstreams[turn%4].Address+"/recall", "application/json", bytes.NewReader(body))
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

// post sends count requests one after the other and gives the sorted times and
// the processor time of one.
func post(b *testing.B, client *http.Client, url string, count int) ([]time.Duration, time.Duration) {
	b.Helper()
	var times []time.Duration
	used := usage.Processor()
	for range count {
		request, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"run":"1us","tag":"x"}`)))
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(caller.HeaderTenant, "shop")
		began := time.Now()
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatalf("status %d", response.StatusCode)
		}
		times = append(times, time.Since(began))
	}
	each := (usage.Processor() - used) / time.Duration(count)
	slices.Sort(times)
	return times, each
}

// Targets of the added time and of the processor time by that of a bare relay.
const (
	addedHalf = 300 * time.Microsecond
	addedMost = time.Millisecond
	relayMost = 2.0
)

// BenchmarkAddedTime compares a request through an entry with a direct call and
// with a bare relay, in one run, and fails beyond the targets.
func BenchmarkAddedTime(b *testing.B) {
	f := oneEntry(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	direct := "http://" + f.Upstreams[0].Address + "/recall"
	through := "http://" + f.CallerAddresses()[0] + "/v1/requests/recall"
	bare := "http://" + relay(b, f)
	const count = 3000
	for range b.N {
		for _, url := range []string{direct, bare, through} {
			post(b, client, url, 300)
		}
		d, directCPU := post(b, client, direct, count)
		r, relayCPU := post(b, client, bare, count)
		t, entryCPU := post(b, client, through, count)
		half, most := t[count/2]-d[count/2], t[count*99/100]-d[count*99/100]
		ratio := float64(entryCPU-directCPU) / float64(relayCPU-directCPU)
		b.ReportMetric(float64(half.Microseconds()), "added-p50-µs")
		b.ReportMetric(float64(most.Microseconds()), "added-p99-µs")
		b.ReportMetric(float64((r[count/2] - d[count/2]).Microseconds()), "relay-added-p50-µs")
		b.ReportMetric(ratio, "cpu-by-relay")
		if half > addedHalf || most > addedMost || ratio > relayMost {
			b.Errorf("added p50 %s (target %s), p99 %s (%s), processor by that of a relay %.2f (%.0f)", half, addedHalf, most, addedMost, ratio, relayMost)
		}
	}
}
