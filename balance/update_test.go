package balance

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
)

// TestCostOfUpdateDependsOnServersInUse takes updates with a few requests in pools of several
// sizes. Each router does so five times a second, and must iterate only over the servers that it
// uses, not over the whole pool.
func TestCostOfUpdateDependsOnServersInUse(t *testing.T) {
	for _, servers := range []int{1000, 2000, 4000} {
		b := newTestBalancer(servers)
		first, second := acquire(t, b, prompt(1)), acquire(t, b, prompt(2))
		if got := len(b.TakeUpdate().InFlight); got != 2 {
			t.Errorf("%d servers: got %d in the update, want 2", servers, got)
		}
		b.Release(first, slipwick.EvidenceGood)
		b.Release(second, slipwick.EvidenceGood)
		if got := len(b.active); got != 2 {
			t.Errorf("%d servers: got %d active, want 2", servers, got)
		}
		b.TakeUpdate()
		if got := len(b.active); got != 0 {
			t.Errorf("%d servers: got %d active without requests, want none", servers, got)
		}
	}
}

// TestUpdateHasAllServersInUse compares updates with an iteration over all servers, while requests
// start and end, and servers are removed from the list and listed again.
func TestUpdateHasAllServersInUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		least, most := 4, 8
		if rapid.Bool().Draw(t, "large") {
			least, most = smallPool+1, smallPool+5
		}
		b := newTestBalancer(most)
		var leases []*Lease
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"acquire", "acquire", "good", "error", "list", "update"}).Draw(t, "step") {
			case "acquire":
				if lease, err := b.Acquire(prompt(rapid.Uint64Range(0, 9).Draw(t, "prompt"))); err == nil {
					leases = append(leases, lease)
				}
			case "good", "error":
				if len(leases) > 0 {
					evidence := rapid.SampledFrom([]slipwick.Evidence{
						slipwick.EvidenceGood, slipwick.EvidenceError, slipwick.EvidenceRefused,
					}).Draw(t, "evidence")
					b.Release(leases[0], evidence)
					leases = leases[1:]
				}
			case "list":
				b.SetBackends(testEntries(rapid.IntRange(least, most).Draw(t, "listed")))
			case "update":
				want := fullUpdate(b)
				if got := formatUpdate(b.TakeUpdate()); !slices.Equal(got, want) {
					t.Fatalf("got %v, want %v", got, want)
				}
			}
		}
	})
}

// fullUpdate returns what the next update has to contain, from an iteration over all listed
// servers.
func fullUpdate(b *Balancer) []string {
	update := Update{}
	for _, s := range b.servers {
		if s.errors.failed > 0 || (s.errors.good > 0 && len(b.pools["p"]) <= smallPool) {
			update.Outcomes = append(update.Outcomes, OutcomeCounts{
				Server: s.hash,
				Good:   s.errors.good,
				Failed: s.errors.failed,
			})
		}
		if s.inFlight > 0 {
			update.InFlight = append(update.InFlight, InFlight{
				Server:        s.hash,
				Count:         s.inFlight,
				PrefillTokens: max(s.prefillTokens, 0),
			})
		}
	}
	return formatUpdate(update)
}

func formatUpdate(update Update) []string {
	slices.SortFunc(update.InFlight, func(x, y InFlight) int { return cmp.Compare(x.Server, y.Server) })
	slices.SortFunc(update.Outcomes, func(x, y OutcomeCounts) int { return cmp.Compare(x.Server, y.Server) })
	return []string{fmt.Sprint(update.InFlight), fmt.Sprint(update.Outcomes)}
}
