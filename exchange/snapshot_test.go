package exchange

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
)

func TestRestartedRouterLearnsKnownCaches(t *testing.T) {
	syncers, network := newSyncers(2)
	for key := range uint64(500) {
		lease := acquire(t, syncers[0].Balancer, key)
		syncers[0].Balancer.Release(lease, slipwick.EvidenceGood)
	}
	server := httptest.NewServer(&CacheSnapshotServer{
		Balancer: syncers[0].Balancer,
	})
	defer server.Close()
	learn := func() {
		snapshot, err := FetchCacheSnapshot(
			t.Context(), server.Client(), server.Listener.Addr().String(), &balance.CacheQuery{},
		)
		if err != nil {
			t.Fatal(err)
		}
		syncers[1].Balancer.MergeCacheSnapshot(snapshot)
	}
	learn()
	if got := len(syncers[1].Balancer.EnginesWithUnknownCaches("p")); got != 20 {
		t.Errorf("queried router knows no cache completely: got %d of 20 engines missing, want all", got)
	}
	syncers[0].Balancer.MarkCachesKnown()
	learn()
	got, missing := syncers[1].Balancer.CachedPartCount(), len(syncers[1].Balancer.EnginesWithUnknownCaches("p"))
	if got != 500 || missing > 0 {
		t.Errorf("got %d parts and %d engines missing, want 500 and none", got, missing)
	}
	syncers[0].sendUpdate(false)
	if network.maxPacket > 1400 {
		t.Errorf("got a datagram of %d bytes, want all within one packet", network.maxPacket)
	}
}

func TestSnapshotIsDecodedAsEncoded(t *testing.T) {
	want := &balance.CacheSnapshot{
		Engines: []uint64{7, 9},
		CachedParts: []balance.CachedPart{
			{Part: 1, Server: 9},
			{Part: 1, Server: 8},
			{Part: 2, Server: 7},
		},
	}
	got := decodeSnapshot(encodeSnapshot(want))
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	invalid := encodeSnapshot(want)
	invalid.Keepers[1], invalid.Servers = 17, invalid.Servers[:1]
	valid := &balance.CacheSnapshot{
		Engines:     []uint64{7},
		CachedParts: []balance.CachedPart{{Part: 2, Server: 7}},
	}
	if got := decodeSnapshot(invalid); fmt.Sprint(got) != fmt.Sprint(valid) {
		t.Errorf("invalid: got %+v, want only the valid entries %+v", got, valid)
	}
}
