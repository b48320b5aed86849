package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

func testEntries(n int) []Entry {
	list := make([]Entry, 0, n)
	for i := range n {
		list = append(list, Entry{
			Backend: slipwick.Backend{
				ID:         fmt.Sprintf("p-%d", i),
				Address:    fmt.Sprintf("10.0.0.%d:80", i),
				DataCentre: fmt.Sprintf("dc-%d", i%2),
			},
			Pool: "p",
		})
	}
	return list
}

func newTestBalancer(n int) *Balancer {
	b := New("dc-0")
	b.SetBackends(testEntries(n))
	return b
}

// newBalancerIn returns a balancer in the first data centre, with the pool of entriesIn.
func newBalancerIn(engines int, dataCentres ...string) *Balancer {
	b := New(dataCentres[0])
	b.SetBackends(entriesIn(engines, dataCentres...))
	return b
}

// entriesIn returns entries of engines that are in the given data centres by turns. Each data
// centre is in a region of its own.
func entriesIn(engines int, dataCentres ...string) []Entry {
	var list []Entry
	for i := range engines {
		name := dataCentres[i%len(dataCentres)]
		list = append(list, Entry{
			Backend: slipwick.Backend{
				ID:         fmt.Sprint("e", i),
				Address:    fmt.Sprintf("10.0.0.%d:80", i),
				DataCentre: name,
				Region:     "region of " + name,
				Slots:      12,
			},
			Pool: "p",
		})
	}
	return list
}

var plainRequest = &Request{
	Pool: "p",
}

func acquire(t *testing.T, b *Balancer, request *Request) *Lease {
	t.Helper()
	lease, err := b.Acquire(request)
	if err != nil {
		t.Fatalf("acquire %+v: %v", request, err)
	}
	return lease
}

func prompt(key uint64) *Request {
	return &Request{
		Pool: "p",
		Prompt: []Part{
			{
				Key: key,
			},
		},
	}
}

// topRanked returns the ID of the backend server that ranks first for a prompt among the first n
// test entries. All routers rank alike.
func topRanked(key uint64, n int) string {
	best, score := "", uint64(0)
	for _, entry := range testEntries(n) {
		if s := placement.Score(key, placement.IDHash(entry.ID)); best == "" || s > score {
			best, score = entry.ID, s
		}
	}
	return best
}

func TestLeavingAndTriedBackendsGetNothing(t *testing.T) {
	b := New("dc-0")
	list := testEntries(3)
	list[0].Leaving = true
	b.SetBackends(list)
	request := &Request{
		Pool:    "p",
		Exclude: []string{"p-1"},
	}
	for range 5 {
		if got := acquire(t, b, request).Backend.ID; got != "p-2" {
			t.Errorf("got %s, want p-2", got)
		}
	}
	request.Exclude = []string{"p-1", "p-2"}
	_, err := b.Acquire(request)
	if typed, ok := slipwick.AsError(err); !ok || typed.Outcome != slipwick.OutcomeNotRun {
		t.Errorf("all leaving or excluded: got %v, want an error with outcome not-run", err)
	}
}

// TestPlainServicesPreferLeastLoadedAndLocalServers has 50 routers choose among four servers of a
// plain service, two of which are in the data centre of the routers.
func TestPlainServicesPreferLeastLoadedAndLocalServers(t *testing.T) {
	request := &Request{
		Pool: "p",
	}
	local, remote := 0, 0
	for seed := range uint64(50) {
		b := newTestBalancer(4)
		b.Random = rand.New(rand.NewPCG(seed, 3)).Float64
		counts := make(map[string]int)
		for range 8 {
			counts[acquire(t, b, request).Backend.ID]++
		}
		local, remote = local+counts["p-0"]+counts["p-2"], remote+counts["p-1"]+counts["p-3"]
	}
	if 4*local <= 5*remote || remote == 0 {
		t.Errorf("got %d local and %d remote at 50 routers, want a quarter more local, and some remote", local, remote)
	}
}

// TestEqualServersShareRequests has four idle servers, none of them in the router's data centre.
func TestEqualServersShareRequests(t *testing.T) {
	b := New("elsewhere")
	b.SetBackends(testEntries(4))
	counts := make(map[string]int)
	for range 200 {
		lease := acquire(t, b, &Request{
			Pool: "p",
		})
		counts[lease.Backend.ID]++
		b.Release(lease, slipwick.EvidenceGood)
	}
	for _, entry := range testEntries(4) {
		if got := counts[entry.ID]; got < 10 {
			t.Errorf("%s: got %d of 200 requests, want at least 10", entry.ID, got)
		}
	}
}
