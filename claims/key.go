package claims

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"github.com/slipwick/slipwick"
)

// keyBytes is how much of a key's hash is kept.
const keyBytes = 16

// Key is a caller's request key, made ready to be claimed.
type Key struct {
	hash    [keyBytes]byte
	expires time.Time
}

// ParseKey reads a workspace's key, a UUIDv7 whose time says when the key was
// made. A key beyond the window is refused as unknown, since its claim may
// have been forgotten.
func (p *Policy) ParseKey(workspace, text string, now time.Time) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, &slipwick.Error{
			Kind:    slipwick.KindInvalidRequest,
			Message: "the request key is no UUIDv7",
			Remedy:  "make a UUIDv7 for each request and send it again with each resend",
			Outcome: slipwick.OutcomeNotRun,
		}
	}
	made := time.Unix(id.Time().UnixTime())
	if made.After(now.Add(p.Skew)) {
		return Key{}, &slipwick.Error{
			Kind:    slipwick.KindInvalidRequest,
			Message: "the request key's time lies in the future",
			Remedy:  "set the clock that makes the keys",
			Outcome: slipwick.OutcomeNotRun,
		}
	}
	if now.After(made.Add(p.Window)) {
		return Key{}, &slipwick.Error{
			Kind:    slipwick.KindKeyExpired,
			Message: "the request key is too old to know whether it was used",
			Remedy:  "find out in the backend server whether the request ran; make a new key if it did not",
			Outcome: slipwick.OutcomeUnknown,
		}
	}
	key := Key{
		// Another router's clock may still take the key by twice the skew.
		expires: made.Add(p.Window + 2*p.Skew),
	}
	digest := sha256.New()
	_, _ = digest.Write([]byte(workspace))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(id[:])
	copy(key.hash[:], digest.Sum(nil))
	return key, nil
}

// journal gives the journal that the key belongs to.
func (k *Key) journal(journals int) int {
	return int(k.hash[0]) % journals
}
