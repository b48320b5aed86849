package daemon

import (
	"net"
	"testing"

	"github.com/rs/zerolog"
)

// TestFailedStartLeavesNoSocketOpen guards against sockets that stay open in a process whose router could not
// start, because a later address is in use or its TLS files can't be read.
func TestFailedStartLeavesNoSocketOpen(t *testing.T) {
	listen := func(address string) net.Listener {
		t.Helper()
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatalf("got %v, want %s to be free", err, address)
		}
		return listener
	}
	used := listen("127.0.0.1:0")
	defer func() { _ = used.Close() }()
	for name, settings := range map[string]Settings{
		"operators' address in use": {
			Listen: Listen{
				Operators: used.Addr().String(),
				Peers:     "127.0.0.1:0",
			},
		},
		"peers' address in use": {
			Listen: Listen{
				Operators: "127.0.0.1:0",
				Peers:     used.Addr().String(),
			},
		},
		"no secret": {
			Listen: Listen{
				Operators: "127.0.0.1:0",
				Peers:     "127.0.0.1:0",
			},
			TLS: TLS{
				SecretFile: "missing",
			},
		},
	} {
		free := listen("127.0.0.1:0")
		address := free.Addr().String()
		_ = free.Close()
		settings.ID, settings.Listen.Callers = "r", address
		if err := NewRouter(&settings, zerolog.Nop()).Run(t.Context()); err == nil {
			t.Errorf("%s: got no error", name)
		}
		_ = listen(address).Close()
	}
}
