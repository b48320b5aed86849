package gatewayd

import (
	"net"
	"strings"
	"testing"

	"github.com/slipwick/slipwick"
)

// TestFailedStartClosesOpenedAddresses opens addresses one of which is in use. The sockets
// opened before it have to be closed, otherwise callers would connect to them and wait.
func TestFailedStartClosesOpenedAddresses(t *testing.T) {
	taken, err := net.Listen("tcp4", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	addresses := &Listen{
		Callers: freeAddress(t),
		Ready:   taken.Addr().String(),
		Peers:   freeAddress(t),
	}
	if _, err := listen(addresses); err == nil {
		t.Fatal("got no error for an address in use, want one")
	}
	again, err := net.Listen("tcp4", addresses.Callers)
	if err != nil {
		t.Fatalf("got the callers' address still in use: %v", err)
	}
	_ = again.Close()
}

// TestPeersPortLeavesRoomForTheNextTwo guards against a router that listens for updates or permits at a port
// chosen at random, to which no other router sends, because its peers port is one of the two largest.
func TestPeersPortLeavesRoomForTheNextTwo(t *testing.T) {
	router := slipwick.Router{
		Address: "127.0.0.1:65534",
	}
	if got, want := exchangeAddress(router), "127.0.0.1:65535"; got != want {
		t.Errorf("got %q for updates, want %q", got, want)
	}
	for _, address := range []string{permitAddress(router), nextPort("127.0.0.1:65535")} {
		connection, err := listenPackets(address)
		if err == nil {
			t.Errorf("got a socket at %v, want an error", connection.LocalAddr())
			_ = connection.Close()
			continue
		}
		if want := "choose a smaller port"; !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want an error with %q", err, want)
		}
	}
}
