package membership

import (
	"time"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// mergeTime is how long a router that meets the first other one only after its catch-up, as at the end of a
// partition, may take to learn of the rest of the fleet.
const mergeTime = 3 * time.Second

// fleetSize is the largest number of live routers that this router, or one that told it, has counted
// within Policy.DeadRetention.
type fleetSize struct {
	routers int
	// countedAt is when that many routers were last live.
	countedAt time.Time
}

// record notes a number of routers that were live at a time; a smaller number replaces one that is older
// than the retention.
func (f *fleetSize) record(routers int, at, now time.Time, retention time.Duration) {
	if now.Sub(f.countedAt) > retention {
		*f = fleetSize{}
	}
	if routers > f.routers || routers == f.routers && at.After(f.countedAt) {
		f.routers, f.countedAt = routers, at
	}
}

// FleetSize returns the largest recent number of routers, including those that may only be out of reach. It
// returns 0 while the fleet is not known, and if this router has found no other one, which a partition may explain.
// A router that starts during a partition counts the routers within its reach, unless one of them knew more.
func (n *Node) FleetSize() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.countLive()
	switch {
	case !n.isFleetKnown(), !n.hasMet && !n.IsOnlyRouter, time.Since(n.metLateAt) < mergeTime:
		return 0
	default:
		return n.fleetSize.routers
	}
}

// countLive records the number of routers that are live now.
func (n *Node) countLive() {
	now, live := time.Now(), len(n.notDead.routers)
	if live > 1 && !n.hasMet {
		n.hasMet = true
		if n.isFleetKnown() && !n.IsOnlyRouter {
			n.metLateAt = now
		}
	}
	n.fleetSize.record(live, now, now, n.Policy.DeadRetention)
}

// tellFleetSize adds the size of the fleet to a packet.
func (n *Node) tellFleetSize(packet *memberpb.Packet) {
	n.countLive()
	packet.FleetSize = uint32(n.fleetSize.routers)
	packet.FleetSizeAgeSeconds = uint32(time.Since(n.fleetSize.countedAt).Round(time.Second) / time.Second)
}

// learnFleetSize records the size of the fleet that a packet tells.
func (n *Node) learnFleetSize(packet *memberpb.Packet) {
	now := time.Now()
	at := now.Add(-time.Duration(packet.GetFleetSizeAgeSeconds()) * time.Second)
	if size := packet.GetFleetSize(); size > 0 && now.Sub(at) <= n.Policy.DeadRetention {
		n.fleetSize.record(int(size), at, now, n.Policy.DeadRetention)
	}
}
