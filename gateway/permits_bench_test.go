package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/fairqueue"
)

// roomyPermits grants each permit at once, as a pool does that has room, and looks at its empty queue.
type roomyPermits struct {
	queue    *fairqueue.Queue
	granted  uint64
	released uint64
}

func (r *roomyPermits) Acquire(_ context.Context, request *slipwick.PermitRequest) (slipwick.Permit, error) {
	if r.queue.Len() > 0 || r.queue.ExpectedWait(request, request.Arrived, 1) > 0 {
		panic("the queue is not empty")
	}
	r.granted++
	return slipwick.Permit{
		Pool: request.Pool,
		ID:   r.granted,
	}, nil
}

func (r *roomyPermits) Release(slipwick.Permit, slipwick.Evidence) { r.released++ }

// admissionCase is a request that asks for a server of a pool with room, and gives it back.
type admissionCase struct {
	source   *roomyPermits
	template call
	call     call
}

func newAdmissionCase(withPermits bool) *admissionCase {
	balancer := balance.New("d")
	balancer.SetBackends([]balance.Entry{
		{
			Backend: slipwick.Backend{
				ID:         "b1",
				DataCentre: "d",
			},
			Pool: "p",
		},
	})
	g := &Gateway{
		Headers:  DefaultHeaders(),
		Balancer: balancer,
	}
	source := &roomyPermits{
		queue: fairqueue.New(fairqueue.Limits{}),
	}
	if withPermits {
		g.Permits = source
	}
	table := testTable(1)
	request := httptest.NewRequest("POST", "http://a.example/soon/x", nil)
	request.Header.Set("Slipwick-Request", "q")
	a := &admissionCase{
		source: source,
		template: call{
			gateway:   g,
			request:   request,
			table:     table,
			route:     table.Route("a.example", "/soon/"),
			pool:      "p",
			workspace: table.Workspace("good"),
			arrived:   clock.Now(),
			deadline:  clock.Now().Add(time.Hour),
			ctx:       context.Background(),
		},
	}
	a.template.selection.Pool = "p"
	return a
}

func (a *admissionCase) run(tb testing.TB) {
	a.call = a.template
	lease, err := a.call.acquireLease()
	if err != nil {
		tb.Fatal(err)
	}
	a.call.abandon(lease)
}

// TestAdmissionAllocatesNothing guards against allocations for each request while the pool has room.
func TestAdmissionAllocatesNothing(t *testing.T) {
	const runs = 1000
	without, with := newAdmissionCase(false), newAdmissionCase(true)
	want := testing.AllocsPerRun(runs, func() { without.run(t) })
	if got := testing.AllocsPerRun(runs, func() { with.run(t) }); got > want {
		t.Errorf("got %v allocations with a permit source, want no more than the %v without", got, want)
	}
	if s := with.source; s.granted < runs || s.granted != s.released {
		t.Errorf("got %d permits granted and %d released, want as many, %d at least", s.granted, s.released, runs)
	}
}

// BenchmarkAdmission measures a request's choice of a server and its release, without a permit source
// and with one while the pool has room. The difference is the cost of admission.
func BenchmarkAdmission(b *testing.B) {
	for name, withPermits := range map[string]bool{"without permits": false, "with permits": true} {
		b.Run(name, func(b *testing.B) {
			a := newAdmissionCase(withPermits)
			b.ReportAllocs()
			for b.Loop() {
				a.run(b)
			}
		})
	}
}
