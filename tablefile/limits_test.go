package tablefile

import (
	"testing"

	"github.com/slipwick/slipwick/routing"
)

// TestWorkspaceLimitsReachTheTable guards against a limit that the file accepts and that has no
// effect, because it is lost between the file and the routing table.
func TestWorkspaceLimitsReachTheTable(t *testing.T) {
	file, err := Parse("table.jsonc", []byte(`{"version": 1,
 "pools": [{"name": "p", "max_queued": 40}],
 "workspaces": [{"name": "w", "keys": ["a-long-key"], "share": 3, "max_in_flight": 20, "max_work": 1.5}]}`))
	if err != nil {
		t.Fatal(err)
	}
	table := file.Table()
	w := table.Workspace("a-long-key")
	if w == nil || w.Share != 3 || w.MaxInFlight != 20 || w.MaxWork != 1.5 {
		t.Errorf("got workspace %+v, want share 3, 20 requests in flight, 1.5 s of work", w)
	}
	if got, want := table.Pools["p"], (routing.Pool{
		Name:      "p",
		MaxQueued: 40,
	}); got == nil || *got != want {
		t.Errorf("got pool %+v, want %+v", got, want)
	}
}

// TestNegativeWorkspaceLimitsAreRefused guards against limits that would refuse every request.
func TestNegativeWorkspaceLimitsAreRefused(t *testing.T) {
	for _, limit := range []string{`"share": -1`, `"max_in_flight": -1`, `"max_work": -0.5`} {
		_, err := Parse("table.jsonc", []byte(`{"version": 1,
 "workspaces": [{"name": "w", "keys": ["a-long-key"], `+limit+`}]}`))
		if err == nil {
			t.Errorf("%s: got no error, want one", limit)
		}
	}
}
