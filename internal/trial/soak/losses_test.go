package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var combinationCount = flag.Int("combinations", 8, "how many combinations TestJobRunsOnceAfterLosses draws with -first; 0 plays all")

// disruption is a loss of entries while a job runs in disruptedZone.
type disruption struct {
	who string // "entry" is that of the client, which does not schedule the job
	how string // "killed" or "frozen"
}

func (d disruption) String() string { return d.who + " " + d.how }

// combination is two disruptions, one of which makes the client lose its entry.
type combination struct {
	first, second disruption
	runningFor    time.Duration // from the submission to the first disruption
	gap           time.Duration // between the disruptions
}

func (c combination) String() string {
	return fmt.Sprintf("%s after %d ms, %s %d ms later", c.first, c.runningFor.Milliseconds(), c.second, c.gap.Milliseconds())
}

// Times of the combinations.
const (
	shortRunningTime = 40 * time.Millisecond // from the submission to the first disruption
	freezeTime       = 2 * time.Second       // in disruptedZone
	nextFreezeTime   = time.Second           // in nextZone
)

// brokenCombinations lists combinations that failed in the past. They are always played.
var brokenCombinations = []combination{
	{disruption{"entry", "killed"}, disruption{"all entries", "killed"}, runningTime, 550 * time.Millisecond},
	{disruption{"entry", "killed"}, disruption{"all entries", "killed"}, shortRunningTime, 550 * time.Millisecond},
	{disruption{"entry", "killed"}, disruption{"both schedulers", "frozen"}, runningTime, 700 * time.Millisecond},
	{disruption{"entry", "killed"}, disruption{"both schedulers", "frozen"}, shortRunningTime, 700 * time.Millisecond},
	{disruption{"entry", "killed"}, disruption{"both schedulers", "killed"}, shortRunningTime, 850 * time.Millisecond},
	{disruption{"entry", "frozen"}, disruption{"both schedulers", "killed"}, runningTime, 700 * time.Millisecond},
}

// allCombinations returns the combinations of who is lost, how, in which order and at which gap.
func allCombinations() []combination {
	runningFor := []time.Duration{shortRunningTime, runningTime}
	var all []combination
	for i, gap := range []time.Duration{0, 200, 400, 550, 700, 850, 1050, 1300} {
		for k, who := range []string{"scheduler", "all entries", "other scheduler", "both schedulers"} {
			for _, how := range []string{"killed", "frozen"} {
				for _, howEntry := range []string{"killed", "frozen"} {
					entry, others := disruption{"entry", howEntry}, disruption{who, how}
					gap, after := gap*time.Millisecond, runningFor[(i+k)%2]
					all = append(all, combination{entry, others, after, gap}, combination{others, entry, after, gap})
				}
			}
		}
	}
	return all
}

// TestJobRunsOnceAfterLosses has a client lose the entry of its job, before or after others are lost that
// know of the job, so that the client sends it to another zone. Its tasks must not start there while
// their first runs go on.
func TestJobRunsOnceAfterLosses(t *testing.T) {
	plays := allCombinations()
	if *combinationCount > 0 {
		random := rand.New(rand.NewPCG(*firstSeed, 4))
		random.Shuffle(len(plays), func(i, k int) { plays[i], plays[k] = plays[k], plays[i] })
		plays = slices.Concat(brokenCombinations, plays[:min(*combinationCount, len(plays))])
	}
	binary, running := buildProgram(t), make(chan struct{}, maxPlays)
	for _, c := range plays {
		for n := range *zonePlays {
			t.Run(c.String(), func(t *testing.T) {
				playLongJob(t, binary, running, uint64(n), longRun/2, func(s *soak) { s.playLosses(c) })
			})
		}
	}
}

// playLosses submits the long job and disrupts entries. Whenever the client has no answer, it sends the job to
// the other zone resendAfter later.
func (s *soak) playLosses(c combination) {
	scheduler, other := s.schedulerOf(disruptedZone)
	otherScheduler, next := s.schedulerOf(nextZone)
	disrupted := map[string][]*entry{
		"entry":           {other},
		"scheduler":       {scheduler},
		"other scheduler": {otherScheduler},
		"both schedulers": {scheduler, otherScheduler},
		"all entries":     s.entries,
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	firstCtx, leave := context.WithCancel(ctx)
	defer leave()
	startedAt := time.Now()
	s.recordEvent("job submitted to entry %d at %s; schedulers are %d and %d", other.index, startedAt.UTC().Format("15:04:05.000"), scheduler.index, otherScheduler.index)
	note := func(format string, values ...any) {
		s.recordEvent("%d ms: %s", time.Since(startedAt).Milliseconds(), fmt.Sprintf(format, values...))
	}
	sentAgain, sendAgain := context.WithCancel(ctx)
	s.restarts.Go(func() {
		defer sendAgain()
		deadline := startedAt.Add(longDeadline)
		status, answer := postJobUntil(firstCtx, other.callerAddress, longJob, longJobBody, deadline)
		note("entry %d answers %d %s", other.index, status, answer)
		for status == 0 && ctx.Err() == nil {
			time.Sleep(resendAfter)
			note("job submitted to entry %d", next.index)
			sendAgain()
			status, answer = postJobUntil(ctx, next.callerAddress, longJob, longJobBody, deadline)
			note("entry %d answers %d %s", next.index, status, answer)
		}
	})
	disrupt := func(d disruption) {
		note("%s", d)
		if d.how == "killed" {
			s.lose(disrupted[d.who]...)
			return
		}
		for _, e := range disrupted[d.who] {
			s.freeze(e)
		}
		if d.who == "entry" {
			leave() // the network breaks the connection, which the entry does not see
		}
	}
	time.Sleep(time.Until(startedAt.Add(c.runningFor)))
	disrupt(c.first)
	time.Sleep(time.Until(startedAt.Add(c.runningFor + c.gap)))
	disrupt(c.second)
	<-sentAgain.Done()
	time.Sleep(followUpTime)
}

// freeze pauses an entry.
func (s *soak) freeze(e *entry) {
	s.processes.Lock()
	defer s.processes.Unlock()
	if zoneName(e.index) == disruptedZone {
		s.pause(e, freezeTime)
	} else {
		s.pause(e, nextFreezeTime)
	}
}
