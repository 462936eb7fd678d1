package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// second holds the calls that were due in one second of the run.
type second struct {
	calls    int64
	response *hdrhistogram.Histogram
	ratio    *hdrhistogram.Histogram
}

func newSecond() *second {
	return &second{
		response: hdrhistogram.New(1, responseMost, digits), ratio: hdrhistogram.New(1, ratioMost, digits),
	}
}

// Span is the figures of the calls that were due in a span of the run; its
// bounds are in seconds from the beginning.
type Span struct {
	Begin    int     `json:"begin"`
	End      int     `json:"end"`
	Calls    int64   `json:"calls"`
	Complete int64   `json:"complete"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	RatioP50 float64 `json:"p50_ratio"`
	RatioP99 float64 `json:"p99_ratio"`
}

// file counts a call under the second in which it was due.
func (r *Run) file(due time.Time, response, ideal time.Duration, complete bool) {
	at := int(due.Sub(r.began) / time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.seconds[at]
	if !ok {
		s = newSecond()
		r.seconds[at] = s
	}
	s.calls++
	if !complete {
		return
	}
	record(s.response, response.Microseconds(), responseMost)
	if ideal > 0 {
		record(s.ratio, thousandths(response, ideal), ratioMost)
	}
}

// Between gives the figures of the calls due from second begin to before end.
func (r *Run) Between(begin, end int) Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := newSecond()
	for at := begin; at < end; at++ {
		if s, ok := r.seconds[at]; ok {
			sum.calls += s.calls
			sum.response.Merge(s.response)
			sum.ratio.Merge(s.ratio)
		}
	}
	return Span{
		Begin: begin, End: end, Calls: sum.calls, Complete: sum.response.TotalCount(),
		P50: float64(sum.response.ValueAtQuantile(50)) / 1000, P99: float64(sum.response.ValueAtQuantile(99)) / 1000,
		RatioP50: float64(sum.ratio.ValueAtQuantile(50)) / 1000, RatioP99: float64(sum.ratio.ValueAtQuantile(99)) / 1000,
	}
}

// course is the run second by second.
func (r *Run) course() []Span {
	last := -1
	r.mu.Lock()
	for at := range r.seconds {
		last = max(last, at)
	}
	r.mu.Unlock()
	var course []Span
	for at := range last + 1 {
		course = append(course, r.Between(at, at+1))
	}
	return course
}
