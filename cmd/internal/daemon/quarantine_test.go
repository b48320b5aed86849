package daemon

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/quarantine"
	"github.com/slipwick/slipwick/standin"
)

// TestRoutersTellEachOtherOfRequestsThatEndEngines has engines end at one router.
func TestRoutersTellEachOtherOfRequestsThatEndEngines(t *testing.T) {
	f := newFixture(t, 2)
	settings := *f.router.Settings
	settings.Seeds = []string{f.router.PeersAddress()}
	second := f.startAnother(t, settings, "r2")
	waitUntil(t, "one fleet", func() bool { return slices.Equal(second.StatusNow().Members, []string{"r1", "r2"}) })
	for i := range 3 {
		run, ok := f.router.ledger.Begin(7, &slipwick.Backend{
			ID: fmt.Sprint("engine-", i),
		}, false, func() {})
		if !ok {
			t.Fatalf("got quarantined after %d ends", i)
		}
		run.End(quarantine.OutcomeCrashed)
	}
	waitUntil(t, "the news", func() bool { return second.ledger.IsQuarantined(7) })
}

// TestChatUnderWhichEnginesEndIsRefused has three engines of a pool end under a chat that
// is asked for again; another chat is served on.
func TestChatUnderWhichEnginesEndIsRefused(t *testing.T) {
	f := newFixture(t, 4)
	bad := strings.ReplaceAll(wholeChat, "hello", "ends engines")
	for i, e := range f.engines {
		e.SetFaults(standin.Faults{
			EndUnder: "ends engines",
			End:      func() { _ = f.servers[i].Config.Close() },
		})
	}
	var status int
	waitUntil(t, "a refusal", func() bool {
		response, answer := f.post(t, chatPath, bad)
		status = response.StatusCode
		return status == http.StatusServiceUnavailable && strings.Contains(answer, "quarantined")
	})
	if response, answer := f.post(t, chatPath, wholeChat); response.StatusCode != http.StatusOK {
		t.Errorf("got status %d for another chat, want 200: %s", response.StatusCode, answer)
	}
}

// TestEnginesThatListenAreNotGone asks one that does, and one that does not any more.
func TestEnginesThatListenAreNotGone(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	engine := slipwick.Backend{
		ID:      "e",
		Address: listener.Addr().String(),
	}
	if isGone(t.Context(), engine) {
		t.Error("got an engine gone that listens")
	}
	_ = listener.Close()
	if !isGone(t.Context(), engine) {
		t.Error("got an engine there that does not listen")
	}
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 20 s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
