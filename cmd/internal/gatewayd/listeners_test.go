package gatewayd

import (
	"net"
	"testing"
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
