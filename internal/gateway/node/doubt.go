package node

import "time"

// doubtedGroups are the groups for which the registry lacks a worker that may be alive, each with the
// time when no run of an earlier holder can be left there. That is zero while another entry
// holds the group: it may renew the leases of the worker.
type doubtedGroups map[string]time.Time

// add adds a group and reports whether it was not doubted.
func (d doubtedGroups) add(group string) bool {
	_, known := d[group]
	if !known {
		d[group] = time.Time{}
	}
	return !known
}

// takeOver records that this entry takes a group over, after which no other one renews leases. It
// returns when the doubt ends, or a zero time if there is none.
func (d doubtedGroups) takeOver(group string, now time.Time) time.Time {
	if end, known := d[group]; known && end.IsZero() {
		d[group] = now.Add(reregistrationWindow)
	}
	return d[group]
}

// settle removes the groups whose doubt has ended, or whose holder has the same workers.
func (d doubtedGroups) settle(holderHasWorkers func(group string) bool, now time.Time) {
	for group, end := range d {
		if !end.IsZero() && !end.After(now) || end.IsZero() && holderHasWorkers(group) {
			delete(d, group)
		}
	}
}
