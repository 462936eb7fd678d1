package capacity

import (
	"fmt"
	"io"
)

// Result holds all measurements.
type Result struct {
	HTTPOverhead float64  `json:"overhead"` // bytes that HTTP adds to one message and its answer
	Series       []Series `json:"series"`
}

// findSeries returns the series of a name, or an empty one if it does not exist.
func (r Result) findSeries(name string) Series {
	for _, s := range r.Series {
		if s.Name == name {
			return s
		}
	}
	return Series{}
}

// Run measures all series on this machine and writes a line to progress after each.
func Run(progress io.Writer) (Result, error) {
	httpOverhead, err := measureHTTPOverhead()
	if err != nil {
		return Result{}, err
	}
	r := Result{HTTPOverhead: httpOverhead}
	add := func(s Series) {
		fmt.Fprintf(progress, "%-28s %s\n", s.Name, s.Measured)
		r.Series = append(r.Series, s)
	}
	memberCounts := []int{8, 16, 32, 64, 128}
	var bytes, micros, state []Point
	for _, n := range memberCounts {
		b, m, s := heartbeatCosts(n)
		size := float64(n)
		bytes, micros, state = append(bytes, Point{size, b}), append(micros, Point{size, m}), append(state, Point{size, s})
	}
	add(Series{"beat-bytes", "entry", "members", "bytes sent and answered a heartbeat round, without HTTP", bytes, FitLine(bytes)})
	add(Series{"beat-cpu", "entry", "members", "µs a heartbeat round, both ends, without HTTP", micros, FitLine(micros)})
	add(Series{"member-state", "entry", "members", "bytes of memory", state, FitLine(state)})
	add(measureSeries("home-cpu", "slot home", "members of the zone", "µs a slot to find its home", []int{2, 4, 8, 16, 32}, homeMicros))
	add(measureSeries("key-state", "entry", "keys in the window", "bytes of memory", []int{10_000, 20_000, 40_000, 80_000}, keyStateBytes))
	add(measureSeries("claims", "partition owner", "callers at once", "claims in one append", []int{1, 8, 32, 128, 512}, claimBatchSize))
	add(measureSeries("change-cpu", "bundle reader", "upstreams", "µs to fold one change", []int{125, 250, 500, 1000, 2000}, foldMicros))
	add(measureSeries("bundle-state", "bundle reader", "upstreams", "bytes of memory", []int{125, 250, 500, 1000, 2000}, bundleStateBytes))
	add(measureSeries("change-bytes", "bundle reader", "sections changed", "bytes of one record", []int{1, 2, 4, 8, 16}, changeRecordBytes))
	add(measureSeries("task-cpu", "entry", "upstreams of the zone", "µs of processor a task, jobs of 330 tasks, without HTTP", []int{16, 32, 64, 128, 240}, func(n int) float64 { return dispatchMicros(n, 330) }))
	add(measureSeries("job-cpu", "entry", "tasks of a job", "µs of processor a task, 17 upstreams, without HTTP", []int{20, 80, 330, 660}, func(n int) float64 { return dispatchMicros(17, n) }))
	add(measureSeries("send-cpu", "entry", "tasks at once", "µs of processor a task over HTTP, both ends", []int{1, 4, 16, 64}, sendMicros))
	add(measureSeries("share-cpu", "entry", "tenants with quotas", "µs to compute all parts", []int{8, 16, 32, 62}, shareMicros))
	add(measureSeries("demand-bytes", "zone summary sender", "tenants with quotas", "bytes in one heartbeat: own demands, own zone, one other zone", []int{8, 16, 32, 62}, demandMessageBytes))
	return r, nil
}
