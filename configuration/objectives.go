package configuration

import "github.com/slipwick/slipwick/jsonfile"

// Objectives are a workspace's service levels; a zero sets none.
type Objectives struct {
	// Availability is the wanted share of requests that complete, 0 to 1.
	Availability float64 `json:"availability" validate:"gte=0,lte=1"`
	// FirstToken is the time to the first token for 95 of 100 requests.
	FirstToken jsonfile.Duration `json:"first_token"`
}
