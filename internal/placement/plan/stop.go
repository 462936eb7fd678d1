package plan

import "time"

// Refuse refuses a job whose entry stops, if nothing of it has run, and reports whether nothing has and nothing
// will. A job that has started goes on until its entry withdraws it. The message may overtake the one that brings
// the job: that one then starts nothing, but false is returned, since an earlier message may have brought it.
func (p *Plan) Refuse(id string, attempt uint64, now time.Time) bool {
	p.now = now
	j, known := p.jobs[id]
	switch {
	case !known:
		p.Withdraw(id, attempt, now)
		return false
	case j.Attempt != attempt || len(j.tasks) == 0 || j.abandoned:
		return false
	case j.result.State.Ended():
		return j.wasRefused()
	case j.started:
		return false
	}
	p.refuse(j, reasonEntryGivesUp)
	p.placeAll()
	return true
}

// reasonEntryGivesUp is the reason for refusing a job whose entry stops, or needs the room for others.
const reasonEntryGivesUp = "the entry that waits for it has given it up"
