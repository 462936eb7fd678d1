// Package order defines how the priority of a queue changes the order of waiting jobs.
package order

import "time"

// Delay returns by how much later the turn of a job comes than that of a job of priority 0, the highest.
// As it is a constant, a job that has waited longer by that much comes first: none starves.
func Delay(priority int) time.Duration {
	return agingStep * time.Duration(min(max(priority, 0), lowest))
}

const (
	agingStep = 60 * time.Millisecond // a wait of this length counts as much as one priority
	lowest    = 9                     // priorities below count as this one, since clients wait for little more than a second
)
