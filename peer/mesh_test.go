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

// directory tells meshes where the others listen.
type directory struct {
	sync.Mutex

	addresses map[string]string
}

func (d *directory) address(router string) string {
	d.Lock()
	defer d.Unlock()
	return d.addresses[router]
}

type received struct {
	from     string
	envelope *peerpb.Envelope
}

// startMesh runs a mesh on a loopback port; stop ends it.
func startMesh(t *testing.T, d *directory, id string) (mesh *Mesh, arrived chan received, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.Lock()
	d.addresses[id] = listener.Addr().String()
	d.Unlock()
	mesh = NewMesh(id, listener)
	mesh.Address = d.address
	arrived = make(chan received, 10_000)
	mesh.OnReceive = func(from string, envelope *peerpb.Envelope) {
		arrived <- received{
			from:     from,
			envelope: envelope,
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() { failed <- mesh.Run(ctx) }()
	stop = func() {
		cancel()
		if err := <-failed; err != nil {
			t.Errorf("got %v, want no error after a stop", err)
		}
	}
	waitRunning(mesh)
	return mesh, arrived, stop
}

func waitRunning(mesh *Mesh) {
	for {
		mesh.mu.Lock()
		running := mesh.running != nil
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

func TestMeshCarriesBothWaysInOrder(t *testing.T) {
	d := &directory{
		addresses: make(map[string]string),
	}
	a, toA, stopA := startMesh(t, d, "a")
	defer stopA()
	b, toB, stopB := startMesh(t, d, "b")
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

// TestMeshReachesARestartedRouter checks that a broken stream is opened anew.
func TestMeshReachesARestartedRouter(t *testing.T) {
	d := &directory{
		addresses: make(map[string]string),
	}
	a, _, stopA := startMesh(t, d, "a")
	defer stopA()
	_, toB, stopB := startMesh(t, d, "b")
	a.Send("b", request(1))
	<-toB
	stopB()
	_, toB, stopB = startMesh(t, d, "b")
	defer stopB()
	deadline := time.After(10 * time.Second)
	for {
		a.Send("b", request(2))
		select {
		case <-toB:
			return
		case <-deadline:
			t.Fatal("nothing reached the restarted router")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func TestMeshDropsWhatGoesNowhere(t *testing.T) {
	d := &directory{
		addresses: make(map[string]string),
	}
	a, _, stop := startMesh(t, d, "a")
	for i := range 2 * queueLength {
		a.Send("unknown", request(uint64(i)))
	}
	stop()
	a.Send("b", request(1))
}

// TestStreamFraming measures what a small message costs on a real TCP
// connection, above TCP, as a message of a stream and as a call of its own.
func TestStreamFraming(t *testing.T) {
	d := &directory{
		addresses: make(map[string]string),
	}
	a, _, stopA := startMesh(t, d, "a")
	defer stopA()
	_, toB, stopB := startMesh(t, d, "b")
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

// callFraming measures a call with an almost empty request and answer.
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
		answer, err := client.Check(t.Context(), &healthpb.HealthCheckRequest{})
		if err != nil {
			t.Fatal(err)
		}
		return proto.Size(answer)
	}
	check()
	before := counter.Sent.Load() + counter.Received.Load()
	payload := 0
	for range count {
		payload += check()
	}
	return float64(counter.Sent.Load()+counter.Received.Load()-before-int64(payload)) / float64(count)
}
