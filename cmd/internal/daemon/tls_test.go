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

// TestRoutersOverTLS checks that two routers find each other and share slots over TLS and signed
// packets. A router without them must not become a member, and a connection without a certificate
// of the fleet must be refused.
func TestRoutersOverTLS(t *testing.T) {
	authority, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	files, err := authority.Issue(directory, 2)
	if err != nil {
		t.Fatal(err)
	}
	secret := filepath.Join(directory, "secret")
	if err := os.WriteFile(secret, []byte(strings.Repeat("s", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	f := newFixture(t, 2)
	settings := *f.router.Settings
	settings.TLS = TLS{
		Peers:      &files,
		SecretFile: secret,
	}
	first := f.startAnother(t, settings, "t1")
	settings.Seeds = []string{first.PeersAddress()}
	second := f.startAnother(t, settings, "t2")
	deadline := time.Now().Add(20 * time.Second)
	for !slices.Equal(second.CurrentStatus().Members, []string{"t1", "t2"}) {
		if time.Now().After(deadline) {
			t.Fatalf("got members %v, want t1 and t2, without r1, which has no TLS", second.CurrentStatus().Members)
		}
		time.Sleep(10 * time.Millisecond)
	}
	// Only one of the two routers owns the engines of the data centre, so the
	// other needs the stream between them to get slots.
	for _, router := range []*Router{first, second} {
		f.router = router
		for i := range 6 {
			body := strings.ReplaceAll(bufferedChat, "hello", string(rune('a'+i)))
			if response, content := f.post(t, chatPath, body); response.StatusCode != http.StatusOK {
				t.Errorf("got status %d through %s: %s", response.StatusCode, router.Settings.ID, content)
			}
		}
	}
	if sent := first.mesh.Sent.Load(); sent == 0 {
		t.Error("got no bytes sent between the routers, want slot requests")
	}
	checkStreamRefused(t, first.PeersAddress())
}

// checkStreamRefused checks that a stream without a certificate is refused.
func checkStreamRefused(t *testing.T, address string) {
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
