package daemon

import (
	"context"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/exchange"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/quarantine"
	"github.com/slipwick/slipwick/upstream"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// newLedger makes the ledger of requests under which backend servers end, and the part
// that tells the other routers, over the streams between them.
func (r *Router) newLedger() (*quarantine.Tracker, *exchange.CrashGossiper) {
	ledger := quarantine.NewTracker(r.Settings.ID)
	teller := exchange.NewCrashGossiper(r.Settings.ID)
	ledger.Routers = r.node.Routers
	ledger.OnPending = teller.Trigger
	ledger.OnQuarantined = func(key quarantine.Key, ends int) {
		events.RequestQuarantined.On(&r.Log).Stringer("key", key).Int("ends", ends).Send()
	}
	ledger.OnReleased = func(key quarantine.Key) {
		events.RequestReleased.On(&r.Log).Stringer("key", key).Send()
	}
	teller.Tracker = ledger
	teller.Transport = marksWire{r}
	teller.Routers = r.node.Routers
	teller.Address = func(router slipwick.Router) string { return router.ID }
	return ledger, teller
}

// marksWire carries marks over the streams between routers.
type marksWire struct {
	router *Router
}

// Send has a packet go to the router of the ID.
func (w marksWire) Send(id string, packet []byte) {
	w.router.mesh.Send(id, &peerpb.Envelope{
		Marks: [][]byte{packet},
	})
}

// hearMarks takes what another router told.
func (r *Router) hearMarks(envelope *peerpb.Envelope) {
	for _, packet := range envelope.GetMarks() {
		r.ledger.Merge(exchange.DecodeCrashes(packet))
	}
}

// isGone tells whether a backend server that broke off has ended.
func isGone(ctx context.Context, backend slipwick.Backend) bool {
	client := &upstream.Client{}
	defer client.Close()
	return client.RefusesConnections(ctx, backend.ID, backend.Address)
}
