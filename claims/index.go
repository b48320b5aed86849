package claims

import (
	"time"

	"github.com/slipwick/slipwick/claims/claimspb"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// entry is the latest entry of a key in its journal.
type entry struct {
	claimant uint64
	state    peerpb.ClaimState
	expires  time.Time
}

func entryOf(e *claimspb.Entry) entry {
	return entry{
		claimant: e.GetClaimant(),
		state:    peerpb.ClaimState(e.GetState()),
		expires:  time.UnixMilli(int64(e.GetExpiresMs())),
	}
}

// index holds a journal's keys. Later entries replace earlier ones.
type index map[[keyBytes]byte]entry

func (x index) apply(e *claimspb.Entry) {
	var key [keyBytes]byte
	copy(key[:], e.GetKey())
	x[key] = entryOf(e)
}

// removeExpired deletes expired entries.
func (x index) removeExpired(now time.Time) {
	for key, e := range x {
		if now.After(e.expires) {
			delete(x, key)
		}
	}
}
