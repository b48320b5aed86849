package keyfiles_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/slipwick/slipwick/keyfiles"
	"github.com/slipwick/slipwick/standin"
)

// handshake connects a client to a server. It returns the serial number of the server's
// certificate; failed is true if the handshake failed on either side.
func handshake(t *testing.T, server, client *tls.Config) (serial int64, failed bool) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			err = connection.(*tls.Conn).HandshakeContext(t.Context())
			_ = connection.Close()
		}
		accepted <- err
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	connection := tls.Client(raw, client)
	defer func() { _ = connection.Close() }()
	err = connection.HandshakeContext(t.Context())
	if <-accepted != nil || err != nil {
		return 0, true
	}
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), false
}

func load(t *testing.T, files keyfiles.Files) *keyfiles.Loader {
	t.Helper()
	l, err := keyfiles.NewLoader(files)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestOnlyCertificatesOfTheFleetAreAccepted(t *testing.T) {
	fleet, otherAuthority := authority(t), authority(t)
	a := load(t, issue(t, fleet, t.TempDir(), 2))
	b := load(t, issue(t, fleet, t.TempDir(), 3))
	other := load(t, issue(t, otherAuthority, t.TempDir(), 4))
	for _, tc := range []struct {
		name           string
		server, client *tls.Config
		failed         bool
	}{
		{
			name:   "both of the fleet",
			server: a.ServerConfig(),
			client: b.ClientConfig(),
		},
		{
			name:   "client of another authority",
			server: a.ServerConfig(),
			client: other.ClientConfig(),
			failed: true,
		},
		{
			name:   "server of another authority",
			server: other.ServerConfig(),
			client: a.ClientConfig(),
			failed: true,
		},
		{
			name:   "client without certificate",
			server: a.ServerConfig(),
			client: &tls.Config{
				InsecureSkipVerify: true, //nolint:gosec // The server is what is tested.
			},
			failed: true,
		},
	} {
		if _, got := handshake(t, tc.server, tc.client); got != tc.failed {
			t.Errorf("%s: got failed %v, want %v", tc.name, got, tc.failed)
		}
	}
}

func TestChangedFilesAreReloaded(t *testing.T) {
	fleet := authority(t)
	folder := t.TempDir()
	server := load(t, issue(t, fleet, folder, 2))
	client := load(t, issue(t, fleet, t.TempDir(), 3))
	if got, _ := handshake(t, server.ServerConfig(), client.ClientConfig()); got != 2 {
		t.Fatalf("got serial number %d, want 2", got)
	}
	files := issue(t, fleet, folder, 9)
	// File times may have a resolution of a second only, and files are checked at most once a second.
	later := time.Now().Add(2 * time.Second)
	if err := os.Chtimes(files.Key, later, later); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1100 * time.Millisecond)
	if got, _ := handshake(t, server.ServerConfig(), client.ClientConfig()); got != 9 {
		t.Errorf("got serial number %d, want 9", got)
	}
}

// TestFilesReplacedByOlderOnesAreReloaded guards against a certificate that is used until it expires, because its
// replacement was made before the current files were written, and keeps its modification time.
func TestFilesReplacedByOlderOnesAreReloaded(t *testing.T) {
	fleet := authority(t)
	folder, replacement := t.TempDir(), t.TempDir()
	files, newer := issue(t, fleet, folder, 2), issue(t, fleet, replacement, 9)
	earlier := time.Now().Add(-time.Hour)
	for _, name := range []string{newer.Certificate, newer.Key} {
		if err := os.Chtimes(name, earlier, earlier); err != nil {
			t.Fatal(err)
		}
	}
	server, client := load(t, files), load(t, issue(t, fleet, t.TempDir(), 3))
	if got, _ := handshake(t, server.ServerConfig(), client.ClientConfig()); got != 2 {
		t.Fatalf("got serial number %d, want 2", got)
	}
	for from, to := range map[string]string{newer.Certificate: files.Certificate, newer.Key: files.Key} {
		if err := os.Rename(from, to); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(1100 * time.Millisecond)
	if got, _ := handshake(t, server.ServerConfig(), client.ClientConfig()); got != 9 {
		t.Errorf("got serial number %d, want 9", got)
	}
}

func authority(t *testing.T) *standin.Authority {
	t.Helper()
	a, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *standin.Authority, folder string, serial int64) keyfiles.Files {
	t.Helper()
	files, err := a.Issue(folder, serial)
	if err != nil {
		t.Fatal(err)
	}
	return files
}
