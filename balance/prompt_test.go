package balance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

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

// TestFirstPartsAreFetchedForNewPrompts requests a prompt of which an engine has only the first
// part cached.
func TestFirstPartsAreFetchedForNewPrompts(t *testing.T) {
	b := newTestBalancer(6)
	b.MarkCachesKnown()
	const head, part = 7, 8
	var holder Entry
	for _, entry := range testEntries(6) {
		if entry.ID != topRanked(part, 6) {
			holder = entry
		}
	}
	b.RecordCachedParts(holder.ID, []uint64{head})
	request := &Request{
		Pool: "p",
		Prompt: []Part{
			{
				Key:    head,
				Tokens: 300,
			},
			{
				Key:    part,
				Tokens: 1000,
			},
		},
	}
	lease := acquire(t, b, request)
	if lease.Backend.ID != holder.ID && lease.FetchFrom != holder.Address {
		t.Errorf("got %s fetching from %q, want a fetch from %s", lease.Backend.ID, lease.FetchFrom, holder.Address)
	}
}
