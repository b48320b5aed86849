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

// newCrashTracker creates the tracker of requests that crash backend servers, and the gossiper
// that sends the crashes to the other routers over the streams between them.
func (r *Router) newCrashTracker() (*quarantine.Tracker, *exchange.CrashGossiper) {
	tracker := quarantine.NewTracker(r.Settings.ID)
	gossiper := exchange.NewCrashGossiper(r.Settings.ID)
	tracker.Routers = r.node.Routers
	tracker.OnPending = gossiper.Trigger
	tracker.OnQuarantined = func(key quarantine.Key, crashes int) {
		events.RequestQuarantined.On(&r.Log).Stringer("key", key).Int("ends", crashes).Send()
	}
	tracker.OnReleased = func(key quarantine.Key) {
		events.RequestReleased.On(&r.Log).Stringer("key", key).Send()
	}
	gossiper.Tracker = tracker
	gossiper.Transport = crashTransport{r}
	gossiper.Routers = r.node.Routers
	gossiper.Address = func(router slipwick.Router) string { return router.ID }
	return tracker, gossiper
}

// crashTransport sends crashes over the streams between routers.
type crashTransport struct {
	router *Router
}

// Send sends a packet to the router with the ID.
func (t crashTransport) Send(id string, packet []byte) {
	t.router.mesh.Send(id, &peerpb.Envelope{
		Marks: [][]byte{packet},
	})
}

// receiveCrashes adds to the tracker the crashes that another router reported.
func (r *Router) receiveCrashes(envelope *peerpb.Envelope) {
	for _, packet := range envelope.GetMarks() {
		r.crashTracker.Merge(exchange.DecodeCrashes(packet))
	}
}

// refusesConnections reports whether a backend server that broke a connection now refuses new
// ones, which means that its process has ended.
func refusesConnections(ctx context.Context, backend slipwick.Backend) bool {
	client := &upstream.Client{}
	defer client.Close()
	return client.RefusesConnections(ctx, backend.ID, backend.Address)
}
