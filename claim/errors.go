package claim

import (
	"fmt"
)

// NotOwnerError tells that another process owns the partition now.
type NotOwnerError struct{ Owner string }

// Error names the owner.
func (e *NotOwnerError) Error() string { return fmt.Sprintf("partition is owned by %q", e.Owner) }

// LogError tells that the log did not confirm a claim; the job was not started.
type LogError struct{ Cause error }

// Error gives the cause.
func (e *LogError) Error() string { return fmt.Sprintf("claim is not confirmed: %v", e.Cause) }

// Unwrap gives the cause.
func (e *LogError) Unwrap() error { return e.Cause }

// ConflictError tells that the key was claimed with another body.
type ConflictError struct{ Key string }

// Error names the key.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q was used with another body", e.Key)
}

// ClaimedByOtherError tells that an earlier owner claimed the key and may have started its job.
type ClaimedByOtherError struct{ Key, Owner string }

// Error names the key.
func (e *ClaimedByOtherError) Error() string {
	return fmt.Sprintf("key %q was claimed by the earlier owner %q", e.Key, e.Owner)
}

// FullError tells that the partition holds as many keys as it may.
type FullError struct{ Keys int }

// Error names the bound.
func (e *FullError) Error() string { return fmt.Sprintf("partition is full at %d keys", e.Keys) }

// ShortReadError is a read that ended before an offset which an append had given.
type ShortReadError struct{ Offset, End int64 }

// Error names the offsets.
func (e *ShortReadError) Error() string {
	return fmt.Sprintf("log gave offset %d but reads end at %d", e.Offset, e.End)
}
