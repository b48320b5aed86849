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

// BenchmarkAdmission measures a request's choice of a server and its release, without a permit source
// and with one while the pool has room. The difference is the cost of admission.
func BenchmarkAdmission(b *testing.B) {
	for _, withPermits := range []bool{false, true} {
		name := "without permits"
		if withPermits {
			name = "with permits"
		}
		b.Run(name, func(b *testing.B) {
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
			template := call{
				gateway:   g,
				request:   request,
				table:     table,
				route:     table.Route("a.example", "/soon/"),
				pool:      "p",
				workspace: table.Workspace("good"),
				arrived:   clock.Now(),
				deadline:  clock.Now().Add(time.Hour),
				ctx:       context.Background(),
			}
			template.selection.Pool = "p"
			c := &call{}
			b.ReportAllocs()
			for b.Loop() {
				*c = template
				lease, err := c.acquireLease()
				if err != nil {
					b.Fatal(err)
				}
				c.abandon(lease)
			}
			if source.granted != source.released || withPermits != (source.granted > 0) {
				b.Errorf("got %d permits granted and %d released, want as many", source.granted, source.released)
			}
		})
	}
}
