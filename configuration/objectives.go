package configuration

import "github.com/slipwick/slipwick/jsonfile"

// Objectives are a workspace's service level objectives; a zero field sets none.
type Objectives struct {
	// Availability is the desired ratio of requests that complete, 0 to 1.
	Availability float64 `json:"availability" validate:"gte=0,lte=1"`
	// FirstToken is the desired 95th percentile of the time to the first token.
	FirstToken jsonfile.Duration `json:"first_token"`
}
