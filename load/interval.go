package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// secondStats holds the results of the calls that were due in one second of the run.
type secondStats struct {
	calls    int64
	response *hdrhistogram.Histogram
	ratio    *hdrhistogram.Histogram
}

func newSecondStats() *secondStats {
	return &secondStats{
		response: hdrhistogram.New(1, maxResponse, significantDigits), ratio: hdrhistogram.New(1, maxRatio, significantDigits),
	}
}

// IntervalStats holds the results of the calls that were due between Begin and End, in
// seconds since the start of the run.
type IntervalStats struct {
	Begin    int     `json:"begin"`
	End      int     `json:"end"`
	Calls    int64   `json:"calls"`
	Complete int64   `json:"complete"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	RatioP50 float64 `json:"p50_ratio"`
	RatioP99 float64 `json:"p99_ratio"`
}

// recordCall counts a call in the second in which it was due.
func (g *Generator) recordCall(due time.Time, response, ideal time.Duration, complete bool) {
	index := int(due.Sub(g.startedAt) / time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.statsBySecond[index]
	if !ok {
		s = newSecondStats()
		g.statsBySecond[index] = s
	}
	s.calls++
	if !complete {
		return
	}
	recordClamped(s.response, response.Microseconds(), maxResponse)
	if ideal > 0 {
		recordClamped(s.ratio, ratioPerMille(response, ideal), maxRatio)
	}
}

// StatsBetween returns the results of the calls that were due from second begin up to, but
// not including, second end.
func (g *Generator) StatsBetween(begin, end int) IntervalStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := newSecondStats()
	for index := begin; index < end; index++ {
		if s, ok := g.statsBySecond[index]; ok {
			sum.calls += s.calls
			sum.response.Merge(s.response)
			sum.ratio.Merge(s.ratio)
		}
	}
	return IntervalStats{
		Begin: begin, End: end, Calls: sum.calls, Complete: sum.response.TotalCount(),
		P50: float64(sum.response.ValueAtQuantile(50)) / 1000, P99: float64(sum.response.ValueAtQuantile(99)) / 1000,
		RatioP50: float64(sum.ratio.ValueAtQuantile(50)) / 1000, RatioP99: float64(sum.ratio.ValueAtQuantile(99)) / 1000,
	}
}

// perSecondStats returns the results of each second up to the last one with calls.
func (g *Generator) perSecondStats() []IntervalStats {
	last := -1
	g.mu.Lock()
	for index := range g.statsBySecond {
		last = max(last, index)
	}
	g.mu.Unlock()
	var stats []IntervalStats
	for index := range last + 1 {
		stats = append(stats, g.StatsBetween(index, index+1))
	}
	return stats
}
