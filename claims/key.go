package claims

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"github.com/slipwick/slipwick"
)

// keyBytes is the length to which a key's hash is truncated.
const keyBytes = 16

// Key is a caller's request key, validated and hashed.
type Key struct {
	hash    [keyBytes]byte
	expires time.Time
}

// ParseKey parses a key of a workspace: a UUIDv7, whose time is when the key was made. A key older
// than KeyLifetime is refused with OutcomeUnknown, because its claim may have been forgotten.
func (p *Policy) ParseKey(workspace, text string, now time.Time) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, &slipwick.Error{
			Kind:    slipwick.KindInvalidRequest,
			Message: "the request key is not a UUIDv7",
			Remedy:  "generate a UUIDv7 for each request, and send the same one with each retry",
			Outcome: slipwick.OutcomeNotRun,
		}
	}
	made := time.Unix(id.Time().UnixTime())
	if made.After(now.Add(p.MaxClockSkew)) {
		return Key{}, &slipwick.Error{
			Kind:    slipwick.KindInvalidRequest,
			Message: "the time in the request key is in the future",
			Remedy:  "correct the clock that the keys are generated with",
			Outcome: slipwick.OutcomeNotRun,
		}
	}
	if now.After(made.Add(p.KeyLifetime)) {
		return Key{}, &slipwick.Error{
			Kind:    slipwick.KindKeyExpired,
			Message: "the request key is too old to tell whether it was used",
			Remedy:  "check in the backend server whether the request ran; generate a new key if it did not",
			Outcome: slipwick.OutcomeUnknown,
		}
	}
	key := Key{
		// Another router may accept the key for longer: the clocks of two routers differ by up to
		// twice MaxClockSkew, since each may differ by that much from the caller's.
		expires: made.Add(p.KeyLifetime + 2*p.MaxClockSkew),
	}
	digest := sha256.New()
	_, _ = digest.Write([]byte(workspace))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(id[:])
	copy(key.hash[:], digest.Sum(nil))
	return key, nil
}

// journal returns the number of the journal that the key belongs to.
func (k *Key) journal(journals int) int {
	return int(k.hash[0]) % journals
}
