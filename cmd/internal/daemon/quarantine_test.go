package daemon

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/quarantine"
	"github.com/slipwick/slipwick/standin"
)

// TestRoutersExchangeCrashes checks that a router quarantines a request that crashed engines only at
// another router.
func TestRoutersExchangeCrashes(t *testing.T) {
	f := newFixture(t, 2)
	settings := *f.router.Settings
	settings.Seeds = []string{f.router.PeersAddress()}
	second := f.startAnother(t, settings, "r2")
	waitUntil(t, "both routers are members", func() bool {
		return slices.Equal(second.CurrentStatus().Members, []string{"r1", "r2"})
	})
	for i := range 3 {
		attempt, ok := f.router.crashTracker.Begin(7, &slipwick.Backend{
			ID: fmt.Sprint("engine-", i),
		}, false, func() {})
		if !ok {
			t.Fatalf("got the request quarantined after %d crashes", i)
		}
		attempt.End(quarantine.OutcomeCrashed)
	}
	waitUntil(t, "the second router quarantines the request", func() bool {
		return second.crashTracker.IsQuarantined(7)
	})
}

// TestChatThatCrashesEnginesIsRefused repeats a chat that crashes engines until it is refused as
// quarantined. Another chat must still be served, by the engine that is left: the texts decide whether that
// is the first one or the last one that the chat is sent to.
func TestChatThatCrashesEnginesIsRefused(t *testing.T) {
	for _, text := range []string{"ends engines", "crashes engines"} {
		t.Run(text, func(t *testing.T) {
			f := newFixture(t, 4)
			bad := strings.ReplaceAll(bufferedChat, "hello", text)
			for i, e := range f.engines {
				e.SetFaults(standin.Faults{
					CrashOn: text,
					OnCrash: func() { _ = f.servers[i].Config.Close() },
				})
			}
			var status int
			waitUntil(t, "the chat is refused", func() bool {
				response, content := f.post(t, chatPath, bad)
				status = response.StatusCode
				return status == http.StatusServiceUnavailable && strings.Contains(content, "quarantined")
			})
			if response, content := f.post(t, chatPath, bufferedChat); response.StatusCode != http.StatusOK {
				t.Errorf("got status %d for another chat, want 200: %s", response.StatusCode, content)
			}
		})
	}
}

// TestRefusesConnections checks a backend server that listens and one that no longer does.
func TestRefusesConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	engine := slipwick.Backend{
		ID:      "e",
		Address: listener.Addr().String(),
	}
	if refusesConnections(t.Context(), engine) {
		t.Error("got true for an engine that listens, want false")
	}
	_ = listener.Close()
	if !refusesConnections(t.Context(), engine) {
		t.Error("got false for an engine that does not listen, want true")
	}
}
