package exchange

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

// TestDatagramsFitOnePacket splits an update with many entries of each kind.
func TestDatagramsFitOnePacket(t *testing.T) {
	const maxBytes, each = 1400, 200
	var update balance.Update
	for i := range uint64(each) {
		update.CachedParts = append(update.CachedParts, balance.CachedPart{
			Part:   ^i,
			Server: i << 40,
		})
		update.Outcomes = append(update.Outcomes, balance.OutcomeCounts{
			Server: i << 41,
			Good:   maxOutcomeCount,
			Failed: maxOutcomeCount,
		})
		update.Leaving = append(update.Leaving, i<<42)
	}
	syncers, _ := newSyncers(1)
	leaving := 0
	for _, packet := range syncers[0].encode(exchangepb.Scope_SCOPE_OWN, false, update) {
		if got := len(packet); got > maxBytes {
			t.Errorf("got a datagram of %d bytes, want at most %d", got, maxBytes)
		}
		message := &exchangepb.Told{}
		if err := proto.Unmarshal(packet, message); err != nil {
			t.Fatal(err)
		}
		leaving += len(decode(message).Leaving)
	}
	if leaving != each {
		t.Errorf("got %d leaving servers, want %d", leaving, each)
	}
}

// TestInvalidEntriesDropNoOthers guards against valid cached parts and outcomes that are lost, because
// an entry before them has a server that is not listed.
func TestInvalidEntriesDropNoOthers(t *testing.T) {
	update := decode(&exchangepb.Told{
		Servers: []uint64{5},
		Parts:   []uint64{1, 2, 3, 4},
		Readers: []uint32{0, 9, 0},
		Ended:   []uint32{0, 9, 0, 0},
		Good:    []uint32{1, 2, 3},
		Failed:  []uint32{4, 5, 6, 7},
	})
	wantParts := []balance.CachedPart{{Part: 1, Server: 5}, {Part: 3, Server: 5}}
	if !slices.Equal(update.CachedParts, wantParts) {
		t.Errorf("got parts %v, want %v", update.CachedParts, wantParts)
	}
	wantOutcomes := []balance.OutcomeCounts{{Server: 5, Good: 1, Failed: 4}, {Server: 5, Good: 3, Failed: 6}}
	if !slices.Equal(update.Outcomes, wantOutcomes) {
		t.Errorf("got outcomes %v, want %v", update.Outcomes, wantOutcomes)
	}
	snapshot := decodeSnapshot(&exchangepb.Knowledge{
		Servers: []uint64{5},
		Covered: []bool{true, true},
		Parts:   []uint64{1, 2, 3, 4},
		Keepers: []uint32{0, 9, 0},
	})
	if !slices.Equal(snapshot.CachedParts, wantParts) || !slices.Equal(snapshot.Engines, []uint64{5}) {
		t.Errorf("got a snapshot %+v, want engine 5 with parts %v", snapshot, wantParts)
	}
}
