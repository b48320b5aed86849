package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/claims"
	"github.com/slipwick/slipwick/configuration"
)

// keyed is the part of a request with a key: its claim, if one was made.
type keyed struct {
	claims  *claims.Claims
	claim   claims.Claim
	claimed bool
}

// claimKey claims the key of a request that may not be repeated, before any of
// it is sent. Requests that may be repeated need no claim.
func (f *front) claimKey(ctx context.Context, a *arrival, header http.Header) (*keyed, error) {
	k := &keyed{
		claims: f.claims,
	}
	text := header.Get(keyHeader)
	if text == "" || a.repeatable {
		return k, nil
	}
	key, err := f.claims.Policy.ParseKey(a.workspace.Name, text, time.Now())
	if err != nil {
		return nil, err
	}
	k.claim, err = f.claims.Claim(ctx, key)
	if slipwick.IsKind(err, slipwick.KindUnavailable) && allCheckKeys(a.pools) {
		// The backend servers refuse a key that they have seen.
		return k, nil
	}
	if err != nil {
		return nil, err
	}
	k.claimed = true
	return k, nil
}

func allCheckKeys(pools []configuration.Pool) bool {
	for _, pool := range pools {
		for _, backend := range pool.Backends {
			if !backend.ChecksKeys {
				return false
			}
		}
	}
	return true
}

// ended records how the claimed request ended; err nil means completed.
func (k *keyed) ended(err error) {
	if !k.claimed {
		return
	}
	outcome := slipwick.OutcomeCompleted
	if err != nil {
		outcome = asFailure(err).Outcome
	}
	k.claims.RecordOutcome(k.claim, outcome)
}
