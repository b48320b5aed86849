package claims

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// TestParseKeyChecksTimeAndFormat checks keys that are too old, from the future or malformed.
func TestParseKeyChecksTimeAndFormat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := DefaultPolicy()
		random := rand.New(rand.NewPCG(1, 1))
		now := time.Now()
		key := newKey(random)
		for _, tc := range []struct {
			name string
			key  string
			at   time.Time
			want slipwick.Outcome
		}{
			{
				name: "fresh",
				key:  key,
				at:   now,
			},
			{
				name: "within the skew",
				key:  key,
				at:   now.Add(-policy.MaxClockSkew),
			},
			{
				name: "from the future",
				key:  key,
				at:   now.Add(-policy.MaxClockSkew - time.Second),
				want: slipwick.OutcomeNotRun,
			},
			{
				name: "too old",
				key:  key,
				at:   now.Add(policy.KeyLifetime + time.Second),
				want: slipwick.OutcomeUnknown,
			},
			{
				name: "not a UUIDv7",
				key:  "9b2d2ef6-4f0e-4a36-8f6e-0d7a3c1b5a10",
				at:   now,
				want: slipwick.OutcomeNotRun,
			},
		} {
			_, err := policy.ParseKey("w", tc.key, tc.at)
			got := slipwick.Outcome("")
			if failure, ok := slipwick.AsError(err); ok {
				got = failure.Outcome
			}
			if got != tc.want {
				t.Errorf("%s: got outcome %q, want %q", tc.name, got, tc.want)
			}
		}
	})
}
