package gatewayd

import (
	"testing"
	"time"
)

// TestRoutersFollowEachOther starts three routers: two watch the store, the third follows
// them, and a new version has to be in force at all of them within 2 s.
func TestRoutersFollowEachOther(t *testing.T) {
	f := newFixture(t)
	first := startReady(t, f, "r1")
	routers := []*testGateway{
		first,
		startReady(t, f, "r2", first.Settings.Listen.Peers),
		startReady(t, f, "r3", first.Settings.Listen.Peers),
	}
	watchers := func() int {
		count := 0
		for _, r := range routers {
			if len(r.node.Routers()) == len(routers) && r.peers.RelayPosition().IsWatcher {
				count++
			}
		}
		return count
	}
	waitFor(t, "two watchers of three routers", func() bool { return watchers() == 2 })
	time.Sleep(1500 * time.Millisecond)
	f.setTable(7)
	changed := time.Now()
	for _, r := range routers {
		waitFor(t, "version 7", func() bool { return r.gateway.Table().Version == 7 })
	}
	if took := time.Since(changed); took > 2*time.Second {
		t.Errorf("got version 7 in force after %v, want it within 2 s", took)
	}
}
