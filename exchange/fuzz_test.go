package exchange

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/quarantine"
)

// FuzzSyncerReceive checks that no datagram makes a router panic, count a negative number of
// requests, or store more crashes than the datagram can hold.
func FuzzSyncerReceive(f *testing.F) {
	for _, message := range []*exchangepb.Told{
		{
			From:     "1",
			Sequence: 9,
			Servers:  []uint64{1, 2},
			InFlight: []uint32{3, 1 << 31},
			Reading:  []uint32{1, 1 << 31},
			Parts:    []uint64{7},
			Readers:  []uint32{9},
			Ended:    []uint32{1},
			Good:     []uint32{1 << 31},
			Failed:   []uint32{1 << 31},
			Leaving:  []uint32{1, 9},
		},
		NewCrashGossiper("1").encode([]quarantine.Crash{
			{Key: 1, ServerIDHash: 2, Incarnation: -1 << 62},
			{Key: 1, ServerIDHash: 2, Incarnation: 1 << 62},
		}),
	} {
		f.Add(marshal(message))
	}
	f.Fuzz(func(t *testing.T, packet []byte) {
		syncers, _ := newSyncers(2)
		tracker := quarantine.NewTracker("0")
		syncers[0].OnCrashes = tracker.Merge
		syncers[0].Receive("", packet)
		if got := syncers[0].Balancer.RequestsInFlight("p"); got < 0 {
			t.Errorf("got %v requests in flight", got)
		}
		if got := len(tracker.TakePending()); got > len(packet) {
			t.Errorf("got %d crashes from %d bytes", got, len(packet))
		}
	})
}

// FuzzCacheSnapshot checks that no response to a cache query makes its reader panic, or return more
// than the response can hold.
func FuzzCacheSnapshot(f *testing.F) {
	seed, _ := proto.Marshal(encodeSnapshot(&balance.CacheSnapshot{
		Engines: []uint64{7},
		CachedParts: []balance.CachedPart{
			{
				Part:   1,
				Server: 7,
			},
		},
	}))
	f.Add(seed)
	f.Fuzz(func(t *testing.T, body []byte) {
		known, err := readSnapshot(bytes.NewReader(body))
		if err != nil {
			return
		}
		if len(known.CachedParts) > len(body) || len(known.Engines) > len(body) {
			t.Errorf("got %d parts and %d engines from %d bytes", len(known.CachedParts), len(known.Engines), len(body))
		}
	})
}
