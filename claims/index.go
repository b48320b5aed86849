package claims

import (
	"time"

	"github.com/slipwick/slipwick/claims/claimspb"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// indexEntry holds the content of a key's latest entry in its journal.
type indexEntry struct {
	claimant uint64
	state    peerpb.ClaimState
	expires  time.Time
}

func newIndexEntry(e *claimspb.Entry) indexEntry {
	return indexEntry{
		claimant: e.GetClaimant(),
		state:    peerpb.ClaimState(e.GetState()),
		expires:  time.UnixMilli(int64(e.GetExpiresMs())),
	}
}

// index holds the latest entry of each key of a journal.
type index map[[keyBytes]byte]indexEntry

func (x index) apply(e *claimspb.Entry) {
	var key [keyBytes]byte
	copy(key[:], e.GetKey())
	x[key] = newIndexEntry(e)
}

// removeExpired deletes expired entries.
func (x index) removeExpired(now time.Time) {
	for key, e := range x {
		if now.After(e.expires) {
			delete(x, key)
		}
	}
}
