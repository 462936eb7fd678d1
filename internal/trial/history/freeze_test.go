package history

import (
	"context"
	"sync"
	"time"
)

// frozen is the condition that the process of an entry is paused. What is sent to it waits, and so
// does what it sends. Its holder starts nothing, but goes on counting time, which the process would
// do when it resumes.
func frozen(entry string) string { return "frozen is " + entry }

// waitThawed waits until a process is no longer paused, or the context ends.
func (w *world) waitThawed(ctx context.Context, name string) error {
	for w.active(frozen(name)) {
		w.mu.Lock()
		remaining := time.Until(w.activeUntil[frozen(name)])
		w.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(remaining):
		}
	}
	return nil
}

// suspectHeartbeats is the number of heartbeat intervals that a process may be paused unnoticed.
const suspectHeartbeats = 4

// pauseDetector does what the detector in package node does: after a pause, a takeover by another
// entry is suspected until a heartbeat that was sent after it is answered.
type pauseDetector struct {
	mu            sync.Mutex
	lastHeartbeat time.Time
	resumedAt     time.Time // zero if no takeover is suspected
}

func (p *pauseDetector) recordHeartbeat(threshold time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !p.lastHeartbeat.IsZero() && now.Sub(p.lastHeartbeat) > threshold {
		p.resumedAt = now
	}
	p.lastHeartbeat = now
}

func (p *pauseDetector) recordAnswer(sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sentAt.Before(p.resumedAt) {
		p.resumedAt = time.Time{}
	}
}

// takeoverSuspected reports whether another entry may have taken over while this one was paused, or
// whether it is paused.
func (e *entry) takeoverSuspected() bool {
	if e.active(frozen(e.id)) {
		return true
	}
	e.pause.mu.Lock()
	defer e.pause.mu.Unlock()
	now := time.Now()
	if !e.pause.lastHeartbeat.IsZero() && now.Sub(e.pause.lastHeartbeat) > suspectHeartbeats*e.heartbeat {
		return true
	}
	return !e.pause.resumedAt.IsZero() && now.Before(e.pause.resumedAt.Add(heartbeatTimeout+100*time.Millisecond))
}
