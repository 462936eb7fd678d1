package explanation

import "encoding/json"

// Path is the path at the metrics address of an entry to which a Query is posted.
const Path = "/explain"

// Query asks where a job would go. Either the name of its queue is given, or host and path of its requests.
type Query struct {
	Queue    string          `json:"queue,omitempty"`
	Host     string          `json:"host,omitempty"`
	Path     string          `json:"path,omitempty"`
	Job      string          `json:"job,omitempty"`      // its ID, which decides on the group if there are several
	Group    string          `json:"group,omitempty"`    // group that is asked for, instead of the job's own one
	Moved    bool            `json:"moved,omitempty"`    // the job comes from another group
	Deadline int64           `json:"deadline,omitempty"` // how long its client waits, in milliseconds
	Body     json.RawMessage `json:"body,omitempty"`     // as clients send it; otherwise the following
	Count    int             `json:"count,omitempty"`    // tasks
	Cores    int64           `json:"cores,omitempty"`    // of a task, in thousandths
	Memory   int64           `json:"memory,omitempty"`   // of a task, in MB
	Estimate int64           `json:"estimate,omitempty"` // of the run time of a task, in milliseconds
}
