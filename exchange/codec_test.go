package exchange

import (
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
