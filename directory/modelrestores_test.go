package directory

import (
	"testing"
	"time"
)

// TestDepartedIncarnationGetsNothingAfterTwoRestores runs a history in which a router sent again to
// an incarnation that it knew to have left, and the router knew it late. A server crashes and
// starts again; then the store is restored twice within seconds from backups of before that, the
// first older than the crash, and is down shortly afterwards. The cause is not traced.
func TestDepartedIncarnationGetsNothingAfterTwoRestores(t *testing.T) {
	const ms = time.Millisecond
	const rounds = 40
	failed := 0
	for range rounds {
		violations, _ := runHistory(t, 2, []event{
			{
				Kind:   "leave",
				Target: 7,
				Manner: "crash",
				Delay:  2300 * ms,
			},
			{
				Kind:   "start",
				Target: 7,
				Delay:  2700 * ms,
			},
			{
				Kind:      "restore",
				Target:    4,
				Duration:  2000 * ms,
				BackupAge: 5700 * ms,
				Delay:     100 * ms,
				Expires:   true,
			},
			{
				Kind:   "leave",
				Target: 1,
				Manner: "crash",
				Delay:  200 * ms,
			},
			{
				Kind:      "restore",
				Target:    11,
				Duration:  1800 * ms,
				BackupAge: 1000 * ms,
				Delay:     100 * ms,
				Expires:   true,
			},
			{
				Kind:     "outage",
				Target:   1,
				Duration: 800 * ms,
				Delay:    1300 * ms,
				Expires:  true,
			},
		})
		if len(violations) > 0 {
			failed++
			t.Logf("got %q", violations)
		}
	}
	if failed > 0 {
		t.Errorf("got violations in %d of %d rounds, want none", failed, rounds)
	}
}
