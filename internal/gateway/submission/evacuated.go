package submission

import (
	"slices"
	"time"
)

const (
	reasonNoZoneLeft = "its availability zone is evacuated and no other one can be reached"
	// noZoneRetryDelay is the time after which a client may retry a job that no zone takes.
	noZoneRetryDelay = 2 * time.Second
)

// leaveEvacuated reroutes a job that has not been sent while the zone of its group is evacuated. If no
// other zone takes it, it refuses the job and returns false. The caller holds t.mu.
func (t *Tracker) leaveEvacuated(job *pendingJob) bool {
	if job.placing || job.maybeAccepted {
		return true
	}
	group := t.options.Redirect(job.batch.ID, job.group)
	switch group {
	case "":
		t.end(job, job.refusal(reasonNoZoneLeft, noZoneRetryDelay))
		return false
	case job.group:
		return true
	}
	job.reroute(group, job.batch.StartedHere)
	job.maybeAccepted = false // it has been sent to no holder of the other group either
	return true
}

// hasTaken reports whether a message that moves a job to a group repeats an earlier one. The holder that
// has the job now and was polled for it, given by from, repeats none: it may move the job back.
func (j *pendingJob) hasTaken(group string, from *GroupHolder) bool {
	if group == j.group || from != nil && j.holder != *from {
		return true
	}
	return from == nil && slices.Contains(j.leftGroups, group)
}
