package balance

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// plainChoice chooses the engine for a prompt as Acquire does, step by step and
// without what makes that fast; nil if chance decides.
func plainChoice(b *Balancer, ask *Request, now time.Time, decay float64) *server {
	var usable []*server
	for _, s := range b.pools[ask.Pool] {
		if !s.Leaving && !slices.Contains(ask.Exclude, s.ID) && !b.isUnavailableLocked(s, now) {
			usable = append(usable, s)
		}
	}
	each, mean := plainLoads(b, usable, now, decay)
	bound := b.loadBound(mean)
	prompt := ask.Prompt[len(ask.Prompt)-1].Key
	var below, holding []*server
	for i, s := range usable {
		if each[i] >= bound {
			continue
		}
		below = append(below, s)
		if b.cacheIndex.holds(prompt, s) {
			holding = append(holding, s)
		}
	}
	if len(below) == 0 {
		return nil
	}
	slices.SortFunc(holding, func(x, y *server) int {
		if near := x.DataCentre == b.DataCentre; near != (y.DataCentre == b.DataCentre) {
			return map[bool]int{true: -1, false: 1}[near]
		}
		return cmp.Compare(placement.Score(prompt, y.hash), placement.Score(prompt, x.hash))
	})
	if len(holding) > 0 {
		return holding[0]
	}
	return plainLeastReading(b, prompt, below, now)
}

// plainLoads is what all routers probably have at each server.
func plainLoads(b *Balancer, usable []*server, now time.Time, decay float64) (each []float64, mean float64) {
	told, complete := make(map[uint64]int), len(b.peers) > 0
	for _, id := range b.peers {
		h, known := b.countsByRouter[id]
		complete = complete && known && now.Sub(h.receivedAt) <= remoteCountsLifetime
		for _, in := range h.inFlight {
			told[in.Server] += in.Count
		}
	}
	usual := 0.0
	for _, s := range usable {
		usual += s.sends
	}
	// In the order of operations that the balancer has: rapid finds loads that are the
	// bound but for the rounding.
	usual = usual * decay / float64(len(usable))
	for _, s := range usable {
		others := meanReportedLoad(usable, now)
		if complete {
			others = float64(told[s.hash])
		} else if reported, ok := s.inFlightElsewhere(now); ok {
			others = float64(reported)
		}
		load := float64(s.inFlight) + others + float64(b.otherRouters)*expectedExcess(s.sends*decay, usual)
		load = max(load, float64(s.inFlight))
		each = append(each, load)
		mean += load
	}
	return each, mean / float64(len(usable))
}

func plainLeastReading(b *Balancer, prompt uint64, below []*server, now time.Time) *server {
	holders, _ := b.cacheIndex.holdersByPart.Peek(prompt)
	var near []*server
	for _, s := range below {
		if slices.ContainsFunc(holders, func(hash uint64) bool {
			holder := b.hashes[hash]
			return holder != nil && b.canFetchFromLocked(holder, now) && holder.DataCentre == s.DataCentre
		}) {
			near = append(near, s)
		}
	}
	if len(near) > 0 {
		below = near
	}
	slices.SortFunc(below, func(x, y *server) int {
		return cmp.Compare(placement.Score(prompt, y.hash), placement.Score(prompt, x.hash))
	})
	rankLead := b.paceLocked("p").prefill.Tokens(rankLeadTime)
	var best *server
	bestCost := 0
	for rank, s := range below {
		cost := rank*rankLead + s.prefillTokens
		for _, id := range b.peers {
			for _, in := range b.countsByRouter[id].inFlight {
				if in.Server == s.hash {
					cost += in.PrefillTokens
				}
			}
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// TestChoiceIsThatOfThePlainWay compares choices in any state that requests and
// tellings bring about.
func TestChoiceIsThatOfThePlainWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 40).Draw(t, "engines")
		b := newTestBalancer(engines)
		peers := rapid.IntRange(0, 4).Draw(t, "peers")
		var ids []string
		for i := range peers {
			ids = append(ids, fmt.Sprint("r", i))
		}
		b.SetPeers(ids, 3*peers)
		draw := func() *Request {
			return &Request{
				Pool: "p",
				Prompt: []Part{
					{
						Key:    rapid.Uint64Range(1, 12).Draw(t, "prompt"),
						Tokens: rapid.IntRange(1, 20000).Draw(t, "tokens"),
					},
				},
				UniqueTokens: rapid.IntRange(0, 2000).Draw(t, "own"),
			}
		}
		sequence := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				sequence++
				b.ReceiveCounts(fmt.Sprint("r", rapid.IntRange(0, 4).Draw(t, "peer")), sequence, drawTold(t, b))
			case 1:
				b.SetPeers(ids[:rapid.IntRange(0, len(ids)).Draw(t, "live")], 3*peers)
			case 2:
				b.SetBackends(listed(rapid.IntRange(1, engines).Draw(t, "listed")))
			default:
				ask, now := draw(), time.Now()
				want := plainChoice(b, ask, now, b.decayLocked(now))
				// Both see the same moment: loads decay, and an engine may pass the
				// bound between two readings of the clock.
				lease, err := b.acquireLocked(ask, now)
				if err != nil {
					t.Fatal(err)
				}
				if want != nil && lease.server != want {
					t.Fatalf("got %s, want %s", lease.Backend.ID, want.ID)
				}
				if rapid.Bool().Draw(t, "ends") {
					b.Release(lease, rapid.SampledFrom([]slipwick.Evidence{
						slipwick.EvidenceGood, slipwick.EvidenceError, slipwick.EvidenceRefused,
					}).Draw(t, "evidence"))
				}
			}
		}
	})
}

// drawTold draws what another router has in flight.
func drawTold(t *rapid.T, b *Balancer) []InFlight {
	var list []InFlight
	for _, s := range b.pools["p"] {
		if count := rapid.IntRange(0, 6).Draw(t, "in flight"); count > 0 {
			list = append(list, InFlight{
				Server:        s.hash,
				Count:         count,
				PrefillTokens: rapid.IntRange(0, 30000).Draw(t, "reading"),
			})
		}
	}
	return list
}

// benchmarkAcquire chooses for one router of a fleet that a hub tells.
func benchmarkAcquire(b *testing.B, engines int, isKnown bool) {
	balancer := newTestBalancer(engines)
	balancer.MarkCachesKnown()
	balancer.SetPeers([]string{"fleet"}, 294)
	var list []InFlight
	for _, s := range balancer.servers {
		list = append(list, InFlight{
			Server: s.hash,
			Count:  3,
		})
	}
	ask := &Request{
		Pool: "p",
		Prompt: []Part{
			{
				Key:    1,
				Tokens: 500,
			},
			{
				Key:    2,
				Tokens: 1000,
			},
		},
		UniqueTokens: 1300,
	}
	b.ReportAllocs()
	sequence := uint64(0)
	for b.Loop() {
		if sequence%1000 == 0 {
			balancer.ReceiveCounts("fleet", sequence+1, list)
		}
		sequence++
		if !isKnown {
			ask.Prompt[1].Key = sequence + 2
		}
		lease, err := balancer.Acquire(ask)
		if err != nil {
			b.Fatal(err)
		}
		balancer.Release(lease, slipwick.EvidenceNone)
	}
}

func BenchmarkAcquireKnown153(b *testing.B) { benchmarkAcquire(b, 153, true) }
func BenchmarkAcquireKnown930(b *testing.B) { benchmarkAcquire(b, 930, true) }
func BenchmarkAcquireNew153(b *testing.B)   { benchmarkAcquire(b, 153, false) }
func BenchmarkAcquireNew930(b *testing.B)   { benchmarkAcquire(b, 930, false) }
