package daemon

import (
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/standin"
)

// TestRoutersOverTLS has two routers find each other and share slots over TLS
// and signed packets, and refuses a caller without a certificate of the fleet.
func TestRoutersOverTLS(t *testing.T) {
	authority, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	files, err := authority.Issue(folder, 2)
	if err != nil {
		t.Fatal(err)
	}
	secret := filepath.Join(folder, "secret")
	if err := os.WriteFile(secret, []byte(strings.Repeat("s", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	f := newFixture(t, 2)
	settings := *f.router.Settings
	settings.TLS = TLS{
		Peers:  &files,
		Secret: secret,
	}
	first := f.startAnother(t, settings, "t1")
	settings.Seeds = []string{first.PeersAddress()}
	second := f.startAnother(t, settings, "t2")
	deadline := time.Now().Add(20 * time.Second)
	for !slices.Equal(second.StatusNow().Members, []string{"t1", "t2"}) {
		if time.Now().After(deadline) {
			t.Fatalf("got members %v, want t1 and t2, and not the plain r1", second.StatusNow().Members)
		}
		time.Sleep(10 * time.Millisecond)
	}
	// One of the two owns the engines of a data centre, so that chats through
	// both need the stream between them.
	for _, router := range []*Router{first, second} {
		f.router = router
		for i := range 6 {
			body := strings.ReplaceAll(wholeChat, "hello", string(rune('a'+i)))
			if response, answer := f.post(t, chatPath, body); response.StatusCode != http.StatusOK {
				t.Errorf("got status %d through %s: %s", response.StatusCode, router.Settings.ID, answer)
			}
		}
	}
	if sent := first.mesh.Sent.Load(); sent == 0 {
		t.Error("got no bytes sent between the routers, want slots to have been shared")
	}
	refused(t, first.PeersAddress())
}

// refused opens a stream without a certificate.
func refused(t *testing.T, address string) {
	t.Helper()
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	stream, err := peerpb.NewPeerClient(connection).Exchange(t.Context())
	if err == nil {
		_, err = stream.Recv()
	}
	if err == nil {
		t.Error("got a stream without a certificate, want it refused")
	}
}

// startAnother starts one more router with the settings, under another name.
func (f *fixture) startAnother(t *testing.T, settings Settings, id string) *Router {
	t.Helper()
	settings.ID = id
	plain := f.router
	f.startWith(t, &settings)
	started := f.router
	f.router = plain
	return started
}
