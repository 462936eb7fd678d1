package submission

import (
	"context"
	"log/slog"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// GroupHolder is the entry that currently holds a group of workers.
type GroupHolder struct {
	Group   string
	Epoch   uint64
	ID      string // entry ID
	Address string // of its listener for peers; empty when local
	Local   bool   // the holder is this entry
}

// Options configures a Tracker. Place, Await, Withdraw and Refuse may block for as long
// as a call to another entry takes. The others must return at once, since
// most are called with the tracker's lock held.
type Options struct {
	Self          string        // ID of this entry
	RequestNumber func() uint64 // returns a number for a new request; random if nil
	// GroupOf returns the group whose holder gets a new job.
	GroupOf func(b *batch.Batch) string
	// Redirect returns the group to which a job goes that has not been sent to its group: that group
	// itself, another one while its zone is evacuated, or "" if there is none. Nil means the group itself.
	Redirect func(id, group string) string
	// FindHolder returns the current holder of a group, and false if none is known.
	FindHolder func(group string) (GroupHolder, bool)
	// Detour returns another group for a job of which nothing was sent yet, if the holder of
	// its group is missing or does not answer and the other group has free slots for its
	// tasks; otherwise "". Nil means never.
	Detour func(group string, tasks int) string
	// Place sends a job to a holder and reports whether the holder accepted it. completed
	// names the tasks that completed under an earlier holder. After an error the holder
	// may have accepted the job.
	Place func(ctx context.Context, to GroupHolder, b *batch.Batch, completed []string) (bool, error)
	// Await polls a holder for jobs for which clients waited at askedAt. It returns the results of those that have ended, the
	// states of others that have losses, the IDs that the holder does not know, and whether
	// it still holds the group.
	Await func(ctx context.Context, to GroupHolder, ids []string, askedAt time.Time) (results []batch.Result, unknown []string, held bool, err error)
	// Withdraw asks a holder to cancel a job whose clients have left. After an error the holder may
	// not have got the request.
	Withdraw func(ctx context.Context, to GroupHolder, b *batch.Batch) error
	// Refuse asks a holder to refuse a job, and reports whether nothing of it has run and nothing will. Nil means that
	// holders refuse none.
	Refuse func(ctx context.Context, to GroupHolder, b *batch.Batch) (bool, error)
	// OnEnd receives the result of each job and the number of Place calls for it.
	OnEnd func(b *batch.Batch, r batch.Result, tries int)
	// Isolated reports whether this entry is cut off from the entries that could serve its
	// jobs, so that new jobs are refused at once. Nil means never.
	Isolated func() bool
	// ResultsLost reports whether results no longer arrive from other entries, so that the
	// outcome of jobs that they have accepted is unknown. Nil means never.
	ResultsLost func() bool
	// Cancelled reports whether a client has cancelled a job, so that it is not sent to a holder again. Nil means never.
	Cancelled func(id string) bool
	Log       *slog.Logger
}
