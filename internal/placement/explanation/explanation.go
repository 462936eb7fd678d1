// Package explanation holds the answer to the question where a job would go now, and why.
package explanation

import "time"

// Reason says why a worker does not get a task. Further values are the verdicts of package eligibility.
type Reason string

// Reasons that depend on the task.
const (
	Service   Reason = "service"
	Resources Reason = "resources"
	Label     Reason = "label"
	Avoided   Reason = "avoided" // it has failed the task before
	Busy      Reason = "busy"    // the task may crash it and the runs there
	Limit     Reason = "limit"   // it has as many tasks of the step as it may have
	Lease     Reason = "lease"   // its lease does not fit the job
	Slow      Reason = "slow"    // the task would end too late there
	Reserved  Reason = "reserved"
)

// Route says why a group gets a job.
type Route string

// Routes of a job.
const (
	Own       Route = "own"       // a group of the zone of the asked entry
	Named     Route = "named"     // the question names the group
	Evacuated Route = "evacuated" // the zone of the job's group is evacuated
	Detour    Route = "detour"    // the holder of the job's group is missing or silent
	Spillover Route = "spillover" // the job's group has no free resources
	Started   Route = "started"   // another group has started the job
)

// Explanation says where a job would go.
type Explanation struct {
	At        time.Time  `json:"at"`
	Queue     string     `json:"queue"`
	Job       string     `json:"job"`
	Route     Route      `json:"route"`
	Group     string     `json:"group"`   // "" if the job would be refused before a group is chosen
	Holder    string     `json:"holder"`  // entry that holds the group; "" if none is known
	Address   string     `json:"address"` // of the holder for other entries; "" if it is the asked entry
	Refusal   *Refusal   `json:"refusal,omitempty"`
	Placement *Placement `json:"placement,omitempty"` // in the group that the asked entry holds
}

// Refusal says why a job would be refused, and when its client should send it again.
type Refusal struct {
	Reason string    `json:"reason"`
	Retry  time.Time `json:"retry"`
}

// Placement says what a holder would do with a job.
type Placement struct {
	Group    string    `json:"group"`
	Route    Route     `json:"route,omitempty"`  // why the job would move to Target
	Target   string    `json:"target,omitempty"` // group to which it would move
	Hold     string    `json:"hold,omitempty"`   // why the holder starts no new job now
	Trial    bool      `json:"trial"`            // it would start only as a trial job
	Capacity int64     `json:"capacity"`         // usable cores of its service, in thousandths
	Waiting  int       `json:"waiting"`          // jobs whose turn comes before it
	Turn     time.Time `json:"turn"`             // forecast of its turn
	Refusal  *Refusal  `json:"refusal,omitempty"`
	Steps    []Step    `json:"steps,omitempty"`
}

// Step says where the first task of a step would start, considered by itself.
type Step struct {
	Tasks      int            `json:"tasks"`
	After      []int          `json:"after,omitempty"` // indexes of the steps that come first
	Worker     string         `json:"worker"`          // "" if the task would wait
	Runtime    int64          `json:"runtime"`         // expected run time there, in milliseconds
	Candidates int            `json:"candidates"`
	Excluded   map[Reason]int `json:"excluded"` // number of the other workers, by reason
}
