package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/admission"
	"github.com/slipwick/slipwick/claims"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/dispatch"
	"github.com/slipwick/slipwick/engine"
	"github.com/slipwick/slipwick/fleet"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/membership"
	"github.com/slipwick/slipwick/objectapi"
	"github.com/slipwick/slipwick/peer"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/service"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// assemble makes the parts and joins them.
func (r *Router) assemble() {
	r.platform = &objectapi.Client{
		BaseURL: r.Settings.Platform.URL,
		HTTP:    httpclient.NewCounted(&r.sent, &r.received),
	}
	r.follower = &configuration.Follower{
		Store:    r.platform,
		Watches:  r.watches.Load,
		OnChange: r.inForce,
		OnError:  r.platformFailed,
	}
	r.assembleFleet()
	r.ledger, r.marks = r.newLedger()
	r.front = &front{
		limits:     r.Settings.Limits,
		log:        r.Log,
		metrics:    NewMetrics(),
		dispatcher: r.newDispatcher(),
		claims:     r.claims,
	}
	r.addFleetMetrics()
}

func (r *Router) platformFailed(err error) {
	events.PlatformCallFailed.On(&r.Log).AnErr("cause", err).Send()
}

// assembleFleet makes the parts that act together with other routers.
func (r *Router) assembleFleet() {
	self := r.self()
	r.mesh = peer.NewMesh(self.ID, r.listeners.peers)
	r.coordinator = admission.NewCoordinator(self.ID, r.mesh, admission.DefaultPolicy())
	r.coordinator.Share = r.share
	r.coordinator.OnHealth = r.onHealth
	r.claims = claims.New(self.ID, r.platform, r.mesh, claims.DefaultPolicy())
	r.mesh.OnReceive = func(from string, envelope *peerpb.Envelope) {
		r.coordinator.Receive(from, envelope)
		r.claims.Receive(from, envelope)
		r.sharing.Receive(from, envelope)
		r.hearMarks(envelope)
	}
	r.sharing = &configuration.Syncer{
		Follower:  r.follower,
		Transport: r.mesh,
		OnError:   r.platformFailed,
	}
	r.viewer = &fleet.Viewer{
		Self:   self,
		OnView: r.coordinator.SetView,
	}
	r.udp = membership.NewUDP(r.listeners.packets)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.node = membership.NewNode(self, r.udp, membership.DefaultPolicy(), random)
	r.node.OnChange = r.onMembers
	r.node.OnVersion = r.sharing.OnVersion
	r.udp.OnReceive = r.node.Receive
	r.mesh.Address = r.node.Address
}

func (r *Router) self() slipwick.Router {
	return slipwick.Router{
		ID:         r.Settings.ID,
		Address:    r.PeersAddress(),
		DataCentre: r.Settings.DataCentre,
		Region:     r.Settings.Region,
	}
}

func (r *Router) share(name string) admission.Share {
	current := r.follower.Current()
	if current == nil {
		return admission.Share{}
	}
	workspace, ok := current.State.Workspace(name)
	if !ok {
		return admission.Share{}
	}
	return admission.Share{
		Weight:      workspace.EffectiveShare(),
		MaxInFlight: workspace.MaxInFlight,
	}
}

func (r *Router) newDispatcher() *dispatch.Dispatcher {
	shared, single := httpclient.New(), httpclient.NewSingleUse()
	return &dispatch.Dispatcher{
		Admission: r.coordinator,
		Engine: func(b slipwick.Backend) slipwick.Engine {
			return &engine.Client{
				Address: b.Address,
				HTTP:    shared,

				OnNotice: func(notice slipwick.Notice) { r.coordinator.ForwardNotice(b.ID, notice) },
			}
		},
		Service: func(b slipwick.Backend, repeatable bool) slipwick.Service {
			client := shared
			if !repeatable {
				client = single
			}
			return &service.Client{
				Address: b.Address,
				HTTP:    client,

				OnNotice: func(notice slipwick.Notice) { r.coordinator.ForwardNotice(b.ID, asRest(notice)) },
			}
		},
		Quarantine: r.ledger,
		IsGone:     isGone,

		MaxSlotWait: r.Settings.Limits.Hold.Or(defaultHold),
		Limits:      r.Settings.Limits.stream(),
	}
}

// serviceLeaves is for how long a plain server that said that it leaves gets nothing. Nobody
// asks it whether it has been replaced, as engines are asked, so that the word has to
// lapse: some times what a planned stop takes.
const serviceLeaves = 30 * time.Second

// asRest takes a plain server's word that it leaves for a rest.
func asRest(notice slipwick.Notice) slipwick.Notice {
	if notice.Leaving {
		notice.Leaving, notice.Rest = false, max(notice.Rest, serviceLeaves)
	}
	return notice
}
