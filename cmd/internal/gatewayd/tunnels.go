package gatewayd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/tunnel"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// peerDialTimeout bounds the connection to another router through which a tunnel leads.
const peerDialTimeout = 200 * time.Millisecond

// assembleTunnels creates what opens tunnels through other routers, and for them.
func (p *Process) assembleTunnels() {
	p.tunnels = &tunnel.Dialer{
		Self:    p.peers.self,
		Backend: p.balancer.ListedServer,
		Connect: p.connectToRouter,
	}
	p.tunnelServer = &tunnel.Server{
		Dial:         p.client.DialForRouter,
		Backend:      p.balancer.ListedServer,
		Routers:      p.node.Routers,
		IsOverloaded: p.connectionLimit.IsOverloaded,
	}
	p.client.Tunnels = p.tunnels
	p.client.ProbeTargets = p.balancer.RandomServers
	p.client.OnPathChange = p.onPathChange
	p.client.OnServerPathLost = p.onServerPathLost
	p.client.OnServerUnreachable = p.balancer.RecordUnreachable
}

// connectToRouter opens a connection to another router from the address that membership knows of this one, by which
// the other one recognises it.
func (p *Process) connectToRouter(ctx context.Context, address string) (net.Conn, error) {
	dialer := p.client.NewDialer(peerDialTimeout)
	host, _, err := net.SplitHostPort(p.Settings.Listen.Peers)
	if err != nil {
		return nil, err
	}
	dialer.LocalAddr = &net.TCPAddr{
		IP: net.ParseIP(host),
	}
	return dialer.DialContext(ctx, "tcp4", address)
}

// onPathChange logs that this router's network path to the backend servers was lost or restored.
func (p *Process) onPathChange(lost bool) {
	if !lost {
		events.PathRestored.On(&p.Log).Int64("tunnels", p.tunnels.Opened.Load()).Send()
		return
	}
	p.balancer.RecordPathLost()
	events.PathLost.On(&p.Log).Bool("others", p.tunnels.HasRouters()).Send()
}

// onServerPathLost logs that this router reaches a backend server only through others.
func (p *Process) onServerPathLost(incarnation string) {
	p.balancer.RecordServerPathLost(incarnation)
	events.ServerPathLost.On(&p.Log).Str("backend", incarnation).Send()
}

// setTunnelRouters sets the routers through which tunnels may lead. Connections through others are not used for
// further requests.
func (p *Process) setTunnelRouters(routers []slipwick.Router) {
	p.tunnels.SetRouters(routers)
	p.client.CloseUnusableTunnels()
}

// withTunnels returns a handler that serves CONNECT requests by opening tunnels, and all others by next.
func (p *Process) withTunnels(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			p.tunnelServer.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// tunnelGauges returns the gauges on network paths to the backend servers.
func (p *Process) tunnelGauges() []gauge {
	return []gauge{
		{
			name: "slipwick_path_lost",
			help: "1 while this router reaches no backend server itself, and sends through other routers.",
			read: func() float64 {
				if p.client.PathLost() {
					return 1
				}
				return 0
			},
		},
		{
			name: "slipwick_tunnels_opened",
			help: "Connections to backend servers opened through other routers.",
			read: func() float64 { return float64(p.tunnels.Opened.Load()) },
		},
		{
			name: "slipwick_tunnels_declined",
			help: "Requests for such a connection that another router declined or didn't answer.",
			read: func() float64 { return float64(p.tunnels.Declined.Load()) },
		},
		{
			name: "slipwick_tunnels_served",
			help: "Open connections to backend servers that other routers have through this one.",
			read: func() float64 { return float64(p.tunnelServer.Open()) },
		},
	}
}
