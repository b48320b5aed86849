package gatewayd

import (
	"net"
	"testing"
)

// TestFailedStartLeavesNoAddressTaken starts a process one of whose addresses is taken:
// what it had opened before has to be free again, or callers connect to it and wait.
func TestFailedStartLeavesNoAddressTaken(t *testing.T) {
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
		t.Fatal("got no error for an address that is taken")
	}
	again, err := net.Listen("tcp4", addresses.Callers)
	if err != nil {
		t.Fatalf("got the callers' address still taken: %v", err)
	}
	_ = again.Close()
}

// TestFreeAddressesDiffer draws as many as the tests of the package do in some hundred
// runs: two of one process that are the same keep it from starting.
func TestFreeAddressesDiffer(t *testing.T) {
	const draws = 500
	given := make(map[string]bool)
	for range draws {
		address := freeAddress(t)
		if given[address] {
			t.Fatalf("got %s twice within %d draws", address, len(given)+1)
		}
		given[address] = true
	}
}
