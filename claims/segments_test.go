package claims

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// claimNew claims a new key.
func claimNew(f *fleet, n *node) error {
	key, err := n.claims.Policy.ParseKey("w", newKey(f.random), time.Now())
	if err != nil {
		return err
	}
	_, err = n.claims.Claim(f.context(), key)
	return err
}

// TestExpiredSegmentsAreReused checks that a journal has at most MaxSegments objects, refuses
// claims while no segment has expired, and accepts them afterwards.
func TestExpiredSegmentsAreReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := testPolicy()
		policy.Journals, policy.MaxSegments = 1, 3
		policy.KeyLifetime, policy.MaxClockSkew = 20*time.Second, time.Second
		f := newFleet(1, 1, policy)
		f.random = rand.New(rand.NewPCG(1, 1))
		n := f.node(f.ids[0])
		granted, refused := 0, 0
		for range 400 {
			err := claimNew(f, n)
			failure, _ := slipwick.AsError(err)
			switch {
			case err == nil:
				granted++
			case failure.Outcome == slipwick.OutcomeNotRun:
				refused++
			default:
				t.Fatalf("got %v, want a granted claim or a refusal with outcome not-run", err)
			}
			time.Sleep(500 * time.Millisecond)
		}
		if got := len(f.store.objects); got > policy.MaxSegments {
			t.Errorf("got %d objects, want at most %d", got, policy.MaxSegments)
		}
		// Three segments hold a few dozen claims, so 400 claims need each of them many times.
		if granted < 100 || refused == 0 {
			t.Errorf("got %d granted and %d refused, want both", granted, refused)
		}
		f.stop()
	})
}

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
