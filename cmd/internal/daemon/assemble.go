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
	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/objectapi"
	"github.com/slipwick/slipwick/peer"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/service"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// assemble creates the components of the router and connects them. The listeners have to be open.
func (r *Router) assemble() {
	r.platform = &objectapi.Client{
		BaseURL: r.Settings.Platform.URL,
		HTTP:    httpclient.NewCounting(&r.platformSent, &r.platformReceived),
	}
	r.follower = &configuration.Follower{
		Store:    r.platform,
		Watches:  r.watchesPlatform.Load,
		OnChange: r.applySnapshot,
		OnError:  r.logPlatformError,
	}
	r.assembleFleet()
	r.crashTracker, r.crashGossiper = r.newCrashTracker()
	r.memory = memory.NewAccount(r.Settings.Limits.MemoryMB << 20)
	r.frontend = &frontend{
		memory:     r.memory,
		limits:     r.Settings.Limits,
		log:        r.Log,
		metrics:    NewMetrics(),
		dispatcher: r.newDispatcher(),
		claims:     r.claims,
	}
	r.registerScrapedMetrics()
}

func (r *Router) logPlatformError(err error) {
	events.PlatformCallFailed.On(&r.Log).AnErr("cause", err).Send()
}

// assembleFleet creates the components that communicate with other routers.
func (r *Router) assembleFleet() {
	self := r.self()
	r.mesh = peer.NewMesh(self.ID, r.listeners.peers)
	r.coordinator = admission.NewCoordinator(self.ID, r.mesh, admission.DefaultPolicy())
	r.coordinator.Share = r.workspaceShare
	r.coordinator.OnHealth = r.onHealth
	r.claims = claims.New(self.ID, r.platform, r.mesh, claims.DefaultPolicy())
	r.mesh.OnReceive = func(from string, envelope *peerpb.Envelope) {
		r.coordinator.Receive(from, envelope)
		r.claims.Receive(from, envelope)
		r.configSyncer.Receive(from, envelope)
		r.receiveCrashes(envelope)
	}
	r.configSyncer = &configuration.Syncer{
		Follower:  r.follower,
		Transport: r.mesh,
		OnError:   r.logPlatformError,
	}
	r.viewBuilder = &fleet.ViewBuilder{
		Self:   self,
		OnView: r.coordinator.SetView,
	}
	r.membershipUDP = membership.NewUDP(r.listeners.membershipUDP)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.node = membership.NewNode(self, r.membershipUDP, membership.DefaultPolicy(), random)
	r.node.OnChange = r.onMembershipChange
	r.node.OnVersion = r.configSyncer.OnVersion
	r.membershipUDP.OnReceive = r.node.Receive
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

// workspaceShare returns the weight and the limit of a workspace in the configuration in force, or zero
// values if the configuration does not have the workspace.
func (r *Router) workspaceShare(name string) admission.Share {
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
	// A server may close a reused connection just as a request is sent, which would leave the outcome of
	// a call that may not be repeated unknown. Such calls open a connection each.
	shared, singleUse, naming := httpclient.New(), httpclient.NewSingleUse(), httpclient.NewNaming()
	return &dispatch.Dispatcher{
		Admission: r.coordinator,
		Withhold:  func() error { return r.frontend.withhold() },
		Engine: func(b slipwick.Backend) slipwick.Engine {
			return &engine.Client{
				Address:   b.Address,
				HTTP:      shared,
				SingleUse: singleUse,
				Names:     naming.Names(b.Incarnation()),
				OnNamed:   func() { naming.Record(b.Incarnation()) },

				OnNotice: func(notice slipwick.Notice) { r.coordinator.ForwardNotice(b.ID, notice) },
			}
		},
		Service: func(b slipwick.Backend, repeatable bool) slipwick.Service {
			client := shared
			if !repeatable {
				client = singleUse
			}
			return &service.Client{
				Address: b.Address,
				HTTP:    client,
				Names:   naming.Names(b.Incarnation()),
				OnNamed: func() { naming.Record(b.Incarnation()) },

				OnNotice: func(notice slipwick.Notice) { r.coordinator.ForwardNotice(b.ID, asPause(notice)) },
			}
		},
		Quarantine: r.crashTracker,
		HasCrashed: refusesConnections,

		MaxSlotWait: r.Settings.Limits.MaxSlotWait.Or(defaultMaxSlotWait),
		Limits:      r.Settings.Limits.stream(),
	}
}

// serviceLeavingPause is how long a server of a plain service gets no requests after it announced
// that it leaves. Unlike engines, these servers are not probed, so nothing reports that the server
// has been replaced and the announcement has to expire. The time is several times what a planned
// stop of a server takes.
const serviceLeavingPause = 30 * time.Second

// asPause turns the announcement of a plain service's server that it leaves into a request for a
// pause.
func asPause(notice slipwick.Notice) slipwick.Notice {
	if notice.Leaving {
		notice.Leaving, notice.Pause = false, max(notice.Pause, serviceLeavingPause)
	}
	return notice
}
