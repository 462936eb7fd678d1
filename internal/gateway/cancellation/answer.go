package cancellation

// Answer is the answer to a cancel.
type Answer int

// Answers to a cancel.
const (
	Undecided   Answer = iota // further replies may decide it
	Cancelled                 // 200: nothing of the job starts any more
	Gone                      // 410: no such job exists
	Unavailable               // 503: the cancel may not hold
)

// Tally counts the replies to a cancel.
type Tally struct {
	Full    bool            // this entry has no room for the record
	Known   bool            // a client of this entry waits for the job, or a holder knows it
	Home    string          // the job's group, if a client of this entry waits for it
	Missing map[string]bool // groups whose holder has not answered
	Kept    int             // other processes that keep the record
	Earlier int             // other processes of an earlier build, which keep none
	Alone   bool            // no other entry runs
	Unheard bool            // the job may be known to an entry or a holder that is not heard
}

// Answer returns the answer that the replies allow. The loss of the answering process must not undo a cancel, so another
// one must keep the record; beside earlier builds only, a cancel is answered as before. timedOut says that no further
// replies are waited for.
func (t Tally) Answer(timedOut bool) Answer {
	decided := (t.Kept > 0 || t.Earlier > 0 || t.Alone) && (t.Known && !t.Missing[t.Home] || len(t.Missing) == 0)
	switch {
	case !decided && !timedOut:
		return Undecided
	case !decided, t.Full:
		return Unavailable
	case t.Known, t.Unheard:
		return Cancelled
	}
	return Gone
}
