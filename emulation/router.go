package emulation

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/admission"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/fleet"
	"github.com/slipwick/slipwick/membership"
	"github.com/slipwick/slipwick/membership/memberpb"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// Router is an emulated router. It runs the production admission and
// membership.
type Router struct {
	Self        slipwick.Router
	Coordinator *admission.Coordinator
	Node        *membership.Node
	ViewBuilder *fleet.ViewBuilder

	// cancel stops the coordinator and the node.
	cancel context.CancelFunc

	mu         sync.Mutex
	view       *placement.View
	configSync *configSync
	stopped    bool
	paused     bool
	// backlog holds the messages that arrived while the router was paused.
	backlog []func()
}

// newRouter creates a router with the list of boxes and the configuration, and
// starts it.
func newRouter(
	network *Network, self slipwick.Router, policy admission.Policy, snapshot *configuration.Snapshot,
	boxes []slipwick.Box, seed uint64,
) *Router {
	r := &Router{
		Self: self,
	}
	network.add(r)
	r.Coordinator = admission.NewCoordinator(self.ID, &envelopeTransport{
		network: network,
		from:    r,
	}, policy)
	r.Coordinator.Share = shares(snapshot)
	r.ViewBuilder = &fleet.ViewBuilder{
		Self:   self,
		OnView: r.SetView,
	}
	random := rand.New(rand.NewPCG(seed, membership.IDSeed(self.ID)))
	r.Node = membership.NewNode(self, &packetTransport{
		network: network,
		from:    r,
	}, membership.DefaultPolicy(), random)
	r.Node.OnChange = r.onChange
	r.Node.OnVersion = func(from string, version uint64) {
		if s := r.currentConfigSync(); s != nil {
			s.syncer.OnVersion(from, version)
		}
	}
	r.Coordinator.OnHealth = func(backend string, health admission.Health) {
		// The coordinator calls this with its lock held, so its methods must not
		// be called from here.
		go r.Node.SetBackend(backend, fleet.MemberState(health))
	}
	r.Node.MergeListing(boxes)
	r.ViewBuilder.SetConfiguration(snapshot)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.Coordinator.Run(ctx)
	go r.Node.Run(ctx)
	return r
}

// shares returns a function that looks up a workspace's share by its name.
func shares(snapshot *configuration.Snapshot) func(string) admission.Share {
	byName := make(map[string]admission.Share)
	for _, w := range snapshot.State.Workspaces {
		byName[w.Name] = admission.Share{
			Weight:      w.EffectiveShare(),
			MaxInFlight: w.MaxInFlight,
		}
	}
	return func(name string) admission.Share { return byName[name] }
}

func (r *Router) onChange(change membership.Change) {
	r.ViewBuilder.SetFleet(change.EligibleRouters, fleet.BackendStates(change.Backends))
	for _, id := range change.Died {
		r.Coordinator.HandleRouterFailure(id)
	}
}

// Owners returns the IDs of the routers in this router's view, which can own
// engines.
func (r *Router) Owners() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for i := range r.view.Routers {
		ids = append(ids, r.view.Routers[i].ID)
	}
	return ids
}

// UsableCount returns the number of usable engines of a pool in this router's
// view.
func (r *Router) UsableCount(pool string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.view.Pools[pool].Usable)
}

// SetView replaces the router's view.
func (r *Router) SetView(view *placement.View) {
	r.mu.Lock()
	r.view = view
	r.mu.Unlock()
	r.Coordinator.SetView(view)
}

// Kill stops the router at once. It sends and receives nothing afterwards.
func (r *Router) Kill() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.cancel()
}

// Pause queues arriving messages until Resume. Requests in progress continue,
// because only control messages are paused.
func (r *Router) Pause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused = true
}

// Resume delivers the messages that arrived since Pause.
func (r *Router) Resume() {
	r.mu.Lock()
	backlog := r.backlog
	r.paused, r.backlog = false, nil
	r.mu.Unlock()
	for _, handle := range backlog {
		handle()
	}
}

func (r *Router) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// accept takes a message that has arrived: it calls handle, which processes the
// message, or queues it while the router is paused. Once the router has stopped,
// it drops the message.
func (r *Router) accept(handle func()) {
	r.mu.Lock()
	switch {
	case r.stopped:
	case r.paused:
		r.backlog = append(r.backlog, handle)
	default:
		r.mu.Unlock()
		handle()
		return
	}
	r.mu.Unlock()
}

func (r *Router) receive(from string, envelope *peerpb.Envelope) {
	r.Coordinator.Receive(from, envelope)
	if s := r.currentConfigSync(); s != nil {
		s.syncer.Receive(from, envelope)
	}
}

func (r *Router) receivePacket(address string, packet []byte) {
	r.Node.Receive(address, packet)
}

// SetBackend broadcasts a backend server's state, as its owner does after a
// probe.
func (r *Router) SetBackend(id string, state memberpb.State) {
	r.Node.SetBackend(id, state)
}
