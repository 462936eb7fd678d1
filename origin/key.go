// Package origin defines origin keys, which name the only process that may start
// their job.
package origin

import (
	"fmt"
	"strconv"
	"strings"
)

// prefix marks an origin key; client-chosen keys must not begin with it.
const prefix = "o1~"

// maxKeyBytes is the maximum length of a key.
const maxKeyBytes = 256

// Key is an origin key, written `<token>.<client part>`. The token names the zone, VM
// and incarnation of the process that issued it and a slot of that process's
// monotonic clock.
type Key struct {
	Zone        string
	VM          string
	Incarnation uint64
	Slot        int64
	ClientPart  string
}

// KeyError reports an invalid key.
type KeyError struct {
	Key    string
	Reason string
}

// Error implements error; it names the key and the reason.
func (e *KeyError) Error() string { return fmt.Sprintf("key %q: %s", e.Key, e.Reason) }

// HasPrefix reports whether text begins like an origin key. It may still be invalid.
func HasPrefix(text string) bool { return strings.HasPrefix(text, prefix) }

// Validate checks a key of either kind: 1 to 256 bytes of printable ASCII without
// spaces. The error is a *KeyError.
func Validate(text string) error {
	if text == "" || len(text) > maxKeyBytes {
		return &KeyError{Key: text[:min(len(text), 40)], Reason: fmt.Sprintf("is not 1 to %d bytes long", maxKeyBytes)}
	}
	for _, r := range text {
		if r <= ' ' || r > '~' {
			return &KeyError{Key: text, Reason: "holds a byte that is not printable ASCII"}
		}
	}
	return nil
}

// Token returns the part of the key that the entry issues.
func (k Key) Token() string {
	return fmt.Sprintf("%s%s~%s~%016x~%d", prefix, k.Zone, k.VM, k.Incarnation, k.Slot)
}

// String returns the whole key.
func (k Key) String() string { return k.Token() + "." + k.ClientPart }

// Parse parses an origin key with its client part. The error is a *KeyError.
func Parse(text string) (Key, error) {
	token, clientPart, ok := strings.Cut(text, ".")
	if !ok || clientPart == "" {
		return Key{}, &KeyError{Key: text, Reason: "lacks the caller's own part after a full stop"}
	}
	parts := strings.Split(token, "~")
	if len(parts) != 5 || parts[0]+"~" != prefix || parts[1] == "" || parts[2] == "" {
		return Key{}, &KeyError{Key: text, Reason: "token is not o1~zone~vm~incarnation~slot"}
	}
	incarnation, err := strconv.ParseUint(parts[3], 16, 64)
	if err != nil || fmt.Sprintf("%016x", incarnation) != parts[3] {
		return Key{}, &KeyError{Key: text, Reason: "incarnation is not 16 hexadecimal digits, letters in lower case"}
	}
	slot, err := strconv.ParseInt(parts[4], 10, 64)
	if err != nil || slot < 0 || strconv.FormatInt(slot, 10) != parts[4] {
		return Key{}, &KeyError{Key: text, Reason: "slot is not a number"}
	}
	return Key{Zone: parts[1], VM: parts[2], Incarnation: incarnation, Slot: slot, ClientPart: clientPart}, nil
}
