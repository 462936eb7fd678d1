// Package runner is a stand-in for an upstream with a number of slots, a speed and
// failure modes that can be switched at run time. It records every task start.
package runner

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishgate/radishgate/common/wait"
)

// Headers of the protocol between entries and upstreams.
const (
	HeaderTask    = "Radishgate-Task"
	HeaderNotRun  = "Radishgate-Not-Run"
	HeaderLeaving = "Radishgate-Leaving"
)

// Modes selects failure modes and the speed of a runner.
type Modes struct {
	Refuse   bool    `json:"refuse"`   // answers 503 with HeaderNotRun, without starting the task
	Fail     bool    `json:"fail"`     // answers 500 right after the start
	Silent   bool    `json:"silent"`   // starts the task and never answers
	Truncate bool    `json:"truncate"` // cuts answers off in the middle
	Leaving  bool    `json:"leaving"`  // refuses new tasks and sets HeaderLeaving
	Speed    float64 `json:"speed"`    // 0 keeps the current speed
}

// Start records one start of a task.
type Start struct {
	Task string    `json:"task"`
	At   time.Time `json:"at"`
}

// TaskBody is the request body of a task; Runtime is a duration at speed 1.
type TaskBody struct {
	Runtime string `json:"run"`
	Tag     string `json:"tag,omitempty"` // returned in the answer
}

// Reply is the response body of a task.
type Reply struct {
	Task   string `json:"task"`
	Tag    string `json:"tag"`
	Runner string `json:"runner"`
}

// Options configures a runner; zero values select defaults.
type Options struct {
	Name           string
	Slots          int
	Speed          float64
	DefaultRuntime time.Duration // of tasks whose body has no valid run time
}

// Runner is a stand-in upstream. Tasks beyond its slots wait in arrival order.
type Runner struct {
	options      Options
	slots        chan struct{}
	servedTasks  atomic.Int64
	presentTasks atomic.Int64
	peakTasks    atomic.Int64

	mu     sync.Mutex
	modes  Modes
	starts []Start
}

// New returns a runner; it has 8 slots, speed 1 and a run time of 20 ms by default.
func New(options Options) *Runner {
	if options.Slots == 0 {
		options.Slots = 8
	}
	if options.Speed == 0 {
		options.Speed = 1
	}
	if options.DefaultRuntime == 0 {
		options.DefaultRuntime = 20 * time.Millisecond
	}
	r := &Runner{options: options, slots: make(chan struct{}, options.Slots)}
	r.modes.Speed = options.Speed
	return r
}

// SetModes replaces the modes; a speed of 0 keeps the current one.
func (r *Runner) SetModes(modes Modes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if modes.Speed == 0 {
		modes.Speed = r.modes.Speed
	}
	r.modes = modes
}

// Starts returns all task starts so far, in order.
func (r *Runner) Starts() []Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Start(nil), r.starts...)
}

// PeakTasks returns the largest number of tasks that were present at once, including waiting ones.
func (r *Runner) PeakTasks() int64 { return r.peakTasks.Load() }

// Handler returns a handler for tasks. GET /standin/starts returns the recorded
// starts and PUT /standin/modes sets the modes.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/starts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(r.Starts())
	})
	mux.HandleFunc("PUT /standin/modes", r.serveModes)
	mux.HandleFunc("/", r.serveTask)
	return mux
}

func (r *Runner) serveModes(w http.ResponseWriter, request *http.Request) {
	var modes Modes
	if err := json.NewDecoder(request.Body).Decode(&modes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.SetModes(modes)
}

func (r *Runner) serveTask(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	present := r.presentTasks.Add(1)
	defer r.presentTasks.Add(-1)
	if present > r.peakTasks.Load() {
		r.peakTasks.Store(present)
	}
	r.mu.Lock()
	modes := r.modes
	r.mu.Unlock()
	if modes.Leaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	if modes.Refuse || modes.Leaving {
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-request.Context().Done():
		return
	}
	r.run(w, request, body, modes)
}

func (r *Runner) run(w http.ResponseWriter, request *http.Request, body []byte, modes Modes) {
	task := request.Header.Get(HeaderTask)
	r.mu.Lock()
	r.starts = append(r.starts, Start{Task: task, At: time.Now()})
	r.mu.Unlock()
	if modes.Fail {
		http.Error(w, `{"error":"failed"}`, http.StatusInternalServerError)
		return
	}
	if modes.Silent {
		<-request.Context().Done()
		return
	}
	var taskBody TaskBody
	_ = json.Unmarshal(body, &taskBody)
	wait.For(request.Context(), r.runtime(taskBody, modes.Speed))
	r.servedTasks.Add(1)
	answer, _ := json.Marshal(Reply{Task: task, Tag: taskBody.Tag, Runner: r.options.Name})
	w.Header().Set("Content-Type", "application/json")
	if modes.Truncate {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write(answer[:len(answer)/2])
		return
	}
	_, _ = w.Write(answer)
}

func (r *Runner) runtime(body TaskBody, speed float64) time.Duration {
	runtime, err := time.ParseDuration(body.Runtime)
	if err != nil {
		runtime = r.options.DefaultRuntime
	}
	return time.Duration(float64(runtime) / speed)
}

// FreeSlots returns the number of idle slots and the current speed.
func (r *Runner) FreeSlots() (int, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Slots - len(r.slots), r.modes.Speed
}

// Slots returns the number of tasks that can run at once.
func (r *Runner) Slots() int { return r.options.Slots }
