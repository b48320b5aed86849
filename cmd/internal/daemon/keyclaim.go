package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/claims"
	"github.com/slipwick/slipwick/configuration"
)

// keyClaim holds the claim of a request's idempotency key, if one was made.
type keyClaim struct {
	claims  *claims.Claims
	claim   claims.Claim
	claimed bool
}

// claimKey claims the idempotency key of a request that may not be repeated. It has to be called
// before the request is sent to a backend server. Requests that may be repeated need no claim.
func (f *frontend) claimKey(ctx context.Context, cr *callerRequest, header http.Header) (*keyClaim, error) {
	k := &keyClaim{
		claims: f.claims,
	}
	text := header.Get(idempotencyKeyHeader)
	if text == "" || cr.repeatable {
		return k, nil
	}
	key, err := f.claims.Policy.ParseKey(cr.workspace.Name, text, time.Now())
	if err != nil {
		return nil, err
	}
	k.claim, err = f.claims.Claim(ctx, key)
	if slipwick.IsKind(err, slipwick.KindUnavailable) && allServersCheckKeys(cr.pools) {
		// The claim can be omitted: the backend servers themselves refuse a key that they have seen.
		return k, nil
	}
	if err != nil {
		return nil, err
	}
	k.claimed = true
	return k, nil
}

func allServersCheckKeys(pools []configuration.Pool) bool {
	for _, pool := range pools {
		for _, backend := range pool.Backends {
			if !backend.ChecksIdempotencyKeys {
				return false
			}
		}
	}
	return true
}

// recordOutcome records the outcome of the claimed request; a nil err means completed. Without
// a claim it does nothing.
func (k *keyClaim) recordOutcome(err error) {
	if !k.claimed {
		return
	}
	outcome := slipwick.OutcomeCompleted
	if err != nil {
		outcome = toError(err).Outcome
	}
	k.claims.RecordOutcome(k.claim, outcome)
}
