package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

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

func TestPromptsStayAtTheirTopRankedEngine(t *testing.T) {
	b := newTestBalancer(9)
	for key := range uint64(50) {
		for range 3 {
			lease := acquire(t, b, prompt(key))
			if got, want := lease.Backend.ID, topRanked(key, 9); got != want {
				t.Errorf("key %d: got %s, want %s", key, got, want)
			}
			if lease.FetchFrom != "" {
				t.Errorf("key %d: got a fetch from %s, want none", key, lease.FetchFrom)
			}
			b.Release(lease, slipwick.EvidenceGood)
		}
	}
}

// TestHotPromptSpillsBelowTheBound sends only one prompt, in requests that never end: when its
// engine reaches the load bound, requests go to others, each of which fetches the prompt once.
func TestHotPromptSpillsBelowTheBound(t *testing.T) {
	b := newTestBalancer(6)
	counts := make(map[string]int)
	fetched := 0
	for range 60 {
		lease := acquire(t, b, prompt(7))
		b.RecordResponseStart(lease)
		counts[lease.Backend.ID]++
		if lease.FetchFrom != "" {
			fetched++
		}
	}
	for id, got := range counts {
		// The load bound for the final mean of 10 requests is 1.6*10 + 2.
		if limit := int(1.6*10) + 2 + 1; got > limit {
			t.Errorf("%s: got %d of 60 requests at 6 engines, want at most %d", id, got, limit)
		}
	}
	if len(counts) < 2 || fetched != len(counts)-1 {
		t.Errorf("got %d engines and %d fetches, want a fetch by each engine but the first", len(counts), fetched)
	}
}

func TestSpillPrefersEnginesThatHaveThePrompt(t *testing.T) {
	b := newTestBalancer(6)
	var holder Entry
	for _, entry := range testEntries(6) {
		if entry.ID != topRanked(7, 6) {
			holder = entry
		}
	}
	b.ReceiveCachedParts([]CachedPart{
		{
			Part:   7,
			Server: placement.IDHash(holder.ID),
		},
	})
	for range 4 {
		if lease := acquire(t, b, prompt(7)); lease.Backend.ID != topRanked(7, 6) {
			if lease.Backend.ID != holder.ID || lease.FetchFrom != "" {
				t.Errorf("got %s, fetching from %q; want %s, which has the prompt", lease.Backend.ID, lease.FetchFrom, holder.ID)
			}
			return
		}
	}
	t.Error("got no spill with four requests at one engine of six")
}

func TestNewEngineFetchesFromPreviousTopRankedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(5)
		time.Sleep(time.Minute)
		b.SetBackends(testEntries(6))
		for key := range uint64(200) {
			if topRanked(key, 6) != "p-5" {
				continue
			}
			lease := acquire(t, b, prompt(key))
			b.Release(lease, slipwick.EvidenceGood)
			before := topRanked(key, 5)
			want := fmt.Sprintf("10.0.0.%s:80", before[len("p-"):])
			if lease.Backend.ID != "p-5" || lease.FetchFrom != want {
				t.Errorf("key %d: got %s fetching from %q, want p-5 from %q", key, lease.Backend.ID, lease.FetchFrom, want)
			}
		}
	})
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

func TestUnreachableBackendIsEjectedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(3)
		id := topRanked(7, 3)
		var ejected []string
		b.OnEjected = func(backend slipwick.Backend, wait time.Duration) {
			ejected = append(ejected, backend.ID+" "+wait.String())
		}
		b.Release(acquire(t, b, prompt(7)), slipwick.EvidenceUnreachable)
		if want := id + " " + minEjection.String(); len(ejected) != 1 || ejected[0] != want {
			t.Errorf("got ejections %v, want %s", ejected, want)
		}
		lease := acquire(t, b, prompt(7))
		if lease.Backend.ID == id {
			t.Errorf("got %s right after it was unreachable", id)
		}
		b.Release(lease, slipwick.EvidenceGood)
		time.Sleep(minEjection)
		if got := acquire(t, b, prompt(7)).Backend.ID; got != id {
			t.Errorf("after %v: got %s, want %s again", minEjection, got, id)
		}
	})
}

func TestFailingBackendIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(2)
		request := &Request{
			Pool: "p",
		}
		for range 20 {
			lease := acquire(t, b, request)
			evidence := slipwick.EvidenceGood
			if lease.Backend.ID == "p-0" {
				evidence = slipwick.EvidenceError
			}
			b.Release(lease, evidence)
		}
		for range 5 {
			if got := acquire(t, b, request).Backend.ID; got != "p-1" {
				t.Errorf("got %s, want p-1", got)
			}
		}
	})
}

func TestPeerCountsTakePrecedenceOverLoadReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(2)
		lease := acquire(t, b, prompt(7))
		b.RecordLoad(lease, Load{
			Running: 50,
		})
		b.SetPeers([]string{"r2"}, 1)
		b.ReceiveCounts("r2", 5, []InFlight{
			{
				Server: placement.IDHash(lease.Backend.ID),
				Count:  1,
			},
		})
		b.ReceiveCounts("r2", 4, nil)
		load := func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			loads := b.loadsLocked([]*server{lease.server}, time.Now())
			return loads[0]
		}
		if got := load(); got != 2 {
			t.Errorf("with the counts of all peers: got load %v, want 2", got)
		}
		time.Sleep(remoteCountsTTL + time.Millisecond)
		if got := load(); got != 50 {
			t.Errorf("with old counts: got load %v, want the reported 50", got)
		}
		time.Sleep(loadReportTTL)
		if got := load(); got != 1 {
			t.Errorf("with an old report as well: got load %v, want the router's own 1", got)
		}
	})
}

// TestSpillGoesToTheDataCentreOfAHolder checks that when the engine of a prompt reaches the load
// bound, the next engine for it is in the same data centre, where it fetches the prompt faster.
func TestSpillGoesToTheDataCentreOfAHolder(t *testing.T) {
	for key := range uint64(20) {
		b := newTestBalancer(8)
		first := acquire(t, b, prompt(key))
		b.RecordResponseStart(first)
		for range 20 {
			lease := acquire(t, b, prompt(key))
			b.RecordResponseStart(lease)
			if lease.Backend.ID == first.Backend.ID {
				continue
			}
			if got, want := lease.Backend.DataCentre, first.Backend.DataCentre; got != want {
				t.Errorf("key %d: got a spill to %s, want it in %s", key, got, want)
			}
			break
		}
	}
}
