package claim

import (
	"fmt"
)

// NotOwnerError reports that this process does not own the partition. Owner names
// the owner if it is known.
type NotOwnerError struct{ Owner string }

// Error implements error; it names the owner.
func (e *NotOwnerError) Error() string { return fmt.Sprintf("partition is owned by %q", e.Owner) }

// LogError reports that the log did not confirm a claim; its job was not started.
type LogError struct{ Cause error }

// Error implements error; it names the cause.
func (e *LogError) Error() string { return fmt.Sprintf("claim is not confirmed: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Cause }

// UndecidedError reports that a caller stopped waiting before the log decided a claim. The
// claim goes on, so that its job may have been started or may still be.
type UndecidedError struct{ Cause error }

// Error implements error; it names the cause.
func (e *UndecidedError) Error() string { return fmt.Sprintf("claim is not decided yet: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Cause }

// ConflictError reports that the key was claimed with a different digest.
type ConflictError struct{ Key string }

// Error implements error; it names the key.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q was used with another body", e.Key)
}

// ClaimedByOtherError reports that an earlier owner claimed the key and may have
// started its job.
type ClaimedByOtherError struct{ Key, Owner string }

// Error implements error; it names the key and the owner.
func (e *ClaimedByOtherError) Error() string {
	return fmt.Sprintf("key %q was claimed by the earlier owner %q", e.Key, e.Owner)
}

// FullError reports that the partition remembers as many keys as it may.
type FullError struct{ MaxKeys int }

// Error implements error; it names the limit.
func (e *FullError) Error() string { return fmt.Sprintf("partition is full at %d keys", e.MaxKeys) }

// LoopError reports that the log names a first offset that has been read already, although
// it calls an offset above it truncated.
type LoopError struct{ Offset, FirstOffset int64 }

// Error implements error; it names both offsets.
func (e *LoopError) Error() string {
	return fmt.Sprintf("log calls offset %d truncated, but begins at %d", e.Offset, e.FirstOffset)
}

// ShortReadError reports that a read of the log ended before an offset that an
// append had returned.
type ShortReadError struct{ Offset, End int64 }

// Error implements error; it names both offsets.
func (e *ShortReadError) Error() string {
	return fmt.Sprintf("log gave offset %d but reads end at %d", e.Offset, e.End)
}
