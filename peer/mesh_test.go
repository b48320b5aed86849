package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// addressBook maps router IDs to addresses.
type addressBook struct {
	sync.Mutex

	addresses map[string]string
}

func (ab *addressBook) address(router string) string {
	ab.Lock()
	defer ab.Unlock()
	return ab.addresses[router]
}

// received is an envelope that a mesh passed to OnReceive.
type received struct {
	from     string
	envelope *peerpb.Envelope
}

// startMesh runs a mesh on a loopback port until stop is called.
func startMesh(t *testing.T, ab *addressBook, id string) (mesh *Mesh, arrived chan received, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ab.Lock()
	ab.addresses[id] = listener.Addr().String()
	ab.Unlock()
	mesh = NewMesh(id, listener)
	mesh.Address = ab.address
	arrived = make(chan received, 10_000)
	mesh.OnReceive = func(from string, envelope *peerpb.Envelope) {
		arrived <- received{
			from:     from,
			envelope: envelope,
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- mesh.Run(ctx) }()
	stop = func() {
		cancel()
		if err := <-runResult; err != nil {
			t.Errorf("got error %v after a stop, want none", err)
		}
	}
	waitRunning(mesh)
	return mesh, arrived, stop
}

func waitRunning(mesh *Mesh) {
	for {
		mesh.mu.Lock()
		running := mesh.runCtx != nil
		mesh.mu.Unlock()
		if running {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func request(id uint64) *peerpb.Envelope {
	return &peerpb.Envelope{
		Requests: []*peerpb.SlotRequest{
			{
				Id:        id,
				Engine:    1 << 60,
				Chat:      1 << 61,
				Workspace: "minutes",
				WaitMs:    300,
			},
		},
	}
}

func TestMeshDeliversBothWaysInOrder(t *testing.T) {
	ab := &addressBook{
		addresses: make(map[string]string),
	}
	a, toA, stopA := startMesh(t, ab, "a")
	defer stopA()
	b, toB, stopB := startMesh(t, ab, "b")
	defer stopB()
	const count = 500
	go func() {
		for i := range count {
			a.Send("b", request(uint64(i)))
		}
	}()
	for i := range count {
		b.Send("a", request(uint64(i)))
	}
	for _, side := range []struct {
		arrived chan received
		from    string
	}{
		{
			arrived: toA,
			from:    "b",
		},
		{
			arrived: toB,
			from:    "a",
		},
	} {
		next := uint64(0)
		for next < count {
			r := <-side.arrived
			if r.from != side.from {
				t.Fatalf("got an envelope from %q, want %q", r.from, side.from)
			}
			for _, got := range r.envelope.GetRequests() {
				if got.GetId() != next {
					t.Fatalf("got request %d, want %d", got.GetId(), next)
				}
				next++
			}
		}
	}
}

// TestMeshReachesARestartedRouter checks that a broken stream is opened again.
func TestMeshReachesARestartedRouter(t *testing.T) {
	ab := &addressBook{
		addresses: make(map[string]string),
	}
	a, _, stopA := startMesh(t, ab, "a")
	defer stopA()
	_, toB, stopB := startMesh(t, ab, "b")
	a.Send("b", request(1))
	<-toB
	stopB()
	_, toB, stopB = startMesh(t, ab, "b")
	defer stopB()
	deadline := time.After(10 * time.Second)
	for {
		a.Send("b", request(2))
		select {
		case <-toB:
			return
		case <-deadline:
			t.Fatal("no envelope reached the restarted router")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestMeshDropsEnvelopesForUnknownRouters checks that Send blocks neither for a router without a
// known address nor after the mesh has stopped.
func TestMeshDropsEnvelopesForUnknownRouters(t *testing.T) {
	ab := &addressBook{
		addresses: make(map[string]string),
	}
	a, _, stop := startMesh(t, ab, "a")
	for i := range 2 * queueLength {
		a.Send("unknown", request(uint64(i)))
	}
	stop()
	a.Send("b", request(1))
}

// TestStreamFraming compares the overhead of a small message above TCP, on a real connection, as a
// message of a stream and as a unary call.
func TestStreamFraming(t *testing.T) {
	ab := &addressBook{
		addresses: make(map[string]string),
	}
	a, _, stopA := startMesh(t, ab, "a")
	defer stopA()
	_, toB, stopB := startMesh(t, ab, "b")
	defer stopB()
	const count = 300
	send := func(id uint64) {
		a.Send("b", request(id))
		<-toB
	}
	send(0)
	before := a.Sent.Load() + a.Received.Load()
	payload := 0
	for i := range count {
		payload += proto.Size(request(uint64(i)))
		send(uint64(i))
	}
	stream := float64(a.Sent.Load()+a.Received.Load()-before-int64(payload)) / count
	call := callFraming(t, count)
	t.Logf("framing: %.1f bytes a stream message, %.1f bytes a call", stream, call)
	if stream >= call {
		t.Errorf("got %.1f bytes a stream message, want less than a call's %.1f", stream, call)
	}
	if got, want := fmt.Sprintf("%.0f", stream), 60.0; stream > want {
		t.Errorf("got %s bytes of framing, want at most %.0f", got, want)
	}
}

// callFraming measures the overhead of a call with an almost empty request and response.
func callFraming(t *testing.T, count int) float64 {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	healthpb.RegisterHealthServer(server, health.NewServer())
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	counter := &Mesh{}
	connection, err := grpc.NewClient("passthrough:///"+listener.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(counter.dial))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	client := healthpb.NewHealthClient(connection)
	check := func() int {
		response, err := client.Check(t.Context(), &healthpb.HealthCheckRequest{})
		if err != nil {
			t.Fatal(err)
		}
		return proto.Size(response)
	}
	check()
	before := counter.Sent.Load() + counter.Received.Load()
	payload := 0
	for range count {
		payload += check()
	}
	return float64(counter.Sent.Load()+counter.Received.Load()-before-int64(payload)) / float64(count)
}
