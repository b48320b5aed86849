package gatewayd

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// fixedCapacity is a pool with one server of two slots.
type fixedCapacity struct{}

func (fixedCapacity) PoolCapacity(string) slipwick.PoolCapacity {
	return slipwick.PoolCapacity{
		Servers: []slipwick.ServerCapacity{{
			ID:    "plain-1",
			Slots: 2,
		}},
	}
}

// TestPermitsOverSockets guards against datagrams that are sent to another port than the one at which
// routers listen, and against handlers that aren't connected.
func TestPermitsOverSockets(t *testing.T) {
	var routers []slipwick.Router
	var all []*permits
	ctx, cancel := context.WithCancel(t.Context())
	for _, id := range []string{"gateway-1", "gateway-2", "gateway-3"} {
		router, connection := openPermitSocket(t, id)
		routers = append(routers, router)
		p := newPermits(router, func() []slipwick.Router { return routers }, fixedCapacity{}, connection)
		all = append(all, p)
	}
	for _, p := range all {
		go func() { _ = p.run(ctx) }()
	}
	for i, p := range all {
		p.endpoint.Client.RecordShed("plain")
		permit, err := p.endpoint.Client.Acquire(ctx, &slipwick.PermitRequest{
			Pool:     "plain",
			Work:     time.Millisecond,
			Arrived:  time.Now(),
			Deadline: time.Now().Add(5 * time.Second),
		})
		if err != nil || permit.Backend != "plain-1" {
			t.Errorf("%s: got %+v, %v, want a permit for plain-1", routers[i].ID, permit, err)
		}
		p.endpoint.Client.Release(permit, slipwick.EvidenceGood)
	}
	sent := int64(0)
	for _, p := range all {
		sent += p.bytes()
	}
	if sent == 0 {
		t.Error("got no bytes over the sockets, want those of two routers that ask the third")
	}
	cancel()
	for _, p := range all {
		<-p.udp.Done()
		<-p.endpoint.Done()
	}
}

// TestGatewaysGrantPermits guards against gateways with admission control that don't reach the coordinator of
// a pool, and against a socket that is open without it.
func TestGatewaysGrantPermits(t *testing.T) {
	f := newFixture(t)
	if r := startReady(t, f, "off"); r.permitEndpoint != nil {
		t.Error("got permits without admission control, want none")
	}
	f.admission = AdmissionOn
	first := startReady(t, f, "r1")
	routers := []*testGateway{first, startReady(t, f, "r2", first.Settings.Listen.Peers)}
	for _, r := range routers {
		waitFor(t, "two members", func() bool { return len(r.node.Routers()) == len(routers) })
	}
	// Until its copy of the list of routers is fetched again, a router may still coordinate the pool itself.
	const maxCopyAge = 20 * time.Millisecond
	time.Sleep(maxCopyAge)
	for _, r := range routers {
		waitFor(t, "a permit of the coordinator", func() bool { return acquirePermit(t, r) })
	}
	if routers[0].permitEndpoint.bytes()+routers[1].permitEndpoint.bytes() == 0 {
		t.Error("got no datagrams about permits, want those between the two gateways")
	}
}

// acquirePermit asks for a permit, releases it, and reports whether it is for the server of the fixture.
func acquirePermit(t *testing.T, router *testGateway) bool {
	t.Helper()
	client := router.permitEndpoint.endpoint.Client
	client.RecordShed("p")
	permit, err := client.Acquire(t.Context(), &slipwick.PermitRequest{
		Pool:     "p",
		Work:     time.Millisecond,
		Arrived:  time.Now(),
		Deadline: time.Now().Add(time.Second),
	})
	if err == nil {
		client.Release(permit, slipwick.EvidenceGood)
	}
	return err == nil && permit.Backend == "b1"
}

// openPermitSocket returns a router whose port for permits is open.
func openPermitSocket(t *testing.T, id string) (slipwick.Router, *net.UDPConn) {
	t.Helper()
	connection, err := net.ListenUDP("udp4", &net.UDPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	if err != nil {
		t.Fatal(err)
	}
	port := connection.LocalAddr().(*net.UDPAddr).Port
	return slipwick.Router{
		ID:      id,
		Address: net.JoinHostPort("127.0.0.1", strconv.Itoa(port-2)),
	}, connection
}

// TestPermitSocketIsOpenWithAdmissionOnly guards against a port that is opened although admission control
// is off, and against sockets that stay open after a failed start.
func TestPermitSocketIsOpenWithAdmissionOnly(t *testing.T) {
	for mode, want := range map[AdmissionMode]bool{
		"":            false,
		AdmissionOff:  false,
		AdmissionOn:   true,
		AdmissionAuto: true,
	} {
		settings := &Settings{
			Admission: mode,
		}
		if got := settings.usesPermits(); got != want {
			t.Errorf("admission %q: got %v, want %v", mode, got, want)
		}
	}
	addresses := &Listen{
		Callers: freeAddress(t),
		Ready:   freeAddress(t),
		Peers:   freeAddress(t),
	}
	open, err := listen(addresses)
	if err != nil {
		t.Fatal(err)
	}
	taken, err := listenPackets(nextPort(nextPort(addresses.Peers)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	if err := open.openPermits(addresses.Peers); err == nil {
		t.Fatal("got no error for a port in use, want one")
	}
	again, err := net.Listen("tcp4", addresses.Callers)
	if err != nil {
		t.Fatalf("got the callers' address still in use: %v", err)
	}
	_ = again.Close()
}
