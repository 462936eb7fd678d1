// Package outcomes reads the logs of entries and counts how jobs ended, when and why.
package outcomes

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Account counts the jobs that ended in the logs it was given.
type Account struct {
	Windows []Window `json:"windows"` // those in which jobs arrived, by time
	Causes  []Cause  `json:"causes"`  // most frequent first
	Skipped int      `json:"skipped"` // lines about ended jobs that could not be read

	window time.Duration
	ended  []line
}

// Window counts the jobs that arrived in a span of time.
type Window struct {
	Start     time.Time `json:"start"`
	Jobs      int       `json:"jobs"`
	Completed int       `json:"completed"`
	Refused   int       `json:"refused"`
	Unknown   int       `json:"unknown"`
	Other     int       `json:"other"` // failed or cancelled
	Held      int       `json:"held"`  // ended otherwise than completed after more than heldLimit
	P50       int64     `json:"p50"`   // ms, response time of completed jobs; 0 without any
	P99       int64     `json:"p99"`   // ms
}

// Cause counts the jobs that ended in one state for one reason.
type Cause struct {
	State   string `json:"state"`
	Reason  string `json:"reason"`
	Jobs    int    `json:"jobs"`
	P50     int64  `json:"p50"`     // ms from arrival to the end
	Longest int64  `json:"longest"` // ms
	Example string `json:"example"` // ID of the job that took longest
}

// heldLimit is the time within which a job that is not completed should get its answer: an
// entry that knows the outcome answers at once, and a silent entry is suspected within this
// time.
const heldLimit = time.Second

// line is a log line about the end of a job.
type line struct {
	Time   time.Time `json:"time"`
	Job    string    `json:"job"`
	State  string    `json:"state"`
	Reason string    `json:"reason"`
	Millis int64     `json:"ms"`
}

// took returns the time from the arrival of the job to its end.
func (l line) took() time.Duration { return time.Duration(l.Millis) * time.Millisecond }

// New returns an empty account with windows of the given length, which must be positive.
func New(window time.Duration) *Account { return &Account{window: window} }

// maxLineBytes bounds the length of a line that is read.
const maxLineBytes = 1 << 20

// marker is part of every line that is read; others are passed over without parsing them.
var marker = []byte(`"msg":"job ended"`)

// Read adds the lines of a log. Each line may have text before its JSON object, such as the
// name of the VM that a log collector puts there. Lines that end no job are passed over. It
// returns the errors of the reader; a line of more than 1 MiB is one.
func (a *Account) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if !bytes.Contains(text, marker) {
			continue
		}
		l, ok := parse(text)
		if !ok {
			a.Skipped++
			continue
		}
		a.ended = append(a.ended, l)
	}
	a.summarize()
	return scanner.Err()
}

// parse reads the JSON object at the end of a log line, and reports whether it has the fields
// of a job's end.
func parse(text []byte) (line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	var l line
	if err := json.Unmarshal(text[start:], &l); err != nil {
		return line{}, false
	}
	return l, !l.Time.IsZero() && l.Millis >= 0
}

// summarize sets Windows and Causes.
func (a *Account) summarize() {
	a.Windows, a.Causes = nil, nil
	if len(a.ended) == 0 {
		return
	}
	arrival := func(l line) time.Time { return l.Time.Add(-l.took()) }
	slices.SortStableFunc(a.ended, func(x, y line) int { return arrival(x).Compare(arrival(y)) })
	byCause := map[[2]string][]line{}
	var window []line // that arrived in one window
	for i, l := range a.ended {
		window = append(window, l)
		start := arrival(l).Truncate(a.window)
		if i == len(a.ended)-1 || !arrival(a.ended[i+1]).Truncate(a.window).Equal(start) {
			a.Windows = append(a.Windows, newWindow(start, window))
			window = nil
		}
		key := [2]string{l.State, taskName.ReplaceAllString(l.Reason, "a task")}
		byCause[key] = append(byCause[key], l)
	}
	for key, lines := range byCause {
		slices.SortFunc(lines, func(x, y line) int { return int(x.Millis - y.Millis) })
		longest := lines[len(lines)-1]
		a.Causes = append(a.Causes, Cause{
			State: key[0], Reason: key[1], Jobs: len(lines), P50: quantile(lines, 0.5), Longest: longest.Millis, Example: longest.Job,
		})
	}
	slices.SortFunc(a.Causes, func(x, y Cause) int {
		if x.Jobs != y.Jobs {
			return y.Jobs - x.Jobs
		}
		return strings.Compare(x.State+x.Reason, y.State+y.Reason)
	})
}

// taskName matches the name of a task, which would make a cause of each job.
var taskName = regexp.MustCompile(`\b[0-9a-f]{16}(\.\d+){3}\b`)

func newWindow(start time.Time, lines []line) Window {
	w := Window{Start: start, Jobs: len(lines)}
	var completed []line
	for _, l := range lines {
		switch l.State {
		case "completed":
			w.Completed++
			completed = append(completed, l)
			continue
		case "refused":
			w.Refused++
		case "unknown":
			w.Unknown++
		default:
			w.Other++
		}
		if l.took() > heldLimit {
			w.Held++
		}
	}
	slices.SortFunc(completed, func(x, y line) int { return int(x.Millis - y.Millis) })
	w.P50, w.P99 = quantile(completed, 0.5), quantile(completed, 0.99)
	return w
}

// quantile returns a quantile of the times of lines in ms, by which they are sorted; 0 without
// lines.
func quantile(lines []line, share float64) int64 {
	if len(lines) == 0 {
		return 0
	}
	return lines[min(len(lines)-1, int(share*float64(len(lines))))].Millis
}

// WriteText writes the account as two tables. Times of windows count from the first one.
func (a *Account) WriteText(out io.Writer) error {
	text := &strings.Builder{}
	fmt.Fprintf(text, "%8s %6s %9s %7s %7s %5s %4s %8s %8s\n", "from s", "jobs", "completed", "refused", "unknown", "other", "held", "p50 ms", "p99 ms")
	for _, w := range a.Windows {
		fmt.Fprintf(text, "%8.1f %6d %9d %7d %7d %5d %4d %8d %8d\n", w.Start.Sub(a.Windows[0].Start).Seconds(), w.Jobs, w.Completed,
			w.Refused, w.Unknown, w.Other, w.Held, w.P50, w.P99)
	}
	fmt.Fprintf(text, "\n%-10s %6s %8s %8s  %-16s %s\n", "state", "jobs", "p50 ms", "most ms", "longest job", "reason")
	for _, c := range a.Causes {
		fmt.Fprintf(text, "%-10s %6d %8d %8d  %-16s %s\n", c.State, c.Jobs, c.P50, c.Longest, c.Example, c.Reason)
	}
	if a.Skipped > 0 {
		fmt.Fprintf(text, "\n%d lines about ended jobs could not be read\n", a.Skipped)
	}
	_, err := io.WriteString(out, text.String())
	return err
}
